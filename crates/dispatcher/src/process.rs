//! Puts a host's process together and runs it: its log, its sockets, the tasks that
//! follow the store, and the one that owns the dispatcher.

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
use crate::store_task::{announce, follow, Waits};

/// How long the last answers have to leave the sockets. Chosen, not measured.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// How long setting up a connection to a target, a peer or the store may take.
/// Chosen, not measured: half of what a peer's reply is awaited.
const CONNECT: Duration = Duration::from_millis(150);
/// The part of the link that one long body may take, such as a whole configuration: the
/// rest is for heartbeats, renewals and callers. Chosen, not measured: a configuration of
/// 1,500 routes, some 350 KB, takes 2.3 s at 2 Mbit/s, of 4 s that hosts have to apply it.
const LONG_BODY_SHARE: f64 = 0.6;
/// Once a peer's reply is overdue by this, other calls to it open connections of their
/// own: peers reply at once, some 2 ms later. It has to leave time for a heartbeat within
/// an owner lease (`rules/leases.rs`): of 553 ms with the users' bounds, a heartbeat lost
/// with its connection and the next one on another dead one take 276 ms.
const PEER_SUSPECT: Duration = Duration::from_millis(100);

/// Runs a process until it is asked to stop and has done so.
///
/// # Errors
///
/// Fails if the settings can't work or an address can't be bound.
pub async fn run(
    path: &Path,
    settings: Settings,
    platform_client: PlatformClient,
) -> anyhow::Result<()> {
    let log = logging::start(&settings.log)?;
    let clock = Clock::start()?;
    let epoch_ms = wall_clock_ms();
    let dispatcher = Dispatcher::new(core_settings(&settings, epoch_ms))?;
    let (tx, rx) = unbounded::channel();
    let signals = Signals::listen()?;
    let stopping = StopFlag::default();
    serve_all(&settings, &platform_client, &tx, &stopping)?;
    use_store(&settings, &platform_client, &tx, &dispatcher, &clock);
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
        grace: Duration::from_millis(settings.bounds.bounds().grace_period_ms),
        peers: Client::new(ClientLimits {
            suspect_after: Some(PEER_SUSPECT),
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
    monoio::time::sleep(LAST_ANSWERS).await;
    Ok(())
}

/// Returns the wall clock's time in ms since 1970. It is also this process's
/// incarnation: peers and targets take a host with a lower one for an old one.
fn wall_clock_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as u64,
        Err(error) => {
            // The host still serves alone; others ignore it until the clock is set.
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

/// Returns the bounds on the process's own calls.
#[must_use]
pub fn client_limits(link: &LinkSettings) -> ClientLimits {
    let bytes_per_s = link.bytes_per_s() as f64 * LONG_BODY_SHARE;
    ClientLimits {
        connect: CONNECT,
        body_rate: Some(BodyRate {
            bytes_per_s: bytes_per_s as u64,
        }),
        ..ClientLimits::default()
    }
}

/// Starts the tasks that follow the platform's tables and write this host's row.
fn use_store(
    settings: &Settings,
    platform_client: &PlatformClient,
    tx: &Sender,
    dispatcher: &Dispatcher,
    clock: &Clock,
) {
    for table in [Table::Configuration, Table::Targets, Table::Hosts] {
        let pause = pause_between_reads(table, settings.bounds.drain_ms);
        let waits = Waits {
            between: pause,
            told_ms: Freshness::new(settings.bounds.drain_ms).ask,
            link_bytes_per_s: settings.link.bytes_per_s(),
        };
        let following = follow(
            platform_client.clone(),
            table,
            waits,
            tx.clone(),
            clock.clone(),
        );
        monoio::spawn(following);
    }
    let info = dispatcher.info().clone();
    monoio::spawn(announce(platform_client.clone(), info));
}

/// Serves peers, callers, the platform's probe and metrics, each on its address.
fn serve_all(
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

/// Makes a reply from what stands at the dispatcher.
async fn inspect(
    tx: Sender,
    make: impl FnOnce(&Dispatcher, &Metrics) -> HttpReply + 'static,
) -> HttpReply {
    let asked = ask(&tx, |reply_tx| {
        Message::Inspect(Box::new(move |dispatcher, metrics| {
            // Whoever asked may be gone.
            let _ = reply_tx.send(make(dispatcher, metrics));
        }))
    });
    let stopped = |_| HttpReply::problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", "Stopping");
    asked.await.unwrap_or_else(stopped)
}
