//! The registry of a program's metrics, and their export in the text format of Prometheus.

use gannetridge_net::HttpReply;
use http::StatusCode;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The OpenTelemetry instrumentation scope of all metrics.
const SCOPE: &str = "gannetridge";
/// The media type of the text format of Prometheus.
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Controls whether the exported metrics contain `target_info`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetInfo {
    /// `target_info` is exported.
    Included,
    /// `target_info` is left out.
    Omitted,
}

/// A program's metrics.
pub struct MetricsRegistry {
    registry: Registry,
    /// Kept alive so that instruments stay connected to the registry.
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// Creates a registry without metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
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

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Returns all metrics as an HTTP reply.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn reply(&self) -> anyhow::Result<HttpReply> {
        Ok(HttpReply::new(StatusCode::OK, MEDIA_TYPE, self.text()?))
    }
}
