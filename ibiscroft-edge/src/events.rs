//! Numbered log events; docs/EDGE-EVENTS.md lists them.

use log::Level;

/// Declares the events with their number, level and meaning.
macro_rules! events {
    ($($event:ident $number:literal $level:ident $meaning:literal,)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $meaning] $event,)*
        }

        impl Event {
            /// All events, in the order of their declaration.
            pub const ALL: &[Self] = &[$(Self::$event,)*];

            /// Returns the number, which is unique among the events.
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

            /// Returns the description of the event in the catalogue.
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
    Started 1101 Info "The daemon has started and listens for callers.",
    SettingsRefused 1102 Error "The settings file could not be read or is invalid.",
    StopRequested 1103 Info "A graceful shutdown was requested; the daemon reports itself not ready.",
    Stopped 1104 Info "The daemon has stopped.",
    SettingsReloaded 1105 Info "The settings file was read again; changed values take effect at the next start.",
    BeliefChanged 2101 Info "The daemon's view changed: configuration, a zone, a target or a gateway.",
    EntryUnreadable 2102 Warn "An entry of the store could not be decoded and is ignored.",
    StoreLost 3101 Warn "A call to the store failed.",
    StoreBack 3102 Info "The store responds again after failed calls.",
    StoreReachable 3106 Info "The store responds to a check again; a source that does not know it yet has some time to send an update before the store is read.",
    HistoryLost 3103 Warn "The store does not have the changes since the last read; everything is listed again.",
    StoreRestored 3107 Warn "The store has returned from an older copy of its entries; the view follows it, apart from later configurations and departures.",
    Registered 3104 Info "The instance has registered itself in the store.",
    RegistrationFailed 3105 Warn "The instance could not register itself or renew its lease, or its registration has ended.",
    SourceChanged 4101 Info "The daemon receives updates of its view from another source.",
    SourceLost 4102 Warn "The connection to the source gateway failed, or the source sent no fresh update in time.",
    MeshRefused 4103 Warn "A follower's connection failed or could not be accepted, or an update could not be encoded.",
    HintTaken 4104 Info "A hint was received: a request was lost when its target crashed, or such a request was answered since.",
    QuotaDisconnected 4105 Warn "No notice about quotas has arrived in time; this gateway admits its share of each limit.",
    QuotaConnected 4106 Info "Notices about quotas arrive; requests are admitted by the demand of the whole fleet.",
    RequestAnswered 6101 Info "A target's response to a request is sent to the caller.",
    RequestRefused 6102 Info "A request was refused; no target has run it.",
    RequestFailed 6103 Warn "A request failed; a target may have run it.",
    RequestAbandoned 6104 Info "The caller closed its connection before the response.",
    ConnectionUnknown 6114 Warn "A request arrived on a connection that is not registered as open; it is not processed.",
    RequestSent 6107 Info "A request is sent to a target, selected by the load that it reported when probed.",
    SendFailed 6105 Info "One attempt to send a request to a target failed.",
    TargetUnreachable 6106 Info "A probe of a target failed; the target is excluded for a short backoff.",
    TargetLeaving 6109 Info "A target announced in a response that it is leaving; it receives no further requests.",
    TargetResting 6110 Warn "A target turned a request away and asked for a rest; until it ends this gateway sends it neither requests nor probes.",
    CallersClosed 6111 Warn "Connections of callers were closed since the last report, at most one a second: unused or stalled ones for new ones (evicted), new ones without a place (refused), for request heads that were too long or late (heads), for bodies and responses that stalled while others waited for memory or for a place among the requests in flight (stalled), and for requests that the HTTP server refused before a handler processed them (unhandled).",
    TargetTriedLast 6112 Info "A target is tried only if no others are left: it is not at its address by this gateway's own finding, or by the reports of two others.",
    TargetReturned 6113 Info "A target that was tried last responds again, at this gateway or at another one.",
    RequestHeld 6108 Info "All probed targets are near saturation or slow; the request is held before others are probed.",
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
