//! An HTTP client with a pool of connections for each address. The `pool` module decides
//! which idle connections are reused.

use std::future::Future;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Version};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::Splitable;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::FramedRead;
use monoio_http::common::error::HttpError;
use monoio_http::common::response::ResponseHead;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use thiserror::Error;
use tracing::debug;

use crate::body::{body_length, BodyPart, BoundedHead, ReadError};
use crate::body_rate::BodyRate;
use crate::pool::{PendingCall, Pool};

/// Idle time before a TCP keepalive probe is sent, and the time in which it has to be
/// acknowledged; one second is the kernel's minimum. Long polls on a connection that has gone
/// silent thus fail after 2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 1;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest time to set up a connection.
    pub connect_timeout: Duration,
    /// Longest accepted head of a reply, in bytes.
    pub head_bytes: usize,
    /// Longest accepted body of a reply, in bytes.
    pub body_bytes: usize,
    /// Maximum number of idle connections kept for each address.
    pub idle_per_address: usize,
    /// Once a call on a reused connection has waited for its reply for this long, later
    /// calls to its address don't use idle connections that may be dead too. `None` where
    /// replies may take long.
    pub suspect_after: Option<Duration>,
    /// The highest rate at which long bodies are read; unlimited if `None`.
    pub body_rate: Option<BodyRate>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            head_bytes: 16 * 1024,
            body_bytes: 16 * 1024 * 1024,
            idle_per_address: 32,
            suspect_after: None,
            body_rate: None,
        }
    }
}

/// The reason why a call has no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// The method, path or headers form no valid request; nothing was sent.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] http::Error),
    /// No byte of the request was written, so the server can't have processed it.
    #[error("request not sent: {0}")]
    NotSent(#[source] ReadError),
    /// The request was written in whole or in part: the server may have processed it.
    #[error("request sent, no reply: {0}")]
    OutcomeUnknown(#[source] ReadError),
}

/// A complete reply.
#[derive(Debug)]
pub struct ClientReply {
    /// The status code.
    pub status: StatusCode,
    /// The body, empty if the reply has none.
    pub body: Bytes,
}

/// An open connection to a server.
struct Connection {
    reader: FramedRead<TcpOwnedReadHalf, BoundedHead<ResponseHeadDecoder>>,
    writer: GenericEncoder<TcpOwnedWriteHalf>,
}

/// Calls HTTP servers and reuses connections. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    limits: ClientLimits,
    pool: Pool<Connection>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(ClientLimits::default())
    }
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pool: Pool::new(limits.idle_per_address, limits.suspect_after),
        }
    }

    /// Sends a request and returns the reply. `wait` bounds the time until the reply's head
    /// is received, and from then on until each further part of its body is.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::InvalidRequest`] if `path` isn't a valid URI, and with
    /// [`CallError::NotSent`] only if no byte was written.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut req = request(addr, method, path, body)?;
        let content_type = HeaderValue::from_static(content_type);
        req.headers_mut().insert(CONTENT_TYPE, content_type);
        self.exchange(addr, req, wait).await
    }

    /// Sends a request with the given headers and returns the reply. The time limits are
    /// those of [`Client::call`].
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::InvalidRequest`] if `path` isn't a valid URI, and with
    /// [`CallError::NotSent`] only if no byte was written.
    pub async fn call_with(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut req = request(addr, method, path, body)?;
        req.headers_mut().extend(headers);
        self.exchange(addr, req, wait).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Payload>,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut call = self.start_call(addr).await?;
        match exchange(&mut call.connection, req, self.limits, wait).await {
            Err(error) => {
                if error.is_timeout() {
                    call.pending.record_timeout();
                }
                Err(CallError::OutcomeUnknown(error))
            }
            Ok(reply) => {
                call.pending.record_reply(Instant::now(), call.connection);
                Ok(reply)
            }
        }
    }

    /// Starts a call on an idle connection that isn't suspect, else on a new one.
    async fn start_call(&self, addr: SocketAddr) -> Result<Call, CallError> {
        let now = Instant::now();
        while let Some(mut connection) = self.pool.take_idle(addr, now) {
            if is_open(&mut connection).await {
                let pending = self.pool.start_call(addr, now, true);
                return Ok(Call {
                    connection,
                    pending,
                });
            }
        }
        let connection = self.connect(addr).await?;
        let pending = self.pool.start_call(addr, now, false);
        Ok(Call {
            connection,
            pending,
        })
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, CallError> {
        let connecting = TcpStream::connect_addr(addr);
        let stream = match timeout(self.limits.connect_timeout, connecting).await {
            Err(_) => return Err(CallError::NotSent(ReadError::TimedOut)),
            Ok(Err(error)) => return Err(CallError::NotSent(error.into())),
            Ok(Ok(stream)) => stream,
        };
        set_options(&stream, addr);
        let (r, w) = stream.into_split();
        let head = BoundedHead::new(ResponseHeadDecoder, self.limits.head_bytes);
        Ok(Connection {
            reader: FramedRead::new(r, head),
            writer: GenericEncoder::new(w),
        })
    }
}

/// A call and the connection that it uses.
struct Call {
    connection: Connection,
    pending: PendingCall<Connection>,
}

/// Disables Nagle's algorithm and enables keepalive. A failure is only logged: the
/// connection works without them.
fn set_options(stream: &TcpStream, addr: SocketAddr) {
    let (interval, probes) = (Some(KEEPALIVE_INTERVAL), Some(KEEPALIVE_PROBES));
    let set = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_tcp_keepalive(interval, interval, probes));
    if let Err(error) = set {
        debug!(%addr, %error, "socket options not set");
    }
}

/// Returns true if an idle connection can be used: neither unexpected bytes nor the end of
/// the stream were received.
async fn is_open(connection: &mut Connection) -> bool {
    let mut peek = std::pin::pin!(connection.reader.peek_data());
    // A single poll, which is cheaper than a timer.
    std::future::poll_fn(|cx| Poll::Ready(peek.as_mut().poll(cx).is_pending())).await
}

fn request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Payload>, CallError> {
    let payload: Payload = if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::<_, HttpError>::new(body))
    };
    Request::builder()
        .method(method)
        .uri(path)
        .version(Version::HTTP_11)
        .header(http::header::HOST, addr.to_string())
        .body(payload)
        .map_err(CallError::InvalidRequest)
}

/// Sends a request and reads its reply. `wait` bounds the time until the head and then each
/// part of the body is received, so a long reply on a slow link doesn't time out while it
/// makes progress.
async fn exchange(
    connection: &mut Connection,
    req: Request<Payload>,
    limits: ClientLimits,
    wait: Duration,
) -> Result<ClientReply, ReadError> {
    let head = send_and_read_head(connection, req);
    let head = with_timeout(wait, head).await?;
    let length = body_length(&head.headers, limits.body_bytes)?;
    let body = read_body(connection, length, limits.body_rate, wait).await?;
    Ok(ClientReply {
        status: head.status,
        body,
    })
}

/// Sends a request and reads the head of its reply.
async fn send_and_read_head(
    connection: &mut Connection,
    req: Request<Payload>,
) -> Result<ResponseHead, ReadError> {
    let sent = connection.writer.send_and_flush(req).await;
    sent.map_err(|_| ReadError::ConnectionClosed)?;
    connection
        .reader
        .next()
        .await
        .ok_or(ReadError::ConnectionClosed)?
}

/// Reads a body of `length` bytes in parts, no faster than `rate`.
async fn read_body(
    connection: &mut Connection,
    length: usize,
    rate: Option<BodyRate>,
    wait: Duration,
) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while body.len() < length {
        let mut decoder = BodyPart(length - body.len());
        let part = with_timeout(wait, async {
            let part = connection.reader.next_with(&mut decoder).await;
            part.ok_or(ReadError::ConnectionClosed)?
        });
        let part = part.await?;
        let pause = rate.and_then(|rate| rate.pause_after(body.len(), part.len()));
        if body.is_empty() {
            body = part;
        } else {
            body.extend_from_slice(&part);
        }
        if let Some(pause) = pause.filter(|_| body.len() < length) {
            monoio::time::sleep(pause).await;
        }
    }
    Ok(body.freeze())
}

/// Fails with [`ReadError::TimedOut`] if `operation` takes longer than `wait`.
async fn with_timeout<T>(
    wait: Duration,
    operation: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    timeout(wait, operation)
        .await
        .map_err(|_| ReadError::TimedOut)?
}
