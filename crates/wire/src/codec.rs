//! The encoding of all messages between hosts: a MessagePack array of the protocol version
//! and the message, whose fields go by position.

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the protocol between hosts, which accept messages of this version only.
pub const PEER_PROTOCOL: u16 = 2;

/// The version in a message of a protocol version whose fields go by name.
#[derive(Deserialize)]
struct VersionOnly {
    protocol: u16,
}

/// The reason why a message can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message has another protocol version.
    #[error("peer uses protocol version {got}, this host uses {PEER_PROTOCOL}")]
    Protocol {
        /// The version that the peer uses.
        got: u16,
    },
    /// The bytes aren't a message of the expected type.
    #[error("undecodable message")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message has no MessagePack form.
    #[error("unencodable message")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Encodes a message with the protocol version.
///
/// # Errors
///
/// Fails if the message has no MessagePack form.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    // Fields go by position: both sides use the same version, and names would double the
    // size of a heartbeat.
    Ok(rmp_serde::to_vec(&(PEER_PROTOCOL, message))?)
}

/// Decodes a message after checking its version.
///
/// # Errors
///
/// Fails on another protocol version and on malformed bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let got = version(bytes)?;
    if got != PEER_PROTOCOL {
        return Err(CodecError::Protocol { got });
    }
    let (_, message): (u16, T) = rmp_serde::from_slice(bytes)?;
    Ok(message)
}

/// Decodes only the version, from fields by position or by name.
fn version(bytes: &[u8]) -> Result<u16, CodecError> {
    if let Ok((got, IgnoredAny)) = rmp_serde::from_slice::<(u16, IgnoredAny)>(bytes) {
        return Ok(got);
    }
    let message: VersionOnly = rmp_serde::from_slice(bytes)?;
    Ok(message.protocol)
}
