//! Pool of idle connections to targets.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use ibiscroft_core::ids::TargetName;

use crate::connection::TargetConnection;

/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 6;
/// Smallest limit of the idle connections to all targets.
pub(crate) const MIN_IDLE_CONNECTIONS: usize = 2 * MAX_IDLE_PER_TARGET;

/// Idle connections by target name.
///
/// The key is the name and not the address, so that a target that took over the address of another
/// one never receives requests on the other's connections.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<TargetName, Vec<TargetConnection>>>,
    /// Maximum number of idle connections to all targets.
    max_idle: AtomicUsize,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self { idle: Mutex::default(), max_idle: AtomicUsize::new(usize::MAX) }
    }
}

impl ConnectionPool {
    /// Takes the most recently used connection to a target that is still usable.
    pub(crate) fn take(&self, target: &TargetName) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns those of the targets to which an idle connection is open.
    pub(crate) fn connected<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a TargetName>,
    ) -> HashSet<TargetName> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_connected = |target: &&TargetName| {
            idle.get(*target).is_some_and(|open| open.iter().any(TargetConnection::is_usable))
        };
        targets.into_iter().filter(is_connected).cloned().collect()
    }

    /// Sets the maximum number of idle connections to all targets.
    pub(crate) fn set_max_idle(&self, count: usize) {
        self.max_idle.store(count, Ordering::Relaxed);
    }

    /// Returns a connection to the pool after its last response was read completely.
    ///
    /// The connection is closed if it is no longer usable or the pool holds enough for the target.
    pub(crate) fn put(&self, target: &TargetName, mut connection: TargetConnection) {
        if !connection.is_usable() {
            return;
        }
        connection.set_idle();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let count: usize = idle.values().map(Vec::len).sum();
        if count >= self.max_idle.load(Ordering::Relaxed) {
            return;
        }
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    /// Closes connections that are no longer usable, and all connections to targets for which
    /// `is_known` returns false.
    pub(crate) fn sweep(&self, is_known: impl Fn(&TargetName) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, connections| {
            connections.retain(TargetConnection::is_usable);
            !connections.is_empty() && is_known(target)
        });
    }
}
