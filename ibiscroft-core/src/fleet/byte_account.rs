//! Account of the bytes that callers make a gateway keep in memory.
//!
//! Each body of a request and each buffered response is a holder. The budget consists of two
//! shares. Long bodies use the bulk share; a holder waits until its bytes fit, in order of arrival,
//! and holders that occupy bytes of the share come first, so that none of them waits for one that
//! needs its bytes. Short bodies, first segments of bodies of unknown length, and responses use
//! the small share, so that ordinary requests do not wait behind long bodies.
//!
//! A holder asks for bytes of the small share only while it holds none of the bulk share, so
//! holders of the two shares do not wait for each other.
//!
//! ```
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::fleet::{ByteAccount, ByteShare, Reservation};
//!
//! let mut account = ByteAccount::new(800);
//! let (first, second) = (account.open(Tick::ZERO), account.open(Tick::ZERO));
//! assert_eq!(account.reserve(Tick::ZERO, first, ByteShare::Bulk, 600), Reservation::Granted);
//! assert_eq!(account.reserve(Tick::ZERO, second, ByteShare::Bulk, 600), Reservation::Waiting);
//! assert_eq!(account.close(Tick::ZERO, first), [second]);
//! assert_eq!(account.bytes_held(), 600);
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Tick, copy_data};

/// Time without progress after which a holder is ended when others wait.
pub const STALL_TIME: Duration = Duration::from_secs(2);
/// Divisor of the budget that gives the small share.
///
/// The rest must hold a body of 64 MiB on an instance with 160 MB, whose budget is 80 MB.
const SMALL_SHARE_DIVISOR: u64 = 8;

copy_data! {
    /// Identifier of a holder; holders that arrived later have larger ones.
    #[derive(PartialOrd, Ord)]
    pub struct HolderId(u64);

    /// Share of the budget.
    pub enum ByteShare {
        /// Short bodies, first segments of bodies of unknown length, and responses.
        Small,
        /// Long bodies.
        Bulk,
    }

    /// Result of asking for bytes.
    pub enum Reservation {
        /// The bytes are reserved.
        Granted,
        /// The bytes are reserved once a later call returns the holder as granted.
        Waiting,
        /// The holder has been ended or closed and gets no more bytes.
        Ended,
    }

    /// What a holder waits for.
    enum Phase {
        /// Its caller, which can be late without end.
        Caller,
        /// A target, until the deadline of the request.
        Target,
        /// Nothing: it has been ended, and its bytes are to be released.
        Ended,
    }
}

/// Bytes reserved by a holder and the progress of its caller.
#[derive(Clone, Copy, Debug)]
struct Holder {
    small: u64,
    bulk: u64,
    waiting: Option<(ByteShare, u64)>,
    phase: Phase,
    /// When the caller last sent or received bytes, or bytes were granted.
    progress: Tick,
}

impl Holder {
    const fn held(&self, share: ByteShare) -> u64 {
        match share {
            ByteShare::Small => self.small,
            ByteShare::Bulk => self.bulk,
        }
    }

    const fn add(&mut self, share: ByteShare, bytes: u64) {
        match share {
            ByteShare::Small => self.small += bytes,
            ByteShare::Bulk => self.bulk += bytes,
        }
    }

    /// Returns whether the holder waits for bytes of `share`.
    fn waits_for(&self, share: ByteShare) -> bool {
        self.waiting.is_some_and(|(waiting, _)| waiting == share)
    }
}

/// Account of the bytes that requests and responses keep in memory.
///
/// The sum of the reserved bytes never exceeds the budget. A holder that asks for more than a share
/// holds is charged for the whole share and so is alone in it.
#[derive(Clone, Debug)]
pub struct ByteAccount {
    small_capacity: u64,
    bulk_capacity: u64,
    small_held: u64,
    bulk_held: u64,
    last_id: u64,
    /// Whether bytes of the small share were denied since the last look for a stalled holder.
    is_small_denied: bool,
    holders: BTreeMap<HolderId, Holder>,
}

impl ByteAccount {
    /// Creates an account with this budget, in bytes.
    #[must_use]
    pub const fn new(budget: u64) -> Self {
        let small_capacity = budget / SMALL_SHARE_DIVISOR;
        Self {
            small_capacity,
            bulk_capacity: budget - small_capacity,
            small_held: 0,
            bulk_held: 0,
            last_id: 0,
            is_small_denied: false,
            holders: BTreeMap::new(),
        }
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: Tick) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        let phase = Phase::Caller;
        let holder = Holder { small: 0, bulk: 0, waiting: None, phase, progress: now };
        self.holders.insert(id, holder);
        id
    }

    /// Reserves bytes for a holder, or lets it wait for them.
    ///
    /// A holder waits for one reservation at a time; a second one replaces the first.
    pub fn reserve(
        &mut self,
        now: Tick,
        id: HolderId,
        share: ByteShare,
        bytes: u64,
    ) -> Reservation {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Reservation::Ended;
        };
        if holder.phase == Phase::Ended {
            return Reservation::Ended;
        }
        holder.waiting = Some((share, bytes));
        let granted = self.grant(now, share);
        debug_assert!(granted.iter().all(|granted| *granted == id), "only this holder was added");
        if self.is_waiting(id) { Reservation::Waiting } else { Reservation::Granted }
    }

    /// Reserves bytes for a holder if they are available and nobody waits for them; returns whether
    /// they were reserved.
    pub fn try_reserve(&mut self, id: HolderId, share: ByteShare, bytes: u64) -> bool {
        let is_free = self.held(share) + bytes <= self.capacity(share);
        let has_waiters = self.holders.values().any(|holder| holder.waits_for(share));
        let holder = self.holders.get_mut(&id).filter(|holder| holder.phase != Phase::Ended);
        let Some(holder) = holder.filter(|_| is_free && !has_waiters) else {
            self.is_small_denied |= share == ByteShare::Small;
            return false;
        };
        holder.add(share, bytes);
        *self.held_mut(share) += bytes;
        true
    }

    /// Returns bytes of a holder's share before it is closed, at most as many as it holds; returns
    /// the holders whose reservations are granted by this.
    pub fn release(
        &mut self,
        now: Tick,
        id: HolderId,
        share: ByteShare,
        bytes: u64,
    ) -> Vec<HolderId> {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Vec::new();
        };
        let bytes = bytes.min(holder.held(share));
        match share {
            ByteShare::Small => holder.small -= bytes,
            ByteShare::Bulk => holder.bulk -= bytes,
        }
        *self.held_mut(share) -= bytes;
        self.grant(now, share)
    }

    /// Removes a holder and releases its bytes; returns the holders whose reservations are granted
    /// by this.
    pub fn close(&mut self, now: Tick, id: HolderId) -> Vec<HolderId> {
        let Some(holder) = self.holders.remove(&id) else {
            return Vec::new();
        };
        self.small_held -= holder.small;
        self.bulk_held -= holder.bulk;
        let mut granted = self.grant(now, ByteShare::Small);
        granted.extend(self.grant(now, ByteShare::Bulk));
        granted
    }

    /// Records that the caller of a holder sent or received bytes.
    pub fn note_progress(&mut self, now: Tick, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress = now;
        }
    }

    /// Records that a body has been received completely; it is not ended any more.
    pub fn note_complete(&mut self, id: HolderId) {
        let holder = self.holders.get_mut(&id).filter(|holder| holder.phase != Phase::Ended);
        if let Some(holder) = holder {
            holder.phase = Phase::Target;
        }
    }

    /// Records that a response is sent to its caller, which can be late again.
    pub fn note_sending(&mut self, now: Tick, id: HolderId) {
        let holder = self.holders.get_mut(&id).filter(|holder| holder.phase != Phase::Ended);
        if let Some(holder) = holder {
            holder.phase = Phase::Caller;
            holder.progress = now;
        }
    }

    /// Ends the holder that has made no progress for the longest time, and for at least
    /// [`STALL_TIME`], if others wait for bytes of a share of which it holds some, or were denied
    /// bytes of the small share since the last call. Its bytes are
    /// released when it is closed.
    ///
    /// Holders whose callers are late go first. If all of them wait for bytes themselves, the last
    /// one to arrive is ended, so that the first one can complete.
    ///
    /// Returns the ended holder and the holders whose reservations are granted because it no longer
    /// waits before them.
    pub fn end_stalled(&mut self, now: Tick) -> Option<(HolderId, Vec<HolderId>)> {
        let id = [ByteShare::Small, ByteShare::Bulk]
            .into_iter()
            .find_map(|share| self.stalled(now, share));
        self.is_small_denied = false;
        let id = id?;
        let holder = self.holders.get_mut(&id)?;
        holder.phase = Phase::Ended;
        let waited = holder.waiting.take();
        let granted = waited.map_or_else(Vec::new, |(share, _)| self.grant(now, share));
        Some((id, granted))
    }

    /// Returns whether a holder waits for bytes.
    #[must_use]
    pub fn is_waiting(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.waiting.is_some())
    }

    /// Returns whether a holder has been ended or closed.
    #[must_use]
    pub fn has_ended(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_none_or(|holder| holder.phase == Phase::Ended)
    }

    /// Returns the sum of all reserved bytes.
    #[must_use]
    pub const fn bytes_held(&self) -> u64 {
        self.small_held + self.bulk_held
    }

    /// Returns the number of holders that wait for bytes.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.holders.values().filter(|holder| holder.waiting.is_some()).count()
    }

    /// Grants reservations of a share in order until one does not fit.
    fn grant(&mut self, now: Tick, share: ByteShare) -> Vec<HolderId> {
        let mut granted = Vec::new();
        while let Some(id) = self.first_waiting(share) {
            let (capacity, held) = (self.capacity(share), self.held(share));
            let Some(holder) = self.holders.get_mut(&id) else {
                break;
            };
            let Some((_, bytes)) = holder.waiting else {
                break;
            };
            let charge = bytes.min(capacity - holder.held(share));
            if held + charge > capacity {
                break;
            }
            holder.waiting = None;
            holder.add(share, charge);
            holder.progress = now;
            *self.held_mut(share) += charge;
            granted.push(id);
        }
        granted
    }

    /// Returns the waiting holder that is served first: one that holds bytes of the share, or else
    /// the one that arrived first.
    fn first_waiting(&self, share: ByteShare) -> Option<HolderId> {
        let waiting = self.holders.iter().filter(|(_, holder)| holder.waits_for(share));
        waiting.min_by_key(|(id, holder)| (holder.held(share) == 0, **id)).map(|(id, _)| *id)
    }

    /// Returns the holder to end so that waiting ones get its bytes of a share.
    fn stalled(&self, now: Tick, share: ByteShare) -> Option<HolderId> {
        let first = self.first_waiting(share);
        if first.is_none() && !(share == ByteShare::Small && self.is_small_denied) {
            return None;
        }
        let occupying = self.holders.iter().filter(|(id, holder)| {
            Some(**id) != first && holder.phase == Phase::Caller && holder.held(share) > 0
        });
        // A holder that waits for the other share is not late, and gets its bytes there.
        let stalled: Vec<_> = occupying
            .filter(|(_, holder)| holder.waiting.is_none() || holder.waits_for(share))
            .filter(|(_, holder)| now.since(holder.progress) >= STALL_TIME)
            .collect();
        let late = stalled.iter().filter(|(_, holder)| holder.waiting.is_none());
        let longest = late.min_by_key(|(id, holder)| (holder.progress, **id));
        longest.or_else(|| stalled.last()).map(|(id, _)| **id)
    }

    const fn capacity(&self, share: ByteShare) -> u64 {
        match share {
            ByteShare::Small => self.small_capacity,
            ByteShare::Bulk => self.bulk_capacity,
        }
    }

    const fn held(&self, share: ByteShare) -> u64 {
        match share {
            ByteShare::Small => self.small_held,
            ByteShare::Bulk => self.bulk_held,
        }
    }

    const fn held_mut(&mut self, share: ByteShare) -> &mut u64 {
        match share {
            ByteShare::Small => &mut self.small_held,
            ByteShare::Bulk => &mut self.bulk_held,
        }
    }
}
