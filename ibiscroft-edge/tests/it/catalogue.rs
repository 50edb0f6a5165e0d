//! Checks the catalogue of log events, docs/EDGE-EVENTS.md, against the events in the code.

use std::path::PathBuf;

use ibiscroft_edge::events::Event;

#[test]
fn event_catalogue_equals_code() {
    let mut expected = String::from(
        "# Log events of the edge daemon\n\nA line begins with time, level and module, then \
         `event=NUMBER name=NAME` and fields in the form `key=value`.\n\n\
         | number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        expected.push_str(&format!(
            "| {} | {event:?} | {} | {} |\n",
            event.number(),
            event.level().as_str().to_lowercase(),
            event.meaning(),
        ));
    }
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs/EDGE-EVENTS.md");
    if std::env::var_os("UPDATE_CATALOGUES").is_some() {
        std::fs::write(&file, &expected).unwrap();
    }
    let actual = std::fs::read_to_string(&file).unwrap_or_default();
    assert!(
        actual == expected,
        "docs/EDGE-EVENTS.md differs from the events in the code; expected:\n{expected}"
    );
}

#[test]
fn event_numbers_are_unique() {
    let mut numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), Event::ALL.len());
}
