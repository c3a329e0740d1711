//! `gannetridge follow`: waits until a version is in force everywhere.

use std::time::{Duration, Instant};

use anyhow::Context;
use gumdrop::Options;

use crate::api::Api;

/// Between two looks at all hosts. Chosen, not measured.
const PAUSE: Duration = Duration::from_millis(200);
/// How long is followed without `--seconds`. Chosen, not measured.
const USUAL_SECONDS: u64 = 30;

/// Options of `follow`.
#[derive(Debug, Options)]
pub struct Follow {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "how long to wait, in seconds", meta = "N")]
    seconds: Option<u64>,
    #[options(free, help = "the version")]
    version: Option<u64>,
}

/// Prints each host as the version comes into force there.
pub async fn run(options: &Follow, api: &Api) -> anyhow::Result<()> {
    let version = options.version.context("a version is needed")?;
    let limit = Duration::from_secs(options.seconds.unwrap_or(USUAL_SECONDS));
    let started = Instant::now();
    let mut waiting = api.hosts().to_vec();
    loop {
        let mut behind = Vec::new();
        for host in waiting {
            match api.status(host).await {
                Ok(status) if status.config_version >= version => {
                    let after = started.elapsed().as_secs_f64();
                    println!(
                        "{} at {} after {after:.1} s",
                        status.name, status.config_version
                    );
                }
                _ => behind.push(host),
            }
        }
        if behind.is_empty() {
            return Ok(());
        }
        anyhow::ensure!(started.elapsed() < limit, "not in force at {behind:?}");
        waiting = behind;
        monoio::time::sleep(PAUSE).await;
    }
}
