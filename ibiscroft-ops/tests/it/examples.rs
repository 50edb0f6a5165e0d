//! The filled questionnaires are valid and have the sizes of their users.

use std::path::Path;

use ibiscroft_core::ids::{ChangeId, Generation};
use ibiscroft_wire::questionnaire;

/// Size of one service.
struct ServiceSize {
    name: &'static str,
    targets: usize,
    slots: u32,
    connections: u32,
    at_most_once: bool,
}

/// One example with the sizes it must have.
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
fn examples_are_valid_and_have_the_sizes_of_their_users() {
    for case in CASES {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(case.file);
        let answers = questionnaire::read(&std::fs::read(path).unwrap()).unwrap();
        let cfg = questionnaire::generate(&answers, Generation(1), ChangeId::new("a")).unwrap();
        assert_eq!(cfg.zones.len(), case.zones, "{}", case.file);
        assert_eq!(cfg.services.len(), case.services.len(), "{}", case.file);
        for (service, wanted) in cfg.services.iter().zip(case.services) {
            assert_eq!(service.name.as_str(), wanted.name);
            assert_eq!(service.targets.len(), wanted.targets, "{}", wanted.name);
            assert_eq!(service.is_at_most_once("POST"), wanted.at_most_once, "{}", wanted.name);
            for target in &service.targets {
                assert_eq!(target.slots.get(), wanted.slots, "{}", target.name);
                assert_eq!(target.connections.get(), wanted.connections, "{}", target.name);
            }
        }
    }
}
