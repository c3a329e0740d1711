//! A quota of memory for what clients send.
//!
//! A [`MemoryQuota`] counts reserved bytes; it allocates nothing. Dropping a [`MemoryPermit`]
//! returns its bytes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

#[derive(Debug)]
struct State {
    limit: usize,
    used: AtomicUsize,
}

/// A quota of memory. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryQuota(Arc<State>);

impl MemoryQuota {
    /// Creates a quota of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(State {
            limit,
            used: AtomicUsize::new(0),
        }))
    }

    /// Reserves memory; returns `None` if less than `bytes` is left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        let add = |used: usize| {
            let sum = used.checked_add(bytes)?;
            (sum <= self.0.limit).then_some(sum)
        };
        let used = &self.0.used;
        used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok()?;
        Some(MemoryPermit {
            quota: self.0.clone(),
            bytes,
        })
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }
}

/// Reserved memory, returned to its quota when dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    quota: Arc<State>,
    bytes: usize,
}

impl MemoryPermit {
    /// Ties the permit to a buffer: it is returned once the buffer's last clone is dropped.
    #[must_use]
    pub fn hold_for(self, buffer: Bytes) -> Bytes {
        Bytes::from_owner(CountedBuffer {
            buffer,
            _permit: self,
        })
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.quota.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct CountedBuffer {
    buffer: Bytes,
    _permit: MemoryPermit,
}

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
