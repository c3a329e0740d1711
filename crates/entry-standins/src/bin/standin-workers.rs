//! Serves the runners' stand-ins over HTTP, each at its own address.

use anyhow::Context;
use gannetridge_entry_standins::cli;
use gannetridge_entry_standins::worker::{RunnerServer, WorkersSettings};
use gannetridge_net::{bind, runtime, serve, ServerLimits};

fn main() -> anyhow::Result<()> {
    let Some(settings) = cli::read_settings::<WorkersSettings>()? else {
        return Ok(());
    };
    runtime::run(run(settings))?
}

async fn run(settings: WorkersSettings) -> anyhow::Result<()> {
    let mut servers = Vec::new();
    for runner in settings.runners {
        let listener = bind(runner.listen)
            .with_context(|| format!("can't listen for runner {}", runner.name))?;
        let runner_server = RunnerServer::new(runner.slots);
        let limits = ServerLimits::default();
        let server = serve(listener, limits, move |req| {
            runner_server.clone().handle(req)
        });
        servers.push(monoio::spawn(server));
    }
    for server in servers {
        server.await;
    }
    Ok(())
}
