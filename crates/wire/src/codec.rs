//! The encoding of messages between hosts, of both families: MessagePack, fields by
//! position, behind the protocol's version.

use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the messages between hosts.
pub const PEER_PROTOCOL: u16 = 2;

/// The version's name in the encoding of other versions, where names stand.
#[derive(Deserialize)]
struct VersionOnly {
    protocol: u16,
}

/// Why bytes from a peer aren't a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The peer speaks another version.
    #[error("peer speaks protocol {got}, this host speaks {PEER_PROTOCOL}")]
    Protocol {
        /// The peer's version.
        got: u16,
    },
    /// The bytes can't be decoded.
    #[error("undecodable message")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message can't be encoded.
    #[error("unencodable message")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Encodes a message with the protocol's version.
///
/// # Errors
///
/// Fails if the message has no MessagePack form.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    // Fields stand by position: both sides speak the same version, and names
    // made up half of a heartbeat.
    Ok(rmp_serde::to_vec(&(PEER_PROTOCOL, message))?)
}

/// Decodes a message and checks its version first.
///
/// # Errors
///
/// Fails on another version of the protocol and on malformed bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let got = version(bytes)?;
    if got != PEER_PROTOCOL {
        return Err(CodecError::Protocol { got });
    }
    let (_, message): (u16, T) = rmp_serde::from_slice(bytes)?;
    Ok(message)
}

/// Reads the version alone, in this encoding or in one with names.
fn version(bytes: &[u8]) -> Result<u16, CodecError> {
    if let Ok((got, IgnoredAny)) = rmp_serde::from_slice::<(u16, IgnoredAny)>(bytes) {
        return Ok(got);
    }
    let head: VersionOnly = rmp_serde::from_slice(bytes)?;
    Ok(head.protocol)
}
