//! What callers, operators and probes ask, as HTTP with JSON.

use gannetridge_entry_core::Host;
use gannetridge_entry_wire::Submission;
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;
use http::{Method, StatusCode};
use serde::Serialize;
use tracing::warn;

use crate::core_task::{Message, Sender};
use crate::metrics::Metrics;
use crate::{operator_api, problem};

/// Handles one request.
pub async fn handle(tx: Sender, req: HttpRequest) -> HttpReply {
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/v1/submissions") => submit(tx, &req).await,
        (&Method::GET, "/v1/status") => look(tx, status).await,
        (&Method::GET, "/healthz") => HttpReply::new(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/readyz") => look(tx, ready).await,
        (&Method::GET, "/metrics") => look(tx, metrics).await,
        (_, path) if path.starts_with(operator_api::PREFIX) => operator_api::handle(tx, &req).await,
        (_, "/v1/submissions" | "/v1/status" | "/healthz" | "/readyz" | "/metrics") => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            problem::plain(
                status,
                "no-such-method",
                "The path doesn't take this method",
            )
        }
        _ => problem::plain(StatusCode::NOT_FOUND, "no-such-path", "No such path"),
    }
}

async fn submit(tx: Sender, req: &HttpRequest) -> HttpReply {
    let submission: Submission = match serde_json::from_slice(&req.body) {
        Ok(submission) => submission,
        Err(error) => {
            let title = "The body is no submission";
            return problem::bad_request("bad-submission", title, &error.to_string());
        }
    };
    let asked = ask(&tx, |tx| Message::Submit(Box::new(submission), tx));
    match asked.await {
        Ok(answer) => problem::answer(&answer),
        Err(_) => stopping(),
    }
}

pub(crate) fn stopping() -> HttpReply {
    let title = "The host is stopping; ask another";
    problem::plain(StatusCode::SERVICE_UNAVAILABLE, "stopping", title)
}

/// Answers from what stands at the host.
pub(crate) async fn look(
    tx: Sender,
    make: impl FnOnce(&Host, &Metrics) -> HttpReply + 'static,
) -> HttpReply {
    let asked = ask(&tx, |reply_tx| {
        Message::Look(Box::new(move |host, metrics| {
            // Whoever asked may be gone.
            let _ = reply_tx.send(make(host, metrics));
        }))
    });
    asked.await.unwrap_or_else(|_| stopping())
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

fn status(host: &Host, _: &Metrics) -> HttpReply {
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

fn ready(host: &Host, _: &Metrics) -> HttpReply {
    if host.is_ready() {
        return HttpReply::new(StatusCode::OK, "text/plain", "ready\n");
    }
    let title = "The host has no configuration or targets yet, or is stopping";
    problem::plain(StatusCode::SERVICE_UNAVAILABLE, "not-ready", title)
}

fn metrics(_: &Host, metrics: &Metrics) -> HttpReply {
    metrics.reply().unwrap_or_else(|error| {
        warn!(%error, "unencodable metrics");
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        problem::plain(status, "metrics", "The metrics can't be encoded")
    })
}
