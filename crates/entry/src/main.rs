//! The entry host's program: reads the settings, starts the servers and the core task,
//! and shuts down gracefully on a signal.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use gannetridge_entry::calls::RequestSender;
use gannetridge_entry::clock::Clock;
use gannetridge_entry::core_task::{CoreTask, Message};
use gannetridge_entry::metrics::Metrics;
use gannetridge_entry::settings::Settings;
use gannetridge_entry::{logging, peer_api, public_api};
use gannetridge_entry_core::{Event, Host};
use gannetridge_net::{runtime, Client, ClientLimits, RefusalCounts, Server};
use gannetridge_process::start::{exit_code, listen, listen_for_clients};
use gumdrop::Options;
use local_sync::mpsc::unbounded;
use tracing::info;

/// Runs an entry host, which accepts callers' jobs.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print the checked settings and exit")]
    print_settings: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    exit_code("gannetridge-entry", start(&arguments))
}

fn start(arguments: &Arguments) -> anyhow::Result<()> {
    let path = arguments
        .settings
        .as_ref()
        .context("--settings FILE is needed")?;
    let settings: Settings = gannetridge_process::settings::read(path)?;
    if arguments.print_settings {
        print!("{}", toml::to_string(&settings)?);
        return Ok(());
    }
    logging::init(&settings.log)?;
    runtime::run(run(settings))?
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    // Both sockets are bound before the host takes any action: see `gannetridge_net::bind`.
    let peer_listener = listen(settings.peer_listen)?;
    let listener = listen_for_clients(settings.listen)?;
    let clock = Clock::start()?;
    let host = Host::new(settings.host_settings(clock.now()), clock.now());
    let (tx, rx) = unbounded::channel();
    let client = Client::new(ClientLimits::default());
    let requests = RequestSender::new(client, settings.platform, tx.clone());
    let refusals = RefusalCounts::default();
    let core = CoreTask::new(host, clock, rx, requests, Metrics::new(refusals.clone())?);

    let peer_tx = tx.clone();
    let peer_limits = settings.limits.for_peers();
    let peer_server = Server::new(peer_limits.into(), refusals.of_server("peers"));
    monoio::spawn(peer_server.serve(peer_listener, move |req| {
        peer_api::handle(peer_tx.clone(), req)
    }));
    let limits = settings.limits.for_callers();
    let server = Server::new(limits.into(), refusals.of_server("callers"));
    let cx = public_api::Context {
        tx: tx.clone(),
        memory: server.memory(),
        refusals: refusals.of_server("callers"),
    };
    monoio::spawn(server.serve(listener, move |req| public_api::handle(cx.clone(), req)));

    let signal = monoio::utils::CtrlC::new().context("can't listen for signals")?;
    monoio::spawn(async move {
        signal.await;
        info!("stopping in order");
        // The send fails if the core task has ended already.
        let _ = tx.send(Message::Event(Box::new(Event::Stop)));
    });
    info!(name = %settings.name, hall = %settings.hall, listen = %settings.listen, "started");
    core.run().await;
    info!("stopped");
    // Gives the servers time to write the last replies.
    monoio::time::sleep(std::time::Duration::from_millis(50)).await;
    Ok(())
}
