//! Assembles and runs a host's process: its log, its servers, the tasks that read the store
//! and the task that owns the dispatcher.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::rules::store_readers::Freshness;
use gannetridge_dispatcher_core::{Dispatcher, Safeguards};
use gannetridge_net::{
    serve, BodyRate, Client, ClientLimits, HttpReply, HttpRequest, ServerLimits,
};
use gannetridge_process::mailbox::ask;
use gannetridge_process::start::listen;
use http::StatusCode;
use local_sync::mpsc::unbounded;
use tracing::{info, warn};

use crate::caller_api;
use crate::core_task::{CoreTask, Parts};
use crate::logging;
use crate::mailbox::{Message, RequestIds, Sender, StopFlag};
use crate::metrics::Metrics;
use crate::peer_api;
use crate::platform_client::{PlatformClient, Table};
use crate::reload::Reloader;
use crate::settings::{LinkSettings, Settings};
use crate::signals::Signals;
use crate::store_pace::pause_between_reads;
use crate::store_task::{follow_table, publish_host_row, ReadTimes};

/// How long the process goes on after the dispatcher has stopped, to send the last answers.
const FINAL_SEND_TIME: Duration = Duration::from_millis(100);
/// The longest time to set up a connection to a target, a peer or the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The share of the link that one long body may use, such as a whole configuration; the rest
/// is left to heartbeats, renewals and callers. A configuration of 1,500 routes, some 350 KB, takes
/// 2.3 s at 2 Mbit/s, of the 4 s in which hosts have to apply it.
const LONG_BODY_SHARE: f64 = 0.6;
/// Once a peer's reply is outstanding for this long, other calls to it open new connections:
/// peers reply at once. Short enough for another heartbeat to arrive within an owner lease
/// (`rules/leases.rs`) after one was lost with its connection: of 553 ms with the users' bounds, a
/// lost heartbeat and the next one on another dead connection take 276 ms.
const PEER_SUSPECT_AFTER: Duration = Duration::from_millis(100);

/// Runs a host's process until it has shut down gracefully.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be bound, or the log, the clock, the
/// signal handlers or the metrics can't be set up.
pub async fn run(
    path: &Path,
    settings: Settings,
    platform_client: PlatformClient,
) -> anyhow::Result<()> {
    let log = logging::init(&settings.log)?;
    let clock = Clock::start()?;
    let epoch_ms = wall_clock_ms();
    let dispatcher = Dispatcher::new(core_settings(&settings, epoch_ms))?;
    let (tx, rx) = unbounded::channel();
    let signals = Signals::listen()?;
    let stopping = StopFlag::default();
    start_servers(&settings, &platform_client, &tx, &stopping)?;
    spawn_store_tasks(&settings, &platform_client, &tx, &dispatcher, &clock);
    info!(
        event = "started",
        name = %settings.name,
        hall = %settings.hall,
        version = env!("CARGO_PKG_VERSION"),
        incarnation = epoch_ms,
        bounds = ?settings.bounds,
    );
    let core = CoreTask::new(Parts {
        dispatcher,
        clock,
        rx,
        tx,
        grace_period: Duration::from_millis(settings.bounds.bounds().grace_period_ms),
        peer_client: Client::new(ClientLimits {
            suspect_after: Some(PEER_SUSPECT_AFTER),
            ..client_limits(&settings.link)
        }),
        platform_client,
        metrics: Metrics::new()?,
        stopping,
        signals,
        reloader: Reloader::new(path, settings),
        log_dropped: log.dropped.clone(),
    });
    core.run().await;
    info!(event = "stopped");
    monoio::time::sleep(FINAL_SEND_TIME).await;
    Ok(())
}

/// Returns the wall clock's time in ms since 1970. It also serves as this process's
/// incarnation, by which peers tell a restarted host from its earlier process, and the base of
/// its fencing tokens.
fn wall_clock_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as u64,
        Err(error) => {
            // The host still serves on its own; peers that know a higher incarnation ignore it.
            warn!(event = "clock-before-1970", %error);
            0
        }
    }
}

fn core_settings(settings: &Settings, epoch_ms: u64) -> gannetridge_dispatcher_core::Settings {
    gannetridge_dispatcher_core::Settings {
        name: settings.name.clone(),
        address: settings.peers,
        hall: settings.hall.clone(),
        incarnation: epoch_ms,
        processor_weight: settings.processor.weight(),
        seeds: settings.seeds.clone(),
        bounds: settings.bounds.bounds(),
        epoch_ms,
        far_slowdown: settings.bounds.remote_factor,
        scheduling: settings.scheduling,
        safeguards: Safeguards::default(),
    }
}

/// Returns the limits of the process's outgoing calls.
#[must_use]
pub fn client_limits(link: &LinkSettings) -> ClientLimits {
    let bytes_per_s = link.bytes_per_s() as f64 * LONG_BODY_SHARE;
    ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        body_rate: Some(BodyRate {
            bytes_per_s: bytes_per_s as u64,
        }),
        ..ClientLimits::default()
    }
}

/// Spawns the tasks that follow the platform's tables and write this host's row.
fn spawn_store_tasks(
    settings: &Settings,
    platform_client: &PlatformClient,
    tx: &Sender,
    dispatcher: &Dispatcher,
    clock: &Clock,
) {
    for table in [Table::Configuration, Table::Targets, Table::Hosts] {
        let pause = pause_between_reads(table, settings.bounds.drain_ms);
        let times = ReadTimes {
            max_pause: pause,
            reader_max_wait_ms: Freshness::new(settings.bounds.drain_ms).request_interval_ms,
            link_bytes_per_s: settings.link.bytes_per_s(),
        };
        let task = follow_table(
            platform_client.clone(),
            table,
            times,
            tx.clone(),
            clock.clone(),
        );
        monoio::spawn(task);
    }
    let info = dispatcher.info().clone();
    monoio::spawn(publish_host_row(platform_client.clone(), info));
}

/// Starts the servers for peers, callers, readiness probes and metrics, each on its own
/// address.
fn start_servers(
    settings: &Settings,
    platform_client: &PlatformClient,
    tx: &Sender,
    stopping: &StopFlag,
) -> anyhow::Result<()> {
    let request_ids = RequestIds::default();
    let peers = listen(settings.peers_bind.unwrap_or(settings.peers))?;
    let (peer_tx, peer_ids) = (tx.clone(), request_ids.clone());
    monoio::spawn(serve(peers, ServerLimits::default(), move |req| {
        peer_api::handle(peer_tx.clone(), peer_ids.clone(), req)
    }));
    let callers = listen(settings.callers)?;
    let (caller_tx, caller_client) = (tx.clone(), platform_client.clone());
    let stopping = stopping.clone();
    monoio::spawn(serve(callers, ServerLimits::default(), move |req| {
        caller_api::handle(
            caller_tx.clone(),
            request_ids.clone(),
            stopping.clone(),
            caller_client.clone(),
            req,
        )
    }));
    let readiness = listen(settings.readiness)?;
    let (ready_tx, path) = (tx.clone(), platform_client.readiness_path);
    monoio::spawn(serve(readiness, ServerLimits::default(), move |req| {
        readiness_reply(ready_tx.clone(), path, req)
    }));
    let metrics = listen(settings.metrics)?;
    let metrics_tx = tx.clone();
    monoio::spawn(serve(metrics, ServerLimits::default(), move |_| {
        metrics_reply(metrics_tx.clone())
    }));
    Ok(())
}

async fn readiness_reply(tx: Sender, path: &'static str, req: HttpRequest) -> HttpReply {
    if req.path != path {
        return HttpReply::problem(StatusCode::NOT_FOUND, "no-such-path", "No such path");
    }
    inspect(tx, |dispatcher, _| {
        if dispatcher.is_ready() {
            return HttpReply::new(StatusCode::OK, "text/plain", "ready\n");
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        HttpReply::problem(status, "not-ready", "No configuration yet, or stopping")
    })
    .await
}

async fn metrics_reply(tx: Sender) -> HttpReply {
    inspect(tx, |_, metrics| {
        metrics.reply().unwrap_or_else(|error| {
            warn!(event = "unencodable-metrics", %error);
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            HttpReply::problem(status, "metrics", "The metrics can't be encoded")
        })
    })
    .await
}

/// Builds a reply from the state of the dispatcher and its metrics.
async fn inspect(
    tx: Sender,
    build_reply: impl FnOnce(&Dispatcher, &Metrics) -> HttpReply + 'static,
) -> HttpReply {
    let reply = ask(&tx, |reply_tx| {
        Message::Inspect(Box::new(move |dispatcher, metrics| {
            // Fails if the client has disconnected.
            let _ = reply_tx.send(build_reply(dispatcher, metrics));
        }))
    });
    let stopped = |_| HttpReply::problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", "Stopping");
    reply.await.unwrap_or_else(stopped)
}
