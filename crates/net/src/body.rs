//! Decoders that bound heads and bodies.

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::HeaderMap;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::DecodeError;
use thiserror::Error;

/// Why a message can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The head is longer than the limit.
    #[error("head over {0} bytes")]
    HeadTooLong(usize),
    /// The body is longer than the limit.
    #[error("body over {0} bytes")]
    BodyTooLong(usize),
    /// The body's length isn't given once, as a plain number.
    #[error("the body's length must be given once, as a plain number")]
    Length,
    /// The head is malformed.
    #[error("malformed head")]
    Head(#[from] DecodeError),
    /// The connection broke.
    #[error("connection broke")]
    Io(#[from] std::io::Error),
    /// The message didn't come in time.
    #[error("message took over the time limit")]
    TimedOut,
    /// The connection ended within a message.
    #[error("connection ended within a message")]
    Ended,
}

impl ReadError {
    /// Returns whether nothing came, or nothing was acknowledged, in time.
    #[must_use]
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::TimedOut => true,
            Self::Io(error) => error.kind() == std::io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Returns whether nothing listens at the address.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// Wraps the codec's head decoder with a limit.
pub struct BoundedHead<D> {
    inner: D,
    limit: usize,
}

impl<D> BoundedHead<D> {
    /// Wraps a decoder; heads over `limit` bytes are refused.
    pub fn new(inner: D, limit: usize) -> Self {
        Self { inner, limit }
    }
}

impl<D: Decoder<Error = DecodeError>> Decoder for BoundedHead<D> {
    type Item = D::Item;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        let before = src.len();
        let decoded = self.inner.decode(src)?;
        let used = before - src.len();
        let waiting = matches!(decoded, Decoded::Insufficient) && before > self.limit;
        if waiting || used > self.limit {
            return Err(ReadError::HeadTooLong(self.limit));
        }
        Ok(decoded)
    }
}

/// Takes a body of a known length.
pub struct ExactBody(pub usize);

impl Decoder for ExactBody {
    type Item = Bytes;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        if src.len() < self.0 {
            return Ok(Decoded::Insufficient);
        }
        Ok(Decoded::Some(src.split_to(self.0).freeze()))
    }
}

/// Takes what has come of a body, up to the bytes that are still missing of it.
pub struct PartOfBody(pub usize);

impl Decoder for PartOfBody {
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

/// Reads the length of the body from the head.
///
/// # Errors
///
/// Fails on a transfer encoding, on repeated or malformed lengths, and on a
/// length over the limit.
pub fn body_length(headers: &HeaderMap, limit: usize) -> Result<usize, ReadError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(ReadError::Length);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(0);
    };
    if lengths.next().is_some() {
        return Err(ReadError::Length);
    }
    let digits = length.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ReadError::Length);
    }
    let text = length.to_str().map_err(|_| ReadError::Length)?;
    let length = text.parse().map_err(|_| ReadError::Length)?;
    if length > limit {
        return Err(ReadError::BodyTooLong(limit));
    }
    Ok(length)
}
