//! Numbered log events; docs/EVENTS.md is the catalogue.

use log::Level;

/// Declares the enum of events from a list of names, numbers, levels and meanings.
macro_rules! events {
    ($($event:ident $number:literal $level:ident $meaning:literal,)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $meaning] $event,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$event,)*];

            /// Returns the number, which follows `IB` in log lines.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$event => $number,)*
                }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$event => Level::$level,)*
                }
            }

            /// Returns the description of the event for the catalogue.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$event => $meaning,)*
                }
            }
        }
    };
}

events! {
    Started 1001 Info "The gateway has started and listens for callers.",
    SettingsRefused 1002 Error "The settings file could not be read or is invalid.",
    StopRequested 1003 Info "A graceful shutdown was requested; the gateway reports itself not ready.",
    StopRepeated 1004 Info "A further stop signal was ignored; the graceful shutdown continues.",
    Stopped 1005 Info "The gateway has stopped; unless IB1006 precedes, no request was cut off.",
    StopLimitReached 1006 Warn "The gateway stops at its drain limit with requests still in flight.",
    CallersClosed 1007 Warn "A traffic thread closed connections of callers to stay within the memory and descriptors of the process.",
    ConfigurationInForce 2001 Info "A new configuration is in force.",
    ConfigurationUnusable 2002 Error "A record of the configuration or zone state is invalid and is not applied.",
    ZonesInForce 2003 Info "A new zone state is in force.",
    OlderRegisterIgnored 2004 Warn "The store returned an older record than the one in force; it is ignored.",
    StoreRepaired 2005 Warn "The store held an older record; the newer one is written back.",
    StoreLost 3001 Warn "A watch call to the store failed.",
    StoreBack 3002 Info "The store responds again after failed watch calls.",
    LeaseGranted 3003 Info "The instance holds a lease and is registered on the roster.",
    LeaseLost 3004 Warn "The instance lost its lease and requests a new one.",
    PeerUp 4001 Info "A connection to another gateway was established.",
    PeerDown 4002 Info "A connection to another gateway was closed.",
    TargetLeaving 5001 Info "A target drains or is leaving; it receives no new requests.",
    TargetBack 5002 Info "A target that was leaving has proved that it serves again.",
    TargetWarm 5003 Info "A target is proved to be warm; requests to it need no permit.",
    TargetCold 5004 Info "A target is no longer proved to be warm; requests to it need a permit.",
    ClaimPageUnusable 6001 Error "A claim page is unusable; at-most-once requests with keys on that page are refused.",
    ClaimsUnflushed 6002 Warn "The gateway stops before the outcomes of all at-most-once requests are recorded.",
}

/// Logs a numbered event.
macro_rules! event {
    ($event:ident, $($arg:tt)+) => {{
        let event = $crate::events::Event::$event;
        log::log!(event.level(), "[IB{}] {}", event.number(), format_args!($($arg)+));
    }};
}

pub(crate) use event;
