//! The operators' HTTP API: reads and changes of configuration documents.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_core::{ChangeRequest, Host};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;
use gannetridge_wire::Name;
use http::{Method, StatusCode};

use crate::core_task::{Message, MessageSender};
use crate::metrics::Metrics;
use crate::{problem, public_api};

/// Prefix of the paths of this API.
pub const PREFIX: &str = "/v1/config";

/// Handles a request whose path starts with [`PREFIX`].
pub async fn handle(tx: MessageSender, req: &HttpRequest) -> HttpReply {
    let key_text = req.path[PREFIX.len()..].trim_start_matches('/');
    if key_text.is_empty() && req.method == Method::GET {
        return public_api::inspect(tx, all_documents).await;
    }
    let key: DocumentKey = match key_text.parse() {
        Ok(key) => key,
        Err(error) => {
            let title = "The path names no document";
            return problem::bad_request("bad-document-key", title, &error_text(&error));
        }
    };
    match req.method {
        Method::GET => {
            public_api::inspect(tx, move |host, metrics| document(host, metrics, &key)).await
        }
        Method::PUT => change_document(tx, req, key).await,
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            problem::simple(status, "no-such-method", "The path takes GET and PUT")
        }
    }
}

fn error_text(error: &impl std::fmt::Display) -> String {
    error.to_string()
}

fn all_documents(host: &Host, _: &Metrics) -> HttpReply {
    let body = serde_json::to_vec(host.config().snapshot()).expect("plain data has a JSON form");
    HttpReply::json(StatusCode::OK, body)
}

fn document(host: &Host, _: &Metrics, key: &DocumentKey) -> HttpReply {
    let name = key.to_string();
    let mut docs = host.config().snapshot().docs.iter();
    match docs.find(|doc| *doc.key == *name) {
        Some(doc) => {
            let body = serde_json::to_vec(doc).expect("plain data has a JSON form");
            HttpReply::json(StatusCode::OK, body)
        }
        None => problem::simple(
            StatusCode::NOT_FOUND,
            "no-such-document",
            "No such document",
        ),
    }
}

/// Returns the value of the first parameter `key` in a query string, without decoding it.
fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(k, _)| *k == key).map(|(_, v)| v).next()
}

async fn change_document(tx: MessageSender, req: &HttpRequest, key: DocumentKey) -> HttpReply {
    let read_at = query_value(&req.query, "read-at").and_then(|v| v.parse().ok());
    let change_id = query_value(&req.query, "change-id").filter(|id| !id.is_empty());
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
        Ok(answer) => problem::change_reply(&answer),
        Err(_) => public_api::stopping_reply(),
    }
}
