//! What operators ask: documents, their versions, and changes.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_core::{ChangeRequest, Host};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;
use gannetridge_wire::Name;
use http::{Method, StatusCode};

use crate::core_task::{Message, Sender};
use crate::metrics::Metrics;
use crate::{problem, public_api};

/// The prefix of operators' paths.
pub const PREFIX: &str = "/v1/config";

/// Handles one request of an operator.
pub async fn handle(tx: Sender, req: &HttpRequest) -> HttpReply {
    let rest = req.path[PREFIX.len()..].trim_start_matches('/');
    if rest.is_empty() && req.method == Method::GET {
        return public_api::look(tx, all).await;
    }
    let key: DocumentKey = match rest.parse() {
        Ok(key) => key,
        Err(error) => {
            let title = "The path names no document";
            return problem::bad_request("bad-document-key", title, &error_text(&error));
        }
    };
    match req.method {
        Method::GET => public_api::look(tx, move |host, metrics| one(host, metrics, &key)).await,
        Method::PUT => change(tx, req, key).await,
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            problem::plain(status, "no-such-method", "The path takes GET and PUT")
        }
    }
}

fn error_text(error: &impl std::fmt::Display) -> String {
    error.to_string()
}

fn all(host: &Host, _: &Metrics) -> HttpReply {
    let body = serde_json::to_vec(host.config().snapshot()).expect("plain data has a JSON form");
    HttpReply::json(StatusCode::OK, body)
}

fn one(host: &Host, _: &Metrics, key: &DocumentKey) -> HttpReply {
    let name = key.to_string();
    let mut docs = host.config().snapshot().docs.iter();
    match docs.find(|doc| *doc.key == *name) {
        Some(doc) => {
            let body = serde_json::to_vec(doc).expect("plain data has a JSON form");
            HttpReply::json(StatusCode::OK, body)
        }
        None => problem::plain(
            StatusCode::NOT_FOUND,
            "no-such-document",
            "No such document",
        ),
    }
}

/// Returns the value of a key in a query.
fn in_query<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(k, _)| *k == key).map(|(_, v)| v).next()
}

async fn change(tx: Sender, req: &HttpRequest, key: DocumentKey) -> HttpReply {
    let read_at = in_query(&req.query, "read-at").and_then(|v| v.parse().ok());
    let change_id = in_query(&req.query, "change-id").filter(|id| !id.is_empty());
    let (Some(read_at), Some(change_id)) = (read_at, change_id) else {
        let title = "A change needs `read-at` and `change-id` in the query";
        return problem::bad_request("bad-change", title, &req.query);
    };
    let Ok(text) = std::str::from_utf8(&req.body) else {
        let title = "The document is no UTF-8 text";
        return problem::bad_request("bad-change", title, "body");
    };
    let request = ChangeRequest {
        change_id: Name::from(change_id),
        key,
        read_at,
        text: text.into(),
    };
    let asked = ask(&tx, |tx| Message::Change(request, tx));
    match asked.await {
        Ok(answer) => problem::change(&answer),
        Err(_) => public_api::stopping(),
    }
}
