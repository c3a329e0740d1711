//! An HTTP server with one task per connection and limits on heads, bodies, idle time and
//! connections per client address.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, Version};
use monoio::io::sink::{Sink, SinkExt};
use monoio::io::Splitable;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_codec::FramedRead;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use tracing::debug;

use crate::body::{body_length, BoundedHead, ExactBody, ReadError};
use crate::{HttpReply, HttpRequest};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest accepted head, in bytes.
    pub head_bytes: usize,
    /// Longest accepted body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the start of a connection, or its last reply, until the head of the
    /// next request is received.
    pub idle_timeout: Duration,
    /// Longest time from the receipt of a head to that of its body.
    pub body_timeout: Duration,
    /// Maximum number of open connections from one IP address.
    pub connections_per_address: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 16 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(10),
            connections_per_address: 4_096,
        }
    }
}

/// Open connections by client address.
type ConnectionCounts = Rc<std::cell::RefCell<HashMap<IpAddr, Rc<Cell<usize>>>>>;

/// Counts a connection until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Binds an address exclusively.
///
/// Hosts rely on this: a process that is bound to an address proves that the process
/// that was bound to it before has ended.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let opts = ListenerOpts::new().reuse_addr(true).reuse_port(false);
    TcpListener::bind_with_config(addr, &opts)
}

/// Accepts connections until the task is dropped, and calls `handler` for each request. The
/// handler's future is dropped if the client disconnects before the reply.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    let counts = ConnectionCounts::default();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Mostly out of file descriptors: leaves open connections time to close.
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(guard) = count_connection(&counts, peer.ip(), limits.connections_per_address)
        else {
            debug!(%peer, "connection refused: too many from this address");
            continue;
        };
        let handler = handler.clone();
        monoio::spawn(async move {
            let _guard = guard;
            if let Err(error) = serve_connection(stream, limits, handler).await {
                debug!(%peer, %error, "connection ended");
            }
        });
    }
}

/// Counts a new connection; returns `None` if the address has `limit` already.
fn count_connection(
    counts: &ConnectionCounts,
    ip: IpAddr,
    limit: usize,
) -> Option<ConnectionGuard> {
    let mut counts = counts.borrow_mut();
    let count = counts.entry(ip).or_default().clone();
    if count.get() >= limit {
        return None;
    }
    count.set(count.get() + 1);
    Some(ConnectionGuard(count))
}

/// Serves the requests of a connection one after the other until it is closed.
async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: H,
) -> Result<(), ReadError>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpReply>,
{
    let _ = stream.set_nodelay(true);
    let (r, w) = stream.into_split();
    let head = BoundedHead::new(RequestHeadDecoder, limits.head_bytes);
    let mut reader = FramedRead::new(r, head);
    let mut writer = GenericEncoder::new(w);
    loop {
        let req = match read_request(&mut reader, &limits).await {
            Ok(Some(req)) => req,
            Ok(None) => return Ok(()),
            Err(error) => {
                if let Some(reply) = error_reply(&error) {
                    let _ = writer.send_and_flush(response(reply, true)).await;
                    let _ = Sink::<Response<Payload>>::close(&mut writer).await;
                }
                return Err(error);
            }
        };
        let close = wants_close(&req);
        let Some(reply) = reply_unless_disconnected(&mut reader, handler(req)).await else {
            return Err(ReadError::ConnectionClosed);
        };
        let close = close || reply.close;
        if writer.send_and_flush(response(reply, close)).await.is_err() {
            return Err(ReadError::ConnectionClosed);
        }
        if close {
            let _ = Sink::<Response<Payload>>::close(&mut writer).await;
            return Ok(());
        }
    }
}

/// Awaits a handler's reply. Drops the handler and returns `None` if the caller disconnects.
///
/// The connection is polled before the handler: a handler whose caller has already
/// disconnected never starts. Otherwise a task may run twice at once, because a caller whose
/// connection was reset sends its request to another host.
async fn reply_unless_disconnected<R: monoio::io::AsyncReadRent>(
    reader: &mut FramedRead<R, BoundedHead<RequestHeadDecoder>>,
    handler: impl Future<Output = HttpReply>,
) -> Option<HttpReply> {
    let mut handler = std::pin::pin!(handler);
    let disconnected = monoio::select! {
        biased;
        peeked = reader.peek_data() => peeked.map_or(true, |data| data.is_empty()),
        reply = &mut handler => return Some(reply),
    };
    // Bytes that were received belong to the next request, which waits for this reply.
    if disconnected {
        return None;
    }
    Some(handler.await)
}

/// Returns true if the client asks to close the connection after the reply.
fn wants_close(req: &HttpRequest) -> bool {
    let connection = req.headers.get(http::header::CONNECTION);
    connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Reads a request; returns `None` if the connection was closed before one.
async fn read_request<R: monoio::io::AsyncReadRent>(
    reader: &mut FramedRead<R, BoundedHead<RequestHeadDecoder>>,
    limits: &ServerLimits,
) -> Result<Option<HttpRequest>, ReadError> {
    use monoio::io::stream::Stream;
    let head = match timeout(limits.idle_timeout, reader.next()).await {
        Err(_) => return Err(ReadError::TimedOut),
        Ok(None) => return Ok(None),
        Ok(Some(head)) => head?,
    };
    let length = body_length(&head.headers, limits.body_bytes)?;
    let body = if length == 0 {
        bytes::Bytes::new()
    } else {
        let mut exact = ExactBody(length);
        match timeout(limits.body_timeout, reader.next_with(&mut exact)).await {
            Err(_) => return Err(ReadError::TimedOut),
            Ok(None) => return Err(ReadError::ConnectionClosed),
            Ok(Some(body)) => body?,
        }
    };
    Ok(Some(HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    }))
}

/// Returns the reply to a request that can't be read; `None` if the connection is unusable.
fn error_reply(error: &ReadError) -> Option<HttpReply> {
    let (status, kind, title) = match error {
        ReadError::HeadTooLong(_) => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head-too-long",
            "The request's head is over the limit",
        ),
        ReadError::BodyTooLong(_) => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-long",
            "The request's body is over the limit",
        ),
        ReadError::InvalidLength => (
            StatusCode::LENGTH_REQUIRED,
            "length-required",
            "The body's length must be given once, as a plain number",
        ),
        ReadError::MalformedHead(_) => (
            StatusCode::BAD_REQUEST,
            "malformed-head",
            "The request's head is malformed",
        ),
        ReadError::TimedOut => (
            StatusCode::REQUEST_TIMEOUT,
            "request-timeout",
            "The request didn't come whole in time",
        ),
        ReadError::Io(_) | ReadError::ConnectionClosed => return None,
    };
    Some(HttpReply::problem(status, kind, title))
}

/// Converts a reply to the form that the encoder takes.
fn response(reply: HttpReply, close: bool) -> Response<Payload> {
    let mut builder = Response::builder()
        .status(reply.status)
        .version(Version::HTTP_11);
    if !reply.content_type.is_empty() {
        builder = builder.header(http::header::CONTENT_TYPE, reply.content_type);
    }
    if let Some(seconds) = reply.retry_after_s {
        builder = builder.header(http::header::RETRY_AFTER, seconds);
    }
    if close {
        builder = builder.header(http::header::CONNECTION, "close");
    }
    let payload: Payload = if reply.body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::<_, HttpError>::new(reply.body))
    };
    builder
        .body(payload)
        .expect("status and headers are known to be valid")
}
