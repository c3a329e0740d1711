//! Puts a process together and runs it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use gannetridge_dispatcher_core::{Dispatcher, Millis, Safeguards};
use gannetridge_net::{bind, serve, Client, ClientLimits, HttpReply, HttpRequest, ServerLimits};
use http::StatusCode;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use monoio::net::TcpListener;
use tracing::{info, warn};

use crate::caller_api::{self, RequestIds, Stopping};
use crate::core_task::{CoreTask, Message, Sender};
use crate::logging;
use crate::metrics::Metrics;
use crate::peer_api;
use crate::platform_client::{PlatformClient, Table};
use crate::settings::Settings;
use crate::signals::Signals;
use crate::store_task::{announce, follow, pause_between_reads, Reachable};
use crate::traffic::Traffic;

/// Between looks at the settings file, which may change without a signal.
const LOOK_MS: Millis = 2_000;
/// How long the last answers have to leave the sockets.
const LAST_ANSWERS: std::time::Duration = std::time::Duration::from_millis(100);
/// The text format of Prometheus.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";
/// Bounds on connections to targets, peers and the store.
const CONNECT_MS: u64 = 150;

/// Reads the settings file again when it may have changed.
pub struct Reloader {
    path: PathBuf,
    current: Settings,
    next_look: Millis,
}

impl Reloader {
    /// Starts from settings that were read from `path`.
    #[must_use]
    pub fn new(path: &Path, current: Settings) -> Self {
        Self {
            path: path.to_owned(),
            current,
            next_look: 0,
        }
    }

    /// Reads the file if asked to, or if it is time; returns other settings.
    /// A file with faults changes nothing.
    pub fn reload(&mut self, now: Millis, asked: bool) -> Option<&Settings> {
        if !asked && now < self.next_look {
            return None;
        }
        self.next_look = now + LOOK_MS;
        let read: Settings = match gannetridge_process::settings::read(&self.path) {
            Ok(read) => read,
            Err(error) => {
                warn!(event = "reload-failed", error = %format!("{error:#}"));
                return None;
            }
        };
        let changed = read != self.current;
        if asked || changed {
            info!(event = "reload", asked, changed);
        }
        if !changed {
            return None;
        }
        self.current = read;
        Some(&self.current)
    }
}

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
    let started = Instant::now();
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let epoch_ms = epoch.map_or(0, |since| since.as_millis() as u64);
    let dispatcher = Dispatcher::new(gannetridge_dispatcher_core::Settings {
        name: settings.name.clone(),
        address: settings.peers,
        hall: settings.hall.clone(),
        incarnation: epoch_ms,
        processor_weight: settings.processor.weight(),
        seeds: settings.seeds.clone(),
        bounds: settings.bounds.bounds(),
        epoch_ms,
        safeguards: Safeguards::default(),
    })?;
    let info = dispatcher.info().clone();
    let (tx, rx) = unbounded::channel();
    let signals = Signals::listen()?;
    let stopping = Stopping::default();
    serve_all(&settings, &platform_client, &tx, &stopping)?;
    let reachable = Reachable::new(tx.clone());
    for table in [Table::Configuration, Table::Targets, Table::Hosts] {
        let (platform_client, tx, reachable) =
            (platform_client.clone(), tx.clone(), reachable.clone());
        let between = pause_between_reads(table, settings.bounds.bounds().drain_ms);
        monoio::spawn(follow(platform_client, table, between, tx, reachable));
    }
    monoio::spawn(announce(platform_client.clone(), info));
    info!(
        event = "started",
        name = %settings.name,
        hall = %settings.hall,
        version = env!("CARGO_PKG_VERSION"),
        incarnation = epoch_ms,
        bounds = ?settings.bounds,
    );
    let metrics = Metrics::new()?;
    let core = CoreTask {
        dispatcher,
        started,
        rx,
        tx,
        peers: Client::new(client_limits()),
        platform_client,
        traffic: Traffic::new(&metrics.meter()),
        metrics,
        stopping,
        signals,
        reloader: Reloader::new(path, settings),
        log_dropped: log.dropped.clone(),
        callers: HashMap::new(),
        waiting_peers: HashMap::new(),
        stopped: false,
    };
    core.run().await;
    info!(event = "stopped");
    monoio::time::sleep(LAST_ANSWERS).await;
    Ok(())
}

/// Returns the bounds on the process's own calls.
#[must_use]
pub fn client_limits() -> ClientLimits {
    ClientLimits {
        connect: std::time::Duration::from_millis(CONNECT_MS),
        ..ClientLimits::default()
    }
}

fn serve_all(
    settings: &Settings,
    platform_client: &PlatformClient,
    tx: &Sender,
    stopping: &Stopping,
) -> anyhow::Result<()> {
    let request_ids = RequestIds::default();
    let peers = listen(settings.peers_bind.unwrap_or(settings.peers))?;
    let (peer_tx, peer_tokens) = (tx.clone(), request_ids.clone());
    monoio::spawn(serve(peers, ServerLimits::default(), move |req| {
        peer_api::handle(peer_tx.clone(), peer_tokens.clone(), req)
    }));
    let callers = listen(settings.callers)?;
    let (caller_tx, caller_outside) = (tx.clone(), platform_client.clone());
    let stopping = stopping.clone();
    monoio::spawn(serve(callers, ServerLimits::default(), move |req| {
        caller_api::handle(
            caller_tx.clone(),
            request_ids.clone(),
            stopping.clone(),
            caller_outside.clone(),
            req,
        )
    }));
    let readiness = listen(settings.readiness)?;
    let (ready_tx, path) = (tx.clone(), platform_client.readiness_path);
    monoio::spawn(serve(readiness, ServerLimits::default(), move |req| {
        ready(ready_tx.clone(), path, req)
    }));
    let metrics = listen(settings.metrics)?;
    let metrics_tx = tx.clone();
    monoio::spawn(serve(metrics, ServerLimits::default(), move |_| {
        tell_metrics(metrics_tx.clone())
    }));
    Ok(())
}

fn listen(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    bind(addr).with_context(|| format!("can't listen on {addr}"))
}

async fn ready(tx: Sender, path: &'static str, req: HttpRequest) -> HttpReply {
    if req.path != path {
        return HttpReply::problem(StatusCode::NOT_FOUND, "no-such-path", "No such path");
    }
    look(tx, |dispatcher, _| {
        if dispatcher.is_ready() {
            return HttpReply::new(StatusCode::OK, "text/plain", "ready\n");
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        HttpReply::problem(status, "not-ready", "No configuration yet, or stopping")
    })
    .await
}

async fn tell_metrics(tx: Sender) -> HttpReply {
    look(tx, |_, metrics| match metrics.text() {
        Ok(text) => HttpReply::new(StatusCode::OK, METRICS_TYPE, text),
        Err(_) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            HttpReply::problem(status, "metrics", "The metrics can't be encoded")
        }
    })
    .await
}

async fn look(
    tx: Sender,
    make: impl FnOnce(&Dispatcher, &Metrics) -> HttpReply + 'static,
) -> HttpReply {
    let (reply_tx, reply_rx) = oneshot::channel();
    let look = move |dispatcher: &Dispatcher, metrics: &Metrics| {
        // Whoever asked may be gone.
        let _ = reply_tx.send(make(dispatcher, metrics));
    };
    let sent = tx.send(Message::Inspection(Box::new(look)));
    match (sent, reply_rx.await) {
        (Ok(()), Ok(reply)) => reply,
        _ => HttpReply::problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", "Stopping"),
    }
}
