//! Single gateways and roots: odd messages, credits and gateways out of contact.

use std::net::SocketAddr;

use ibiscroft_core::fleet::{
    Demand, GatewayCount, LimitedOrganisation, OrganisationPolicy, Organisations, Quota,
    QuotaDecision, QuotaGate, QuotaLedger, QuotaNotice, QuotaReport, QuotaTolerance,
};
use ibiscroft_core::ids::OrganisationName;

use crate::support::{at, ms};

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: std::time::Duration::from_secs(5), overage: 0.1, slack: 20.0 };
const FLEET: GatewayCount = GatewayCount(136);

fn name() -> OrganisationName {
    OrganisationName::new("org")
}

fn organisations(rate: f64, burst: f64) -> Organisations {
    let mut organisations = Organisations::default();
    let policy = OrganisationPolicy { priority: None, quota: Some(Quota { rate, burst }) };
    organisations.insert(&name(), policy, []);
    organisations
}

fn gate() -> QuotaGate {
    let mut gate = QuotaGate::new(TOLERANCE);
    gate.configure(Some(&organisations(2.0, 2.0)));
    gate
}

fn follower(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn limited(fraction_ppm: u32) -> QuotaNotice {
    let entry = LimitedOrganisation { organisation: name(), fraction_ppm, wait_ms: 400 };
    QuotaNotice { limited: vec![entry] }
}

/// Guards against messages and decisions of a fleet without quotas.
#[test]
fn without_limits_nothing_is_counted_or_sent() {
    let mut gate = QuotaGate::new(TOLERANCE);
    gate.configure(Some(&Organisations::default()));
    gate.configure(None);
    let mut ledger = QuotaLedger::new(TOLERANCE);
    ledger.configure(at(0), None);
    for second in 0..10 {
        let now = at(second * 1_000);
        assert_eq!(gate.admit(now, &name(), FLEET, 0.5), QuotaDecision::Unlimited);
        gate.on_report(now, follower(1), &QuotaReport { gateways: FLEET, demands: Vec::new() });
        assert!(!gate.is_in_use());
        assert_eq!(gate.take_report(now), None);
        assert_eq!(ledger.notice(now), None);
    }
}

/// Guards against whole tokens that idle gateways save: 136 of them would be 4 times the bound of a
/// small organisation.
#[test]
fn gateways_out_of_contact_admit_no_more_than_the_bound_after_an_idle_time() {
    let mut gates: Vec<QuotaGate> = (0..FLEET.get()).map(|_| gate()).collect();
    let admitted = |now, gates: &mut Vec<QuotaGate>| {
        let mut admitted = 0;
        for (index, gate) in gates.iter_mut().enumerate() {
            let random = index as f64 / f64::from(FLEET.get());
            while gate.admit(now, &name(), FLEET, random) == QuotaDecision::Admitted {
                admitted += 1;
            }
        }
        admitted
    };
    let mut window = vec![admitted(at(0), &mut gates)];
    assert!(window[0] <= 1, "at the start: {}", window[0]);
    let idle_ms = 200_000;
    window.clear();
    for step in 0..=50 {
        window.push(admitted(at(idle_ms + step * 100), &mut gates));
    }
    let sum: u32 = window.iter().sum();
    let bound = (2.0 * 5.0 + 2.0) * 1.1 + 20.0;
    assert!(f64::from(sum) <= bound, "{sum} in 5 s, bound {bound}");
    assert!(sum >= 10, "{sum} in 5 s, the quota is 10");
}

/// Guards against a credit that lets an organisation admit more than before the credited request.
#[test]
fn credits_offset_admitted_requests_only_and_expire() {
    let mut gate = gate();
    gate.on_notice(at(0), &QuotaNotice::default());
    let report = |gate: &mut QuotaGate, now| gate.take_report(at(now)).unwrap().demands;
    for _ in 0..3 {
        assert_eq!(gate.admit(at(10), &name(), FLEET, 0.5), QuotaDecision::Admitted);
    }
    assert_eq!(report(&mut gate, 260), [(name(), Demand { offered: 3, admitted: 3 })]);
    gate.give_back(at(270), &name());
    gate.give_back(at(270), &name());
    gate.admit(at(280), &name(), FLEET, 0.5);
    assert_eq!(report(&mut gate, 520), [(name(), Demand { offered: 1, admitted: 0 })]);
    gate.admit(at(1_600), &name(), FLEET, 0.0);
    let demand = report(&mut gate, 1_610);
    assert_eq!(demand[0].1.offered, 1);
    gate.on_notice(at(1_620), &QuotaNotice::default());
    gate.admit(at(1_630), &name(), FLEET, 0.0);
    assert_eq!(report(&mut gate, 1_900), [(name(), Demand { offered: 1, admitted: 1 })]);
}

/// Guards against reports of a faulty gateway that end the process, raise a limit, or block an
/// organisation for longer than a window.
#[test]
fn odd_reports_raise_no_limit_and_block_for_a_bounded_time() {
    let odd = QuotaReport {
        gateways: GatewayCount(u32::MAX),
        demands: vec![
            (name(), Demand { offered: u32::MAX, admitted: u32::MAX }),
            (name(), Demand { offered: u32::MAX, admitted: u32::MAX }),
            (name(), Demand { offered: 0, admitted: u32::MAX }),
            (OrganisationName::new("unknown"), Demand { offered: 1, admitted: 1 }),
        ],
    };
    let mut gate = gate();
    let mut ledger = QuotaLedger::new(TOLERANCE);
    ledger.configure(at(0), Some(&organisations(2.0, 2.0)));
    for port in 1..4 {
        gate.on_report(at(0), follower(port), &odd);
    }
    let report = gate.take_demand(at(0));
    assert_eq!(report.gateways, GatewayCount(u32::MAX));
    assert_eq!(report.demands.len(), 1);
    ledger.on_report(at(0), FLEET, &report);
    assert_eq!(ledger.notice(at(300)).unwrap().limited[0].fraction_ppm, 0);
    let quiet = QuotaReport { gateways: FLEET, demands: Vec::new() };
    for step in 1..=300 {
        ledger.on_report(at(step * 50), FLEET, &quiet);
    }
    let one = QuotaReport {
        gateways: FLEET,
        demands: vec![(name(), Demand { offered: 1, admitted: 0 })],
    };
    ledger.on_report(at(15_050), FLEET, &one);
    let notice = ledger.notice(at(15_100)).unwrap();
    let fraction = notice.limited.first().map_or(1_000_000, |entry| entry.fraction_ppm);
    assert!(fraction > 0, "blocked after 15 s: {notice:?}");
}

/// Guards against fractions above 1, which would admit several requests for one.
#[test]
fn odd_notices_raise_no_limit() {
    let mut gate = gate();
    gate.on_notice(at(0), &limited(u32::MAX));
    for _ in 0..5 {
        assert_eq!(gate.admit(at(1), &name(), FLEET, 0.5), QuotaDecision::Admitted);
    }
    gate.on_notice(at(2), &limited(0));
    for _ in 0..5 {
        let decision = gate.admit(at(3), &name(), FLEET, 0.5);
        let QuotaDecision::OverQuota { fraction, retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(fraction, 0.0);
        assert!(retry_after >= ms(400) && retry_after <= ms(800), "{retry_after:?}");
    }
}

/// Guards against a suspended root that goes on with the buckets from before, and against a gateway
/// that relies on an old notice.
#[test]
fn a_pause_ends_contact_and_empties_the_buckets() {
    let mut ledger = QuotaLedger::new(TOLERANCE);
    ledger.configure(at(0), Some(&organisations(100.0, 100.0)));
    let report = |offered| QuotaReport {
        gateways: FLEET,
        demands: vec![(name(), Demand { offered, admitted: 0 })],
    };
    for step in 0..100 {
        ledger.on_report(at(step * 50), FLEET, &report(0));
    }
    ledger.on_report(at(5_000), FLEET, &report(60));
    assert_eq!(ledger.notice(at(5_000)).unwrap().limited, [], "the bucket is full");
    ledger.on_report(at(8_000), FLEET, &report(60));
    assert!(ledger.notice(at(8_000)).unwrap().limited[0].fraction_ppm < 500_000);
    let mut gate = gate();
    gate.on_notice(at(0), &QuotaNotice::default());
    assert!(gate.is_connected(at(700)));
    assert!(!gate.is_connected(at(701)));
}

/// Guards against an unnoticed surge at gateways whose root has just become unreachable.
#[test]
fn a_sudden_rise_after_a_late_notice_is_not_admitted() {
    let mut gate = gate();
    for step in 0..20 {
        gate.on_notice(at(step * 250), &QuotaNotice::default());
    }
    let last_ms = 19 * 250;
    let mut admitted = 0;
    for step in 0..100 {
        let decision = gate.admit(at(last_ms + 401 + step), &name(), FLEET, 0.5);
        admitted += u32::from(decision == QuotaDecision::Admitted);
        assert!(!matches!(decision, QuotaDecision::OverQuota { .. }), "{decision:?}");
    }
    assert!(admitted <= 4, "{admitted}");
}
