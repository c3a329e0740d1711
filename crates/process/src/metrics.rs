//! The registry that a program's metrics are kept in, and their text.

use gannetridge_net::HttpReply;
use http::StatusCode;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instrumentation scope of all metrics.
const SCOPE: &str = "gannetridge";
/// The media type of the text format of Prometheus.
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Whether the page of metrics has the row `target_info`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetInfo {
    /// It has.
    Included,
    /// It hasn't.
    Omitted,
}

/// Keeps a program's metrics.
pub struct MetricsRegistry {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// Creates a registry without metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry refuses the exporter.
    pub fn new(target_info: TargetInfo) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = match target_info {
            TargetInfo::Included => exporter,
            TargetInfo::Omitted => exporter.without_target_info(),
        };
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter.build()?)
            .build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that instruments are made with.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Writes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Returns all metrics as a reply over HTTP.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn reply(&self) -> anyhow::Result<HttpReply> {
        Ok(HttpReply::new(StatusCode::OK, MEDIA_TYPE, self.text()?))
    }
}
