//! Decoders that limit the size of heads and bodies.

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::HeaderMap;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;
use thiserror::Error;

/// The reason why a message can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The head is longer than the limit.
    #[error("head exceeds {0} bytes")]
    HeadTooLong(usize),
    /// The body is longer than the limit.
    #[error("body exceeds {0} bytes")]
    BodyTooLong(usize),
    /// The body's length isn't given exactly once as a decimal number, or the message has a
    /// transfer encoding.
    #[error("body length must be given once, as a decimal number")]
    InvalidLength,
    /// The head is malformed.
    #[error("malformed head")]
    MalformedHead(#[from] DecodeError),
    /// Reading from or writing to the connection failed.
    #[error("connection failed")]
    Io(#[from] std::io::Error),
    /// The message wasn't received in time.
    #[error("message not received in time")]
    TimedOut,
    /// The connection was closed before the message was complete.
    #[error("connection closed within a message")]
    ConnectionClosed,
    /// The memory for bodies is in use.
    #[error("no memory for a body of {0} bytes")]
    OutOfMemory(usize),
    /// The connection was closed to free its slot for another one.
    #[error("evicted by another connection")]
    Evicted,
    /// The client didn't take a reply in time.
    #[error("reply not taken in time")]
    UnreadReply,
}

impl ReadError {
    /// Returns true if the message wasn't received in time, or the operating system
    /// reported a timeout of the connection.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::TimedOut => true,
            Self::Io(error) => error.kind() == std::io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Returns true if nothing listens at the address.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// A head decoder that fails on heads over a limit.
pub struct BoundedHead<D> {
    inner: D,
    limit: usize,
}

impl<D> BoundedHead<D> {
    /// Wraps a decoder; heads over `limit` bytes are an error.
    pub fn new(inner: D, limit: usize) -> Self {
        Self { inner, limit }
    }

    /// Changes the limit of further heads.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }
}

impl<D: Decoder<Error = DecodeError>> Decoder for BoundedHead<D> {
    type Item = D::Item;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        let before = src.len();
        let decoded = self.inner.decode(src)?;
        let consumed = before - src.len();
        let incomplete = matches!(decoded, Decoded::Insufficient) && before > self.limit;
        if incomplete || consumed > self.limit {
            return Err(ReadError::HeadTooLong(self.limit));
        }
        Ok(decoded)
    }
}

/// Decodes a body of a known length in bytes, once all of it was received.
pub struct ExactBody(pub usize);

impl Decoder for ExactBody {
    type Item = Bytes;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        if src.len() < self.0 {
            // The buffer grows to this size at once, and not to more.
            return Ok(Decoded::InsufficientAtLeast(self.0));
        }
        Ok(Decoded::Some(src.split_to(self.0).freeze()))
    }
}

/// Decodes the part of a body that was received, at most the given number of bytes.
pub struct BodyPart(pub usize);

impl Decoder for BodyPart {
    type Item = BytesMut;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        if src.is_empty() {
            return Ok(Decoded::Insufficient);
        }
        let length = src.len().min(self.0);
        Ok(Decoded::Some(src.split_to(length)))
    }
}

/// Returns the length of the body in bytes, zero if the headers name none.
///
/// # Errors
///
/// Fails on a transfer encoding, on repeated or malformed lengths, and on a
/// length over `limit`.
pub fn body_length(headers: &HeaderMap, limit: usize) -> Result<usize, ReadError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(ReadError::InvalidLength);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(0);
    };
    if lengths.next().is_some() {
        return Err(ReadError::InvalidLength);
    }
    let digits = length.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ReadError::InvalidLength);
    }
    let text = length.to_str().map_err(|_| ReadError::InvalidLength)?;
    let length = text.parse().map_err(|_| ReadError::InvalidLength)?;
    if length > limit {
        return Err(ReadError::BodyTooLong(limit));
    }
    Ok(length)
}
