//! Numbered log events; docs/EDGE-EVENTS.md is the catalogue.

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
    Started 1101 Info "The daemon started and listens.",
    SettingsRefused 1102 Error "The settings file was refused.",
    StopRequested 1103 Info "A planned stop began; the daemon reports itself not ready.",
    Stopped 1104 Info "The daemon stopped.",
    SettingsReloaded 1105 Info "The settings file changed and its new values are in force.",
    BeliefChanged 2101 Info "Configuration, zone, target or gateway: the daemon's view changed.",
    EntryUnreadable 2102 Warn "An entry of the store could not be read and is left out.",
    StoreLost 3101 Warn "The store stopped answering.",
    StoreBack 3102 Info "The store answers again.",
    HistoryLost 3103 Warn "The store dropped the changes since the last read; everything is read anew.",
    Registered 3104 Info "The instance registered itself in the store.",
    RegistrationFailed 3105 Warn "The instance could not register itself or renew its lease.",
    SourceChanged 4101 Info "The daemon takes its view from another source.",
    SourceLost 4102 Warn "The gateway that told this one of changes was lost or told nothing fresh.",
    MeshRefused 4103 Warn "A connection of another gateway ended with an error.",
    HintTaken 4104 Info "A gateway told that a request was lost with its target, or answered since.",
    RequestAnswered 6101 Info "A request was answered by a target.",
    RequestRefused 6102 Info "A request was refused and has not run.",
    RequestFailed 6103 Warn "A request failed and may have run.",
    RequestAbandoned 6104 Info "The caller left before its answer.",
    RequestSent 6107 Info "A target was chosen for a request, by what it said of its load.",
    SendFailed 6105 Info "One send of a request to a target failed.",
    TargetUnreachable 6106 Info "A target could not be reached and is left alone for a moment.",
    RequestHeld 6108 Info "All targets that were asked are nearly full or slow; the request waits before it asks others.",
}

/// Logs a numbered event with fields in the form `key=value`.
macro_rules! event {
    ($event:ident, $($arg:tt)+) => {{
        let event = $crate::events::Event::$event;
        log::log!(
            event.level(),
            "event={} name={event:?} {}",
            event.number(),
            format_args!($($arg)+)
        );
    }};
}

pub(crate) use event;
