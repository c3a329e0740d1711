//! An HTTP client with a pool of connections for each address: `pool.rs` tells which of
//! them are used again.

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

use crate::body::{body_length, BoundedHead, PartOfBody, ReadError};
use crate::body_rate::BodyRate;
use crate::pool::{OpenCall, Pool};

/// A connection on which nothing comes is probed after this, and again after as long;
/// it ends when neither is acknowledged. The least that the kernel takes. It guards reads
/// that wait for a change: on a connection that fell silent they end after 2 s, before
/// the store's answer is overdue after 3 s.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Probes that may stay without an acknowledgement.
const KEEP_ALIVE_PROBES: u32 = 1;

/// Bounds on what a client keeps and waits for.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest time to set up a connection.
    pub connect_timeout: Duration,
    /// Longest head of a reply, in bytes.
    pub head_bytes: usize,
    /// Longest body of a reply, in bytes.
    pub body_bytes: usize,
    /// Idle connections kept for each address.
    pub idle_per_address: usize,
    /// Once a call has waited for its reply for this long, later calls to its address
    /// open connections of their own instead of using idle ones that may be dead too.
    /// None where replies may take long.
    pub suspect_after: Option<Duration>,
    /// How fast long bodies are read; as fast as they come without one.
    pub body_rate: Option<BodyRate>,
}

// All chosen, not measured.
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

/// Why a call has no reply.
#[derive(Debug, Error)]
pub enum CallError {
    /// No byte of the request was written.
    #[error("request not sent: {0}")]
    NotSent(#[source] ReadError),
    /// The request was written, whole or in part.
    #[error("request sent, no reply: {0}")]
    OutcomeUnknown(#[source] ReadError),
}

/// A reply read whole.
#[derive(Debug)]
pub struct ClientReply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// An open connection.
struct Connection {
    reader: FramedRead<TcpOwnedReadHalf, BoundedHead<ResponseHeadDecoder>>,
    writer: GenericEncoder<TcpOwnedWriteHalf>,
}

/// Calls HTTP servers and keeps their connections. Clones share the pool.
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
    /// Creates a client.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pool: Pool::new(limits.idle_per_address, limits.suspect_after),
        }
    }

    /// Sends a request and waits for the reply, `wait` at most for its head, and as long
    /// for each further part of its body.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] only if no byte was written.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut req = request(addr, method, path, body);
        let content_type = HeaderValue::from_static(content_type);
        req.headers_mut().insert(CONTENT_TYPE, content_type);
        self.exchange(addr, req, wait).await
    }

    /// Sends a request with headers of its own and waits for the reply as [`Client::call`]
    /// does.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] only if no byte was written.
    pub async fn call_with(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut req = request(addr, method, path, body);
        req.headers_mut().extend(headers);
        self.exchange(addr, req, wait).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Payload>,
        wait: Duration,
    ) -> Result<ClientReply, CallError> {
        let mut call = self.begin(addr).await?;
        match exchange(&mut call.connection, req, self.limits, wait).await {
            Err(error) => {
                if error.is_timeout() {
                    call.open.timed_out();
                }
                Err(CallError::OutcomeUnknown(error))
            }
            Ok(reply) => {
                call.open.replied(Instant::now(), call.connection);
                Ok(reply)
            }
        }
    }

    /// Takes a connection for a call, an idle one if one is left that is trusted.
    async fn begin(&self, addr: SocketAddr) -> Result<Call, CallError> {
        let now = Instant::now();
        while let Some(mut connection) = self.pool.take(addr, now) {
            if is_alive(&mut connection).await {
                let open = self.pool.begin(addr, now, true);
                return Ok(Call { connection, open });
            }
        }
        let connection = self.connect(addr).await?;
        let open = self.pool.begin(addr, now, false);
        Ok(Call { connection, open })
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

/// A call whose request is being sent.
struct Call {
    connection: Connection,
    open: OpenCall<Connection>,
}

/// Sets a connection's options. Without them it still works, only slower.
fn set_options(stream: &TcpStream, addr: SocketAddr) {
    let (idle, probes) = (Some(KEEP_ALIVE), Some(KEEP_ALIVE_PROBES));
    let set = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_tcp_keepalive(idle, idle, probes));
    if let Err(error) = set {
        debug!(%addr, %error, "connection without its options");
    }
}

/// Returns whether an idle connection is still open: nothing may have come on
/// it, neither bytes nor its end.
async fn is_alive(connection: &mut Connection) -> bool {
    let mut peek = std::pin::pin!(connection.reader.peek_data());
    // One look is enough, and cheaper than a timer.
    std::future::poll_fn(|cx| Poll::Ready(peek.as_mut().poll(cx).is_pending())).await
}

fn request(addr: SocketAddr, method: Method, path: &str, body: Bytes) -> Request<Payload> {
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
        .expect("callers pass valid paths")
}

/// Sends a request and reads its reply. `wait` bounds each silence: until the head has
/// come, and from one part of the body to the next, so that a long reply on a slow link goes
/// on as long as it makes progress.
async fn exchange(
    connection: &mut Connection,
    req: Request<Payload>,
    limits: ClientLimits,
    wait: Duration,
) -> Result<ClientReply, ReadError> {
    let head = begin_exchange(connection, req);
    let head = within(wait, head).await?;
    let length = body_length(&head.headers, limits.body_bytes)?;
    let body = read_body(connection, length, limits.body_rate, wait).await?;
    Ok(ClientReply {
        status: head.status,
        body,
    })
}

/// Sends a request and reads the head of its reply.
async fn begin_exchange(
    connection: &mut Connection,
    req: Request<Payload>,
) -> Result<ResponseHead, ReadError> {
    let sent = connection.writer.send_and_flush(req).await;
    sent.map_err(|_| ReadError::Ended)?;
    connection.reader.next().await.ok_or(ReadError::Ended)?
}

/// Reads a body part by part.
async fn read_body(
    connection: &mut Connection,
    length: usize,
    rate: Option<BodyRate>,
    wait: Duration,
) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while body.len() < length {
        let mut missing = PartOfBody(length - body.len());
        let part = within(wait, async {
            let part = connection.reader.next_with(&mut missing).await;
            part.ok_or(ReadError::Ended)?
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

/// Fails a step that takes longer than `wait`.
async fn within<T>(
    wait: Duration,
    step: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    timeout(wait, step).await.map_err(|_| ReadError::TimedOut)?
}
