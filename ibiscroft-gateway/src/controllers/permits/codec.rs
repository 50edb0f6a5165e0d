//! Conversion of permit messages between the core and the peer protocol.

use std::time::Duration;

use ibiscroft_core::ids::{RunId, StoreVersion, TargetName};
use ibiscroft_core::permits::{Outcome, PermitId, PermitMessage, ReportedState};
use ibiscroft_wire::generated::peer::{PeerMessage, ReportedState as WireState};

/// Returns the message to send to another gateway.
pub(super) fn to_peer(message: PermitMessage) -> PeerMessage {
    match message {
        PermitMessage::Request { id, target, wait } => PeerMessage::PermitRequest {
            id: id.get(),
            target: target.to_string(),
            wait_ms: millis(wait),
        },
        PermitMessage::Grant { id, target, valid_for, run_limit, warm_run, roster_revision } => {
            PeerMessage::PermitGrant {
                id: id.get(),
                target: target.to_string(),
                valid_us: u64::try_from(valid_for.as_micros()).unwrap_or(u64::MAX),
                run_limit_ms: millis(run_limit),
                warm_run: encode_run(warm_run),
                roster: roster_revision.get(),
            }
        }
        PermitMessage::Refusal { id, target } => {
            PeerMessage::PermitRefusal { id: id.get(), target: target.to_string() }
        }
        PermitMessage::Return { id, target, outcome } => {
            let (served, run, state) = match outcome {
                Outcome::NotSent => (false, None, ReportedState::Unstated),
                Outcome::Served { run, state } => (true, run, state),
            };
            PeerMessage::PermitReturn {
                id: id.get(),
                target: target.to_string(),
                served,
                run: encode_run(run),
                state: to_wire_state(state),
            }
        }
        PermitMessage::Cold { target, run } => {
            PeerMessage::TargetCold { target: target.to_string(), run: encode_run(run) }
        }
    }
}

/// Returns the message for the core, or `None` when it is not about permits.
pub(crate) fn from_peer(message: PeerMessage) -> Option<PermitMessage> {
    let message = match message {
        PeerMessage::PermitRequest { id, target, wait_ms } => PermitMessage::Request {
            id: PermitId(id),
            target: TargetName::new(target),
            wait: Duration::from_millis(u64::from(wait_ms)),
        },
        PeerMessage::PermitGrant { id, target, valid_us, run_limit_ms, warm_run, roster } => {
            PermitMessage::Grant {
                id: PermitId(id),
                target: TargetName::new(target),
                valid_for: Duration::from_micros(valid_us),
                run_limit: Duration::from_millis(u64::from(run_limit_ms)),
                warm_run: decode_run(warm_run),
                roster_revision: StoreVersion(roster),
            }
        }
        PeerMessage::PermitRefusal { id, target } => {
            PermitMessage::Refusal { id: PermitId(id), target: TargetName::new(target) }
        }
        PeerMessage::PermitReturn { id, target, served, run, state } => PermitMessage::Return {
            id: PermitId(id),
            target: TargetName::new(target),
            outcome: if served {
                Outcome::Served { run: decode_run(run), state: to_core_state(state) }
            } else {
                Outcome::NotSent
            },
        },
        PeerMessage::TargetCold { target, run } => {
            PermitMessage::Cold { target: TargetName::new(target), run: decode_run(run) }
        }
        _ => return None,
    };
    Some(message)
}

/// Encodes a run for the peer protocol, where an empty text stands for none.
fn encode_run(run: Option<RunId>) -> String {
    run.map(|run| run.to_string()).unwrap_or_default()
}

/// Decodes a run from the peer protocol, see [`encode_run`].
fn decode_run(text: String) -> Option<RunId> {
    (!text.is_empty()).then(|| RunId::new(text))
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn to_wire_state(state: ReportedState) -> WireState {
    match state {
        ReportedState::Cold => WireState::Cold,
        ReportedState::Warm => WireState::Warm,
        ReportedState::Unstated => WireState::Unstated,
    }
}

fn to_core_state(state: WireState) -> ReportedState {
    match state {
        WireState::Cold => ReportedState::Cold,
        WireState::Warm => ReportedState::Warm,
        WireState::Unstated => ReportedState::Unstated,
    }
}
