//! Account of the request bodies that this process keeps in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use ibiscroft_core::fleet::{ByteAccount, ByteShare, HolderId};

use crate::clock::Clock;

/// Largest body that may use the share for short bodies, in bytes.
const MAX_SHORT_BODY_BYTES: usize = 32 << 10;

/// Account of the bytes of request bodies, shared by the traffic threads.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    clock: Clock,
    account: Mutex<ByteAccount>,
}

impl BodyBudget {
    /// Creates an account of this number of bytes.
    pub(crate) fn new(clock: Clock, bytes: usize) -> Arc<Self> {
        Arc::new(Self { clock, account: Mutex::new(ByteAccount::new(bytes as u64)) })
    }

    /// Adds a body without bytes.
    pub(crate) fn open(self: &Arc<Self>) -> BodyHolder {
        let id = self.lock().open(self.clock.now());
        BodyHolder { budget: Arc::clone(self), id }
    }

    fn lock(&self) -> MutexGuard<'_, ByteAccount> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes reserved for one body; they are released when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyHolder {
    budget: Arc<BodyBudget>,
    id: HolderId,
}

impl BodyHolder {
    /// Reserves `bytes` for a body that has `length` bytes with them; returns whether they are
    /// available.
    ///
    /// Short bodies have a share of their own, so that ordinary requests are not refused because
    /// large bodies fill the account.
    pub(crate) fn try_reserve(&self, bytes: usize, length: usize) -> bool {
        let mut account = self.budget.lock();
        let is_short = length <= MAX_SHORT_BODY_BYTES;
        is_short && account.try_reserve(self.id, ByteShare::Small, bytes as u64)
            || account.try_reserve(self.id, ByteShare::Bulk, bytes as u64)
    }

    /// Returns the bytes of a body, which stay reserved while a clone of them is in use.
    pub(crate) fn into_bytes(self, buf: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBody { buf, _holder: self })
    }
}

impl Drop for BodyHolder {
    fn drop(&mut self) {
        let now = self.budget.clock.now();
        // No holder waits for bytes, so nothing is granted.
        let _ = self.budget.lock().close(now, self.id);
    }
}

/// A body and its reservation.
struct HeldBody {
    buf: Vec<u8>,
    _holder: BodyHolder,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
