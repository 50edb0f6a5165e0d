//! Tests that the example questionnaires are valid and describe clusters of the expected size.

use std::path::Path;

use ibiscroft_core::ids::{ChangeId, Generation};
use ibiscroft_wire::questionnaire;

/// Expected size of one service.
struct ServiceSize {
    name: &'static str,
    targets: usize,
    slots: u32,
    connections: u32,
    at_most_once: bool,
}

/// An example questionnaire with its expected numbers of availability zones and services.
struct Case {
    file: &'static str,
    zones: usize,
    services: &'static [ServiceSize],
}

const fn size(
    name: &'static str,
    targets: usize,
    slots: u32,
    connections: u32,
    at_most_once: bool,
) -> ServiceSize {
    ServiceSize { name, targets, slots, connections, at_most_once }
}

const CASES: [Case; 2] = [
    Case {
        file: "verband.json",
        zones: 3,
        services: &[
            size("hallmark-office", 6, 6, 200, true),
            size("pattern-and-tariff-library", 12, 6, 200, false),
            size("supplier-register", 10, 6, 200, false),
        ],
    },
    Case {
        file: "vatuwaqa.json",
        zones: 3,
        services: &[
            size("phrases", 15, 3, 250, false),
            size("order-intake", 7, 3, 250, true),
            size("artwork-and-archive", 11, 3, 250, false),
        ],
    },
];

#[test]
fn examples_are_valid_and_have_expected_sizes() {
    for case in CASES {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(case.file);
        let answers = questionnaire::read(&std::fs::read(path).unwrap()).unwrap();
        let cfg = questionnaire::generate(&answers, Generation(1), ChangeId::new("a")).unwrap();
        assert_eq!(cfg.zones.len(), case.zones, "{}", case.file);
        assert_eq!(cfg.services.len(), case.services.len(), "{}", case.file);
        for (service, expected) in cfg.services.iter().zip(case.services) {
            assert_eq!(service.name.as_str(), expected.name);
            assert_eq!(service.targets.len(), expected.targets, "{}", expected.name);
            assert_eq!(service.is_at_most_once("POST"), expected.at_most_once, "{}", expected.name);
            for target in &service.targets {
                assert_eq!(target.slots.get(), expected.slots, "{}", target.name);
                assert_eq!(target.connections.get(), expected.connections, "{}", target.name);
            }
        }
    }
}
