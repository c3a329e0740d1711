//! Requests and replies as handlers see them.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

/// A request read whole.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, or an empty text.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A reply to be written whole.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The media type of the body; empty where both sides know it, and the head is to be
    /// short.
    pub content_type: &'static str,
    /// Seconds for the `Retry-After` header.
    pub retry_after_s: Option<u64>,
    /// Whether the connection ends with this reply.
    pub close: bool,
    /// The body.
    pub body: Bytes,
}

impl HttpReply {
    /// Creates a reply.
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

    /// Creates a problem reply after RFC 9457.
    #[must_use]
    pub fn problem(status: StatusCode, kind: &str, title: &str) -> Self {
        let body = format!(
            r#"{{"type":"urn:gannetridge:{kind}","title":"{title}","status":{}}}"#,
            status.as_u16()
        );
        Self::new(status, PROBLEM_JSON, body)
    }
}

/// The media type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";
