//! Serves the requests of one connection, one after the other.
//!
//! It owns the connection's buffers and relies on `connections` for its slot.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, Version};
use monoio::io::sink::{Sink, SinkExt};
use monoio::io::stream::Stream;
use monoio::io::Splitable;
use monoio::net::tcp::{TcpOwnedReadHalf, TcpOwnedWriteHalf};
use monoio::net::TcpStream;
use monoio_codec::FramedRead;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use crate::body::{body_length, BoundedHead, ExactBody, ReadError};
use crate::connections::{Connection, Evicted};
use crate::limits::{ServerLimits, SharedLimits};
use crate::memory::MemoryQuota;
use crate::polling::{poll_once, within, yield_now, TimedOut};
use crate::refusals::Refusal;
use crate::{HttpReply, HttpRequest};

/// Bodies up to this length, in bytes, are part of what a connection may take. Longer ones are
/// counted against the server's memory.
pub const UNCOUNTED_BODY_BYTES: usize = 8 * 1024;
/// The first size of a connection's receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// After so many requests in a row a connection lets other tasks run.
const REQUESTS_PER_TURN: usize = 16;
/// How long a client is given to read a refusal before its connection is closed.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// The most bytes that are discarded while a client is given time to read a refusal.
const DRAIN_BYTES: usize = 1024 * 1024;
/// When a client that was refused for lack of resources may come back, in seconds.
const RETRY_AFTER_S: u64 = 1;

type Reader = FramedRead<TcpOwnedReadHalf, BoundedHead<RequestHeadDecoder>>;
type Writer = GenericEncoder<TcpOwnedWriteHalf>;

/// Both directions of a connection.
pub(crate) struct Transport {
    reader: Reader,
    writer: Writer,
}

/// What a connection shares with its server.
pub(crate) struct Context {
    pub(crate) limits: SharedLimits,
    pub(crate) memory: MemoryQuota,
    pub(crate) connection: Connection,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, head_bytes: usize) -> Self {
        // The connection works without the option.
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        let head = BoundedHead::new(RequestHeadDecoder, head_bytes);
        Self {
            reader: FramedRead::with_capacity(r, head, RECEIVE_BUFFER_BYTES),
            writer: GenericEncoder::new(w),
        }
    }

    /// Sends a refusal as far as the connection takes it at once, and closes the sending side.
    async fn refuse_at_once(&mut self, reply: HttpReply) {
        let sending = pin!(self.send_last(reply));
        // What isn't sent by a single poll is given up.
        let _ = poll_once(sending).await;
    }

    /// Sends a refusal and gives the client a limited time to read it.
    pub(crate) async fn refuse_and_drain(&mut self, reply: HttpReply) {
        let refusing = pin!(async {
            self.send_last(reply).await;
            discard(&mut self.reader).await;
        });
        // Ends with the time, the client's close or too many bytes.
        let _ = within(DRAIN_TIME, refusing).await;
    }

    /// Sends a reply and closes the sending side. Both fail if the client has closed the
    /// connection.
    async fn send_last(&mut self, reply: HttpReply) {
        let reply = response(reply, true);
        if self.writer.send_and_flush(reply).await.is_ok() {
            let _ = Sink::<Response<Payload>>::close(&mut self.writer).await;
        }
    }
}

/// Discards what a client still sends: a close with unread bytes resets the connection, and the
/// client may lose the last reply.
async fn discard(reader: &mut Reader) {
    let mut discarded = 0;
    while discarded < DRAIN_BYTES {
        reader.read_buffer_mut().clear();
        match reader.peek_data().await {
            Ok(data) if !data.is_empty() => discarded += data.len(),
            Ok(_) | Err(_) => return,
        }
    }
}

/// Serves a connection until it is closed.
///
/// # Errors
///
/// Fails if a request isn't received whole and valid, or its reply can't be sent.
pub(crate) async fn serve_connection<H, F>(
    mut transport: Transport,
    cx: Context,
    handler: H,
) -> Result<(), ReadError>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpReply>,
{
    for number in 1.. {
        let limits = cx.limits.get();
        let req = match read_unless_evicted(&mut transport.reader, &cx, &limits).await {
            Ok(Some(req)) => req,
            Ok(None) => return Ok(()),
            Err(error) => {
                refuse(&mut transport, &cx.connection, &error).await;
                return Err(error);
            }
        };
        let close = wants_close(&req);
        let Some(reply) = reply_unless_disconnected(&mut transport.reader, handler(req)).await
        else {
            return Err(ReadError::ConnectionClosed);
        };
        let close = close || reply.close || cx.connection.must_free_slot();
        let reply = response(reply, close);
        send_reply(&mut transport.writer, &cx.connection, reply, &limits).await?;
        if close {
            // Fails if the client has closed the connection.
            let _ = Sink::<Response<Payload>>::close(&mut transport.writer).await;
            return Ok(());
        }
        if number % REQUESTS_PER_TURN == 0 {
            yield_now().await;
        }
    }
    Ok(())
}

/// Reads a request as [`read_request`] does, unless the connection is evicted.
async fn read_unless_evicted(
    reader: &mut Reader,
    cx: &Context,
    limits: &ServerLimits,
) -> Result<Option<HttpRequest>, ReadError> {
    let reading = pin!(read_request(reader, limits, &cx.memory));
    let read = cx.connection.wait_for_client(reading).await;
    read.unwrap_or_else(|Evicted| Err(ReadError::Evicted))
}

/// Answers a request that can't be read, where the client may still read an answer.
async fn refuse(transport: &mut Transport, connection: &Connection, error: &ReadError) {
    let Some(reply) = error_reply(error) else {
        return;
    };
    if matches!(error, ReadError::Evicted) {
        return transport.refuse_at_once(reply).await;
    }
    let refusing = pin!(transport.refuse_and_drain(reply));
    // An eviction ends the time that the client is given.
    let _ = connection.wait_for_client(refusing).await;
}

/// Sends a reply within the time that clients have to take it.
async fn send_reply(
    writer: &mut Writer,
    connection: &Connection,
    reply: Response<Payload>,
    limits: &ServerLimits,
) -> Result<(), ReadError> {
    let sending = pin!(writer.send_and_flush(reply));
    let sending = pin!(within(limits.reply_timeout, sending));
    match connection.wait_for_client(sending).await {
        Ok(Ok(Ok(()))) => Ok(()),
        Ok(Ok(Err(_))) => Err(ReadError::ConnectionClosed),
        Ok(Err(TimedOut)) => Err(ReadError::UnreadReply),
        Err(Evicted) => Err(ReadError::Evicted),
    }
}

/// Awaits a handler's reply. Drops the handler and returns `None` if the caller disconnects.
///
/// The connection is polled before the handler: a handler whose caller has already
/// disconnected never starts. Otherwise a task may run twice at once, because a caller whose
/// connection was reset sends its request to another host.
async fn reply_unless_disconnected(
    reader: &mut Reader,
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

/// Reads a request; returns `None` if the connection was closed or stayed idle before one.
async fn read_request(
    reader: &mut Reader,
    limits: &ServerLimits,
    memory: &MemoryQuota,
) -> Result<Option<HttpRequest>, ReadError> {
    if !has_data(reader, limits.idle_timeout).await? {
        return Ok(None);
    }
    let Some(head) = read_head(reader, limits).await? else {
        return Ok(None);
    };
    let length = body_length(&head.headers, limits.body_bytes)?;
    let body = if length == 0 {
        Bytes::new()
    } else {
        read_body(reader, length, limits, memory).await?
    };
    Ok(Some(HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    }))
}

/// Returns true once data is received; false if the connection is closed or idle for too long.
async fn has_data(reader: &mut Reader, idle_timeout: Duration) -> Result<bool, ReadError> {
    let peeking = pin!(reader.peek_data());
    match within(idle_timeout, peeking).await {
        Err(TimedOut) => Ok(false),
        Ok(data) => Ok(!data?.is_empty()),
    }
}

/// Reads a head of which a part was received; returns `None` if the connection was closed.
async fn read_head(
    reader: &mut Reader,
    limits: &ServerLimits,
) -> Result<Option<RequestHead>, ReadError> {
    reader.decoder_mut().set_limit(limits.head_bytes);
    let reading = pin!(reader.next());
    match within(limits.head_timeout, reading).await {
        Err(TimedOut) => Err(ReadError::TimedOut),
        Ok(head) => head.transpose(),
    }
}

/// Reads a body of a known length. Its memory is reserved before the first byte is read.
async fn read_body(
    reader: &mut Reader,
    length: usize,
    limits: &ServerLimits,
    memory: &MemoryQuota,
) -> Result<Bytes, ReadError> {
    let counted = if length > UNCOUNTED_BODY_BYTES {
        length
    } else {
        0
    };
    let permit = memory.reserve(counted);
    let permit = permit.ok_or(ReadError::OutOfMemory(length))?;
    let mut exact = ExactBody(length);
    let body = {
        let reading = pin!(reader.next_with(&mut exact));
        match within(limits.body_timeout, reading).await {
            Err(TimedOut) => return Err(ReadError::TimedOut),
            Ok(None) => return Err(ReadError::ConnectionClosed),
            Ok(Some(body)) => body?,
        }
    };
    if counted == 0 {
        return Ok(body);
    }
    // The rest shares its memory with the body, and would keep it.
    let rest = BytesMut::from(&reader.read_buffer()[..]);
    *reader.read_buffer_mut() = rest;
    Ok(permit.hold_for(body))
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
        ReadError::OutOfMemory(_) => return Some(out_of_memory()),
        ReadError::Evicted => return Some(too_many_connections()),
        ReadError::Io(_) | ReadError::ConnectionClosed | ReadError::UnreadReply => return None,
    };
    Some(HttpReply::problem(status, kind, title))
}

/// Returns the reply to a request for which there is no memory.
#[must_use]
pub fn out_of_memory() -> HttpReply {
    let title = "The host has no memory for this request now; come back later";
    let mut reply = HttpReply::problem(StatusCode::SERVICE_UNAVAILABLE, "no-memory", title);
    reply.retry_after_s = Some(RETRY_AFTER_S);
    reply
}

/// Returns the reply on a connection for which there is no slot.
pub(crate) fn too_many_connections() -> HttpReply {
    let title = "The host has too many connections now; come back later";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut reply = HttpReply::problem(status, "too-many-connections", title);
    reply.retry_after_s = Some(RETRY_AFTER_S);
    reply
}

/// Returns the refusal that an error stands for; `None` if the client closed the connection.
pub(crate) fn refusal_of(error: &ReadError) -> Option<Refusal> {
    match error {
        ReadError::HeadTooLong(_) | ReadError::BodyTooLong(_) => Some(Refusal::TooLong),
        ReadError::InvalidLength | ReadError::MalformedHead(_) => Some(Refusal::Malformed),
        ReadError::TimedOut => Some(Refusal::TooSlow),
        ReadError::OutOfMemory(_) => Some(Refusal::OutOfMemory),
        ReadError::Evicted => Some(Refusal::Evicted),
        ReadError::UnreadReply => Some(Refusal::UnreadReply),
        ReadError::Io(_) | ReadError::ConnectionClosed => None,
    }
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
