//! Numbered log events; docs/EVENTS.md is the catalogue.

use log::Level;

/// Declares the events with number, level and meaning.
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

            /// Returns the number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$event => $number,)*
                }
            }

            /// Returns the level.
            #[must_use]
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$event => Level::$level,)*
                }
            }

            /// Returns what the event means.
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
    Started 1001 Info "The gateway started and listens.",
    SettingsRefused 1002 Error "The settings file was refused.",
    StopRequested 1003 Info "A planned stop began; no new requests are accepted soon.",
    StopRepeated 1004 Info "A further stop signal was ignored; the stop goes on.",
    Stopped 1005 Info "The gateway stopped; no request was cut off.",
    StopLimitReached 1006 Warn "The gateway stopped at its drain limit with requests in flight.",
    ConfigurationInForce 2001 Info "A configuration came into force.",
    ConfigurationUnusable 2002 Error "A configuration record could not be used.",
    ZonesInForce 2003 Info "A zone state came into force.",
    OlderRegisterIgnored 2004 Warn "An older record was offered and ignored.",
    StoreRepaired 2005 Warn "The store held an older record; the newer one is written back.",
    StoreLost 3001 Warn "The store stopped answering.",
    StoreBack 3002 Info "The store answers again.",
    LeaseGranted 3003 Info "The instance holds a lease and stands on the roster.",
    LeaseLost 3004 Warn "The instance lost its lease.",
    PeerUp 4001 Info "A connection to another gateway is up.",
    PeerDown 4002 Info "A connection to another gateway ended.",
    TargetLeaving 5001 Info "A target started leaving.",
    TargetBack 5002 Info "A target that was leaving proved that it serves again.",
    TargetWarm 5003 Info "A target is proved warm; requests need no permit.",
    TargetCold 5004 Info "A target is no longer proved warm; requests need a permit.",
    ClaimPageUnusable 6001 Error "A claim page could not be used; orders with keys of that page are refused.",
    ClaimsUnflushed 6002 Warn "The gateway stopped before every order's outcome was recorded.",
}

/// Logs a numbered event.
macro_rules! event {
    ($event:ident, $($arg:tt)+) => {{
        let event = $crate::events::Event::$event;
        log::log!(event.level(), "[IB{}] {}", event.number(), format_args!($($arg)+));
    }};
}

pub(crate) use event;
