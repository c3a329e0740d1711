//! The HTTP API for callers, operators, health checks and metrics.

use gannetridge_entry_core::Host;
use gannetridge_entry_wire::Submission;
use gannetridge_net::{
    out_of_memory, HttpReply, HttpRequest, MemoryQuota, Refusal, ServerRefusals,
    UNCOUNTED_BODY_BYTES,
};
use gannetridge_process::mailbox::ask;
use gannetridge_process::text::shorten;
use http::{Method, StatusCode};
use serde::Serialize;
use tracing::warn;

use crate::core_task::{Message, MessageSender};
use crate::metrics::Metrics;
use crate::{operator_api, problem};

/// What the requests of all clients share.
#[derive(Clone)]
pub struct Context {
    /// Sends requests to the core task.
    pub tx: MessageSender,
    /// The memory of submissions without an answer so far.
    pub memory: MemoryQuota,
    /// Counts the submissions for which there is no memory.
    pub refusals: ServerRefusals,
}

/// Routes a request by method and path, and handles it.
pub async fn handle(cx: Context, req: HttpRequest) -> HttpReply {
    let tx = cx.tx.clone();
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/v1/submissions") => submit(cx, req).await,
        (&Method::GET, "/v1/status") => inspect(tx, status_reply).await,
        (&Method::GET, "/healthz") => HttpReply::new(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => inspect(tx, readiness_reply).await,
        (&Method::GET, "/metrics") => inspect(tx, metrics_reply).await,
        (_, path) if path.starts_with(operator_api::PREFIX) => operator_api::handle(tx, &req).await,
        (_, "/v1/submissions" | "/v1/status" | "/healthz" | "/readyz" | "/metrics") => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            problem::simple(
                status,
                "no-such-method",
                "The path doesn't take this method",
            )
        }
        _ => problem::simple(StatusCode::NOT_FOUND, "no-such-path", "No such path"),
    }
}

async fn submit(cx: Context, req: HttpRequest) -> HttpReply {
    let submission: Submission = match serde_json::from_slice(&req.body) {
        Ok(submission) => submission,
        Err(error) => {
            let title = "The body is no submission";
            // The error may repeat a part of the body.
            let error = error.to_string();
            return problem::bad_request("bad-submission", title, shorten(&error));
        }
    };
    // The submission holds nothing of the body, which may be long.
    drop(req);
    let bytes = submission.bytes();
    let counted = if bytes > UNCOUNTED_BODY_BYTES {
        bytes
    } else {
        0
    };
    let Some(memory) = cx.memory.reserve(counted) else {
        cx.refusals.add(Refusal::OutOfMemory);
        return out_of_memory();
    };
    let asked = ask(&cx.tx, |tx| Message::Submit {
        submission: Box::new(submission),
        memory,
        tx,
    });
    match asked.await {
        Ok(answer) => problem::answer_reply(&answer),
        Err(_) => stopping_reply(),
    }
}

pub(crate) fn stopping_reply() -> HttpReply {
    let title = "The host is stopping; ask another";
    problem::simple(StatusCode::SERVICE_UNAVAILABLE, "stopping", title)
}

/// Returns a reply that is computed from the host's current state.
pub(crate) async fn inspect(
    tx: MessageSender,
    make_reply: impl FnOnce(&Host, &Metrics) -> HttpReply + 'static,
) -> HttpReply {
    let asked = ask(&tx, |reply_tx| {
        Message::Inspect(Box::new(move |host, metrics| {
            // The client may have disconnected.
            let _ = reply_tx.send(make_reply(host, metrics));
        }))
    });
    asked.await.unwrap_or_else(|_| stopping_reply())
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct StatusView<'a> {
    name: &'a str,
    incarnation: u64,
    hall: &'a str,
    ready: bool,
    config_version: u64,
    shards: Vec<u16>,
    jobs: usize,
    remembered: usize,
    targets: usize,
    leaving: Vec<gannetridge_wire::Name>,
}

fn status_reply(host: &Host, _: &Metrics) -> HttpReply {
    let settings = host.settings();
    let view = StatusView {
        name: &settings.id.name,
        incarnation: settings.id.incarnation,
        hall: &settings.hall,
        ready: host.is_ready(),
        config_version: host.config().version(),
        shards: host
            .ownership()
            .held_shards()
            .into_iter()
            .map(|(s, _)| s)
            .collect(),
        jobs: host.running_jobs(),
        remembered: host.ledger_len(),
        targets: host.targets().len(),
        leaving: host.targets().leaving(),
    };
    let body = serde_json::to_vec(&view).expect("plain data has a JSON form");
    HttpReply::json(StatusCode::OK, body)
}

fn readiness_reply(host: &Host, _: &Metrics) -> HttpReply {
    if host.is_ready() {
        return HttpReply::new(StatusCode::OK, "text/plain", "ready\n");
    }
    let title = "The host has no configuration or targets yet, or is stopping";
    problem::simple(StatusCode::SERVICE_UNAVAILABLE, "not-ready", title)
}

fn metrics_reply(_: &Host, metrics: &Metrics) -> HttpReply {
    metrics.reply().unwrap_or_else(|error| {
        warn!(%error, "failed to encode the metrics");
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        problem::simple(status, "metrics", "The metrics can't be encoded")
    })
}
