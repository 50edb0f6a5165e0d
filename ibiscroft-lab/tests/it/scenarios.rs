//! The scenario files of this crate.

use std::path::Path;

use ibiscroft_lab::scenario::Scenario;

#[test]
fn scenario_files_have_expected_sizes() {
    struct Case {
        file: &'static str,
        targets: [u32; 3],
        slots: u32,
        zones: usize,
    }
    let cases = [
        Case { file: "verband.json", targets: [10, 6, 12], slots: 6, zones: 3 },
        Case { file: "vatuwaqa.json", targets: [15, 7, 11], slots: 3, zones: 3 },
    ];
    for case in cases {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(case.file);
        let scenario = Scenario::read(&path).unwrap();
        let targets: Vec<u32> = scenario.services.iter().map(|service| service.targets).collect();
        assert_eq!(targets, case.targets, "{}", case.file);
        assert!(scenario.services.iter().all(|service| service.slots == case.slots));
        assert_eq!(scenario.zone_delay_us.len(), case.zones, "{}", case.file);
        assert!(scenario.capacity().is_finite(), "{}", case.file);
    }
}
