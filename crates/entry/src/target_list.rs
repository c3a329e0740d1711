//! Decodes the platform's list of targets. An entry that can't be used doesn't affect
//! the others.

use std::net::SocketAddr;

use gannetridge_entry_wire::platform::{ListedTarget, TargetList};
use gannetridge_wire::Name;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// The most slots of a target that can be used: sums over all targets then fit their type.
pub const MAX_SLOTS: u32 = 65_536;

/// Why an entry can't be used.
#[derive(Debug, Error)]
pub enum EntryFault {
    /// It isn't an entry, or a field has another type.
    #[error("not an entry: {0}")]
    Fields(#[from] serde_json::Error),
    /// The address isn't an IP address with a port.
    #[error("not an address with a port: {0}")]
    Address(Name),
    /// It has more slots than [`MAX_SLOTS`].
    #[error("{0} slots, the most are {MAX_SLOTS}")]
    Slots(u32),
}

/// An entry that can't be used.
#[derive(Debug)]
pub struct FaultyEntry {
    /// The target's name, empty if it can't be read.
    pub name: Name,
    /// Why the entry can't be used.
    pub fault: EntryFault,
}

/// A decoded list and the entries left out of it.
#[derive(Debug)]
pub struct DecodedList {
    /// The usable entries. A named target without one is listed as gone.
    pub list: TargetList,
    /// The other entries.
    pub faulty: Vec<FaultyEntry>,
}

/// A list whose entries aren't decoded yet.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawList<'a> {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    whole: bool,
    #[serde(borrow)]
    targets: Vec<&'a RawValue>,
    #[serde(default)]
    gone: Vec<Name>,
}

/// The name of an entry whose other fields can't be decoded.
#[derive(Default, Deserialize)]
struct EntryName {
    #[serde(default)]
    name: Name,
}

/// Decodes a list.
///
/// # Errors
///
/// Fails if the body isn't a list of entries.
pub fn decode(body: &[u8]) -> serde_json::Result<DecodedList> {
    // Bytes that aren't UTF-8 only affect the entry that holds them.
    let text = String::from_utf8_lossy(body);
    let raw: RawList<'_> = serde_json::from_str(&text)?;
    let mut decoded = DecodedList {
        list: TargetList {
            version: raw.version,
            whole: raw.whole,
            targets: Vec::with_capacity(raw.targets.len()),
            gone: raw.gone,
        },
        faulty: Vec::new(),
    };
    for entry in raw.targets {
        match decode_entry(entry.get()) {
            Ok(target) => decoded.list.targets.push(target),
            Err(fault) => decoded.leave_out(entry.get(), fault),
        }
    }
    Ok(decoded)
}

fn decode_entry(text: &str) -> Result<ListedTarget, EntryFault> {
    let target: ListedTarget = serde_json::from_str(text)?;
    if target.address.parse::<SocketAddr>().is_err() {
        return Err(EntryFault::Address(target.address));
    }
    if target.slots > MAX_SLOTS {
        return Err(EntryFault::Slots(target.slots));
    }
    Ok(target)
}

impl DecodedList {
    fn leave_out(&mut self, text: &str, fault: EntryFault) {
        let EntryName { name } = serde_json::from_str(text).unwrap_or_default();
        if !name.is_empty() {
            self.list.gone.push(name.clone());
        }
        self.faulty.push(FaultyEntry { name, fault });
    }
}
