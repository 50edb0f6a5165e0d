//! Size of the messages about quotas, as they are sent.

use ibiscroft_core::fleet::{
    Demand, FollowerMessage, GatewayCount, Hint, LimitedOrganisation, QuotaNotice, QuotaReport,
};
use ibiscroft_core::ids::OrganisationName;

/// Organisations of a large deployment.
const ORGANISATIONS: u32 = 85;

fn name(index: u32) -> OrganisationName {
    OrganisationName::new(format!("org-{index:08}"))
}

fn report(organisations: u32) -> usize {
    let demand = Demand { offered: 1_000, admitted: 1_000 };
    let demands = (0..organisations).map(|index| (name(index), demand)).collect();
    let report = QuotaReport { gateways: GatewayCount(50), demands };
    encoded_len(&FollowerMessage::Quota(report))
}

fn notice(organisations: u32) -> usize {
    let limited = (0..organisations).map(|index| LimitedOrganisation {
        organisation: name(index),
        fraction_ppm: 999_999,
        wait_ms: 60_000,
    });
    encoded_len(&Hint::Quota(QuotaNotice { limited: limited.collect() }))
}

fn encoded_len(message: &impl serde::Serialize) -> usize {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).unwrap();
    buf.len()
}

/// Guards against messages that outgrow the links of small gateways: at 20 a second 2.5 kB are
/// 0.4 Mbit/s.
#[test]
fn messages_about_all_organisations_fit_into_2500_bytes() {
    let sizes = [report(0), report(2), report(ORGANISATIONS), notice(0), notice(ORGANISATIONS)];
    println!("report of 0, 2 and 85, notice of 0 and 85 organisations: {sizes:?} bytes");
    assert!(sizes.iter().all(|size| *size <= 2_500), "{sizes:?}");
}
