//! The servers for peers, callers, readiness probes and metrics, each on its own address and with
//! limits of its own.

use std::time::Duration;

use gannetridge_dispatcher_core::{configuration, Dispatcher, Millis};
use gannetridge_net::{
    HttpReply, HttpRequest, MemoryQuota, RefusalCounts, RequestLimits, Server, ServerLimits,
    SharedLimits,
};
use gannetridge_process::budget::Budget;
use gannetridge_process::mailbox::ask;
use gannetridge_process::start::{listen, listen_for_clients};
use http::StatusCode;
use tracing::warn;

use crate::caller_api;
use crate::mailbox::{Message, RequestIds, Sender, StopFlag};
use crate::metrics::Metrics;
use crate::peer_api;
use crate::platform_client::PlatformClient;
use crate::settings::Settings;

/// The longest head of a caller's request, in bytes, whatever the configuration allows: heads are
/// part of what each connection may take.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The memory of decoded requests that wait for the dispatcher, in bytes: twice that of the largest
/// one. It also bounds how long others wait, since the time that the dispatcher needs for a request
/// grows with its size.
const QUEUED_REQUEST_BYTES: usize = 2 * 1024 * 1024;
/// How much longer than configured an idle connection stays open: a client may send its next
/// request at the very end of the time.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The longest time that the configuration may set, in ms: a day.
const MAX_TIMEOUT_MS: Millis = 86_400_000;

/// What all servers share, and what other tasks change while they run.
#[derive(Clone)]
pub struct Shared {
    /// Sends requests to the task that owns the dispatcher.
    pub tx: Sender,
    /// Decodes callers' requests and encodes the answers.
    pub platform_client: PlatformClient,
    /// Set once the host is stopping.
    pub stopping: StopFlag,
    /// The limits of callers' requests, which follow the configuration.
    pub caller_limits: SharedLimits,
    /// Counts what the servers refuse.
    pub refusals: RefusalCounts,
}

/// Starts all servers.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub fn start(settings: &Settings, budget: &Budget, shared: &Shared) -> anyhow::Result<()> {
    let request_ids = RequestIds::default();
    start_for_peers(settings, budget.peers, shared, request_ids.clone())?;
    start_for_callers(settings, shared, request_ids)?;
    start_for_readiness(settings, budget.probes, shared)?;
    start_for_metrics(settings, budget.probes, shared)
}

fn start_for_peers(
    settings: &Settings,
    limits: ServerLimits,
    shared: &Shared,
    request_ids: RequestIds,
) -> anyhow::Result<()> {
    let listener = listen(settings.peers_bind.unwrap_or(settings.peers))?;
    let server = Server::new(limits.into(), shared.refusals.of_server("peers"));
    let tx = shared.tx.clone();
    monoio::spawn(server.serve(listener, move |req| {
        peer_api::handle(tx.clone(), request_ids.clone(), req)
    }));
    Ok(())
}

fn start_for_callers(
    settings: &Settings,
    shared: &Shared,
    request_ids: RequestIds,
) -> anyhow::Result<()> {
    let listener = listen_for_clients(settings.callers)?;
    let server = Server::new(
        shared.caller_limits.clone(),
        shared.refusals.of_server("callers"),
    );
    let cx = caller_api::Context {
        tx: shared.tx.clone(),
        request_ids,
        stopping: shared.stopping.clone(),
        platform_client: shared.platform_client.clone(),
        memory: MemoryQuota::new(QUEUED_REQUEST_BYTES),
        refusals: shared.refusals.of_server("callers"),
    };
    monoio::spawn(server.serve(listener, move |req| caller_api::handle(cx.clone(), req)));
    Ok(())
}

fn start_for_readiness(
    settings: &Settings,
    limits: ServerLimits,
    shared: &Shared,
) -> anyhow::Result<()> {
    let listener = listen_for_clients(settings.readiness)?;
    let server = Server::new(limits.into(), shared.refusals.of_server("readiness"));
    let (tx, path) = (shared.tx.clone(), shared.platform_client.readiness_path);
    monoio::spawn(server.serve(listener, move |req| readiness_reply(tx.clone(), path, req)));
    Ok(())
}

fn start_for_metrics(
    settings: &Settings,
    limits: ServerLimits,
    shared: &Shared,
) -> anyhow::Result<()> {
    let listener = listen_for_clients(settings.metrics)?;
    let server = Server::new(limits.into(), shared.refusals.of_server("metrics"));
    let tx = shared.tx.clone();
    monoio::spawn(server.serve(listener, move |_| metrics_reply(tx.clone())));
    Ok(())
}

/// Converts the limits of the configuration to those of a server.
#[must_use]
pub fn request_limits(limits: &configuration::RequestLimits) -> RequestLimits {
    RequestLimits {
        head_bytes: saturating_usize(limits.head_bytes).min(MAX_HEAD_BYTES),
        body_bytes: saturating_usize(limits.body_bytes),
        idle_timeout: bounded_timeout(limits.idle_timeout_ms) + IDLE_MARGIN,
        head_timeout: bounded_timeout(limits.head_timeout_ms),
    }
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn bounded_timeout(ms: Millis) -> Duration {
    Duration::from_millis(ms.min(MAX_TIMEOUT_MS))
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
