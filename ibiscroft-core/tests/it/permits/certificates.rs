//! Unit tests of the conditions of a certificate.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::permits::{Certificates, PermitProof, ReportedState, TargetResponse};

struct Case {
    name: &'static str,
    connected_ms: Option<u64>,
    requested_ms: u64,
    sent_ms: u64,
    warm_run: Option<&'static str>,
    run: Option<&'static str>,
    state: ReportedState,
    is_warm: bool,
}

const PROVED: Case = Case {
    name: "proved warm",
    connected_ms: Some(10),
    requested_ms: 20,
    sent_ms: 30,
    warm_run: Some("a"),
    run: Some("a"),
    state: ReportedState::Warm,
    is_warm: true,
};

const CASES: &[Case] = &[
    PROVED,
    Case { name: "state unstated", state: ReportedState::Unstated, ..PROVED },
    Case { name: "no liveness connection", connected_ms: None, is_warm: false, ..PROVED },
    Case {
        name: "permit requested before the liveness connection",
        requested_ms: 5,
        is_warm: false,
        ..PROVED
    },
    Case {
        name: "request sent before the liveness connection",
        sent_ms: 5,
        is_warm: false,
        ..PROVED
    },
    Case { name: "lease holder knows no warm run", warm_run: None, is_warm: false, ..PROVED },
    Case { name: "response of another run", run: Some("b"), is_warm: false, ..PROVED },
    Case { name: "run unstated", run: None, warm_run: None, is_warm: false, ..PROVED },
    Case { name: "still cold", state: ReportedState::Cold, is_warm: false, ..PROVED },
];

fn run_id(name: &str) -> RunId {
    RunId::new(name)
}

#[test]
fn certificate_requires_liveness_connection_permit_and_response() {
    let target = TargetName::new("target");
    for case in CASES {
        let mut certificates = Certificates::default();
        if let Some(at) = case.connected_ms {
            certificates.on_liveness_connection_opened(&target, Tick::from_millis(at));
        }
        let response = TargetResponse {
            sent_at: Tick::from_millis(case.sent_ms),
            run: case.run.map(run_id),
            state: case.state,
            permit: Some(PermitProof {
                requested_at: Tick::from_millis(case.requested_ms),
                warm_run: case.warm_run.map(run_id),
            }),
        };
        certificates.on_response(&target, &response, Tick::from_millis(40));
        assert_eq!(certificates.warm_run(&target).is_some(), case.is_warm, "{}", case.name);
        certificates.on_liveness_connection_closed(&target, Tick::from_millis(50));
        assert_eq!(certificates.warm_run(&target), None, "{}", case.name);
    }
}
