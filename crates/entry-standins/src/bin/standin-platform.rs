//! Serves the platform's stand-in over HTTP.

use gannetridge_entry_standins::cli;
use gannetridge_entry_standins::platform::{Platform, PlatformSettings};
use gannetridge_net::{bind, runtime, serve, ServerLimits};

fn main() -> anyhow::Result<()> {
    let Some(settings) = cli::read_settings::<PlatformSettings>()? else {
        return Ok(());
    };
    runtime::run(run(settings))?
}

async fn run(settings: PlatformSettings) -> anyhow::Result<()> {
    let platform = Platform::new(settings.targets);
    let listener = bind(settings.listen)?;
    serve(listener, ServerLimits::default(), move |req| {
        platform.clone().handle(req)
    })
    .await;
    Ok(())
}
