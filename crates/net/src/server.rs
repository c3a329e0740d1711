//! A bounded HTTP server: one task a connection, which ends with it; bounds on heads,
//! bodies, idle time and connections from one address.

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

/// Bounds on what a server reads.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a connection's last reply to the next request.
    pub idle_timeout: Duration,
    /// Longest time for a body once its head has come.
    pub body_timeout: Duration,
    /// Connections from one address at a time.
    pub connections_per_address: usize,
}

// All chosen, not measured: far above what callers and peers send, low enough that one
// address can't exhaust memory.
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

type PerPeer = Rc<std::cell::RefCell<HashMap<IpAddr, Rc<Cell<usize>>>>>;

/// Counts a connection for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Binds an address that no other process may bind at the same time.
///
/// Hosts rely on this: one that runs at an address proves that whatever ran
/// there before has ended.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let opts = ListenerOpts::new().reuse_addr(true).reuse_port(false);
    TcpListener::bind_with_config(addr, &opts)
}

/// Accepts connections for as long as the task lives, and calls `handler` for
/// each request. What it returns is dropped when the request's connection
/// ends before the reply.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    let per_peer = PerPeer::default();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of file descriptors: give the open connections time to end.
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(counted) = admit(&per_peer, peer.ip(), limits.connections_per_address) else {
            debug!(%peer, "connection refused: too many from this address");
            continue;
        };
        let handler = handler.clone();
        monoio::spawn(async move {
            let _counted = counted;
            if let Err(error) = connection(stream, limits, handler).await {
                debug!(%peer, %error, "connection ended");
            }
        });
    }
}

fn admit(per_peer: &PerPeer, ip: IpAddr, limit: usize) -> Option<Counted> {
    let mut per_peer = per_peer.borrow_mut();
    let count = per_peer.entry(ip).or_default().clone();
    if count.get() >= limit {
        return None;
    }
    count.set(count.get() + 1);
    Some(Counted(count))
}

async fn connection<H, F>(
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
                if let Some(reply) = refusal(&error) {
                    let _ = writer.send_and_flush(response(reply, true)).await;
                    let _ = Sink::<Response<Payload>>::close(&mut writer).await;
                }
                return Err(error);
            }
        };
        let close = wants_close(&req);
        let Some(reply) = unless_gone(&mut reader, handler(req)).await else {
            return Err(ReadError::Ended);
        };
        let close = close || reply.close;
        if writer.send_and_flush(response(reply, close)).await.is_err() {
            return Err(ReadError::Ended);
        }
        if close {
            let _ = Sink::<Response<Payload>>::close(&mut writer).await;
            return Ok(());
        }
    }
}

/// Awaits a handler's reply, and drops the handler when its caller is gone.
///
/// The connection is looked at first: a handler whose caller is gone already never begins.
/// Guards against two runs of a task at once: a caller whose connection was reset while its
/// request was on its way sent it to another host 10 ms later, and both began it (1 of 12 plays
/// of the first 3 s of a day on which connections are reset).
async fn unless_gone<R: monoio::io::AsyncReadRent>(
    reader: &mut FramedRead<R, BoundedHead<RequestHeadDecoder>>,
    handler: impl Future<Output = HttpReply>,
) -> Option<HttpReply> {
    let mut handler = std::pin::pin!(handler);
    let gone = monoio::select! {
        biased;
        peeked = reader.peek_data() => peeked.map_or(true, |data| data.is_empty()),
        reply = &mut handler => return Some(reply),
    };
    // What came is the next request; it waits for this one's reply.
    if gone {
        return None;
    }
    Some(handler.await)
}

fn wants_close(req: &HttpRequest) -> bool {
    let connection = req.headers.get(http::header::CONNECTION);
    connection.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}

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
            Ok(None) => return Err(ReadError::Ended),
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

/// Returns what to tell a peer whose request can't be read, if anything.
fn refusal(error: &ReadError) -> Option<HttpReply> {
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
        ReadError::Length => (
            StatusCode::LENGTH_REQUIRED,
            "length-required",
            "The body's length must be given once, as a plain number",
        ),
        ReadError::Head(_) => (
            StatusCode::BAD_REQUEST,
            "malformed-head",
            "The request's head is malformed",
        ),
        ReadError::TimedOut => (
            StatusCode::REQUEST_TIMEOUT,
            "request-timeout",
            "The request didn't come whole in time",
        ),
        ReadError::Io(_) | ReadError::Ended => return None,
    };
    Some(HttpReply::problem(status, kind, title))
}

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
