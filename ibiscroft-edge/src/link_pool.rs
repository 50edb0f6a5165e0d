//! Idle connections to targets.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use ibiscroft_core::ids::TargetName;

use crate::link::Link;

/// Idle connections kept to one target.
const MAX_IDLE: usize = 6;

/// Idle connections by target; one of another target at the same address is never taken.
#[derive(Debug, Default)]
pub(crate) struct LinkPool {
    idle: Mutex<HashMap<TargetName, Vec<Link>>>,
}

impl LinkPool {
    /// Returns an idle connection, the one used last first.
    pub(crate) fn take(&self, target: &TargetName) -> Option<Link> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(target)?;
        while let Some(link) = links.pop() {
            if link.is_usable() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer has ended.
    pub(crate) fn put(&self, target: &TargetName, mut link: Link) {
        if !link.is_usable() {
            return;
        }
        link.set_idle();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(target.clone()).or_default();
        if links.len() < MAX_IDLE {
            links.push(link);
        }
    }

    /// Closes connections that are no longer usable and those to targets that are not `known`.
    pub(crate) fn sweep(&self, known: impl Fn(&TargetName) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|target, links| {
            links.retain(Link::is_usable);
            !links.is_empty() && known(target)
        });
    }
}
