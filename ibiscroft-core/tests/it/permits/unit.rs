//! Tables of cases for certificates.

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::permits::{Certificates, PermitProof, ReportedState, TargetResponse};

struct Case {
    name: &'static str,
    tripwire_ms: Option<u64>,
    asked_ms: u64,
    sent_ms: u64,
    warm_run: Option<&'static str>,
    run: Option<&'static str>,
    state: ReportedState,
    is_warm: bool,
}

const PROVED: Case = Case {
    name: "proved",
    tripwire_ms: Some(10),
    asked_ms: 20,
    sent_ms: 30,
    warm_run: Some("a"),
    run: Some("a"),
    state: ReportedState::Warm,
    is_warm: true,
};

const CASES: &[Case] = &[
    PROVED,
    Case { name: "state unstated", state: ReportedState::Unstated, ..PROVED },
    Case { name: "no tripwire", tripwire_ms: None, is_warm: false, ..PROVED },
    Case { name: "asked before the tripwire", asked_ms: 5, is_warm: false, ..PROVED },
    Case { name: "sent before the tripwire", sent_ms: 5, is_warm: false, ..PROVED },
    Case { name: "holder knows no run", warm_run: None, is_warm: false, ..PROVED },
    Case { name: "other run", run: Some("b"), is_warm: false, ..PROVED },
    Case { name: "run unstated", run: None, warm_run: None, is_warm: false, ..PROVED },
    Case { name: "still cold", state: ReportedState::Cold, is_warm: false, ..PROVED },
];

fn run_id(name: &str) -> RunId {
    RunId::new(name)
}

#[test]
fn a_certificate_takes_a_tripwire_a_holder_and_an_answer() {
    let target = TargetName::new("target");
    for case in CASES {
        let mut certificates = Certificates::default();
        if let Some(at) = case.tripwire_ms {
            certificates.tripwire_opened(&target, Tick::from_millis(at));
        }
        let answer = TargetResponse {
            sent_at: Tick::from_millis(case.sent_ms),
            run: case.run.map(run_id),
            state: case.state,
            permit: Some(PermitProof {
                requested_at: Tick::from_millis(case.asked_ms),
                warm_run: case.warm_run.map(run_id),
            }),
        };
        certificates.answered(&target, &answer, Tick::from_millis(40));
        assert_eq!(certificates.warm_run(&target).is_some(), case.is_warm, "{}", case.name);
        certificates.tripwire_closed(&target, Tick::from_millis(50));
        assert_eq!(certificates.warm_run(&target), None, "{}", case.name);
    }
}
