//! Requests and replies as request handlers use them.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

/// A complete request.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method; each handler decides which ones it takes.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query without the question mark, or an empty string.
    pub query: String,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// The body; may be empty.
    pub body: Bytes,
}

/// A complete reply to send.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status code.
    pub status: StatusCode,
    /// The media type of the body. If it is empty, the header is left out: both sides know
    /// the type, and the head stays short.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header in seconds; left out if `None`.
    pub retry_after_s: Option<u64>,
    /// If true, the server closes the connection after this reply.
    pub close: bool,
    /// The body; may be empty.
    pub body: Bytes,
}

impl HttpReply {
    /// Creates a reply that keeps the connection open and has no `Retry-After` header.
    #[must_use]
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type,
            retry_after_s: None,
            close: false,
            body: body.into(),
        }
    }

    /// Creates a JSON reply.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, "application/json", body)
    }

    /// Creates a reply with problem details (RFC 9457). `kind` and `title` are written
    /// unescaped.
    #[must_use]
    pub fn problem(status: StatusCode, kind: &str, title: &str) -> Self {
        let body = format!(
            r#"{{"type":"urn:gannetridge:{kind}","title":"{title}","status":{}}}"#,
            status.as_u16()
        );
        Self::new(status, PROBLEM_JSON, body)
    }
}

/// The media type of problem details (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";
