//! Changes to a view of the fleet, read from the store or received from another gateway.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use super::hint::Hint;
use super::target::{GatewayCount, Member, Target};
use crate::ids::{InstanceName, TargetName, ZoneName};
use crate::number_newtype;

number_newtype!(
    /// Revision of the store; increases with each change within an era.
    Revision(u64)
);
number_newtype!(
    /// Era of the store; increases each time the store returns from an older copy of its entries,
    /// after which it gives out revisions again.
    Era(u64)
);

/// State of the store at a revision of an era; later states compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era that the revision belongs to.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

impl Position {
    /// Position of a view that corresponds to no known state of the store.
    pub const UNKNOWN: Self = Self { era: Era(0), revision: Revision(0) };

    /// Returns whether a state of the store is known.
    #[must_use]
    pub fn is_known(self) -> bool {
        self > Self::UNKNOWN
    }
}

/// Formats the revision, after the era and a colon in other eras than the first.
impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > Era(0) {
            write!(f, "{}:", self.era)?;
        }
        self.revision.fmt(f)
    }
}

impl FromStr for Position {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self { era: era.parse()?, revision: revision.parse()? })
    }
}

/// A change of one entry of a [`View`](super::View).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A configuration was published.
    Configuration(Box<Configuration>),
    /// A zone was evacuated: its targets receive no further requests.
    ZoneOut(ZoneName),
    /// The evacuation of a zone ended.
    ZoneIn(ZoneName),
    /// A target registered itself or updated its registration.
    Target(Target),
    /// The registration of a target ended.
    TargetGone(TargetName),
    /// A gateway registered itself or updated its registration.
    Member(Member),
    /// The registration of a gateway ended.
    MemberGone(InstanceName),
    /// The number of gateways changed.
    Gateways(GatewayCount),
}

/// A batch of changes, as exchanged between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Era of the store that both revisions belong to.
    #[serde(default, skip_serializing_if = "Update::is_first_era")]
    pub era: Era,
    /// Revision that the changes start from; earlier changes are not included.
    pub since: Revision,
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// Whether the changes describe the whole state; entries that are missing no longer exist.
    pub is_full: bool,
    /// Whether the changes were found by a comparison of the states at both revisions. They lack
    /// what was changed and changed back in between, so they apply to a view at `since` only.
    #[serde(default, skip_serializing_if = "Update::is_false")]
    pub is_difference: bool,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
    /// Observations of gateways that are not kept in the store.
    pub hints: Vec<Hint>,
    /// Time since the store was last known to be at `revision`.
    pub age: Duration,
}

impl Update {
    /// Returns the position that the changes start from.
    #[must_use]
    pub fn since_position(&self) -> Position {
        Position { era: self.era, revision: self.since }
    }

    /// Returns the position after the changes.
    #[must_use]
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    fn is_false(value: &bool) -> bool {
        !value
    }

    fn is_first_era(era: &Era) -> bool {
        *era == Era(0)
    }
}
