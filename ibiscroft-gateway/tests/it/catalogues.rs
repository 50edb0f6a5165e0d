//! The catalogues in docs equal the code.

use std::path::PathBuf;

use ibiscroft_gateway::events::Event;
use ibiscroft_wire::ErrorKind;

fn docs(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs").join(name)
}

/// Compares a catalogue with the code; writes it when `UPDATE_CATALOGUES` is set.
fn check(name: &str, wanted: &str) {
    if std::env::var_os("UPDATE_CATALOGUES").is_some() {
        std::fs::write(docs(name), wanted).unwrap();
    }
    let found = std::fs::read_to_string(docs(name)).unwrap_or_default();
    assert!(found == wanted, "docs/{name} must hold:\n{wanted}");
}

#[test]
fn event_catalogue_equals_code() {
    let mut wanted = String::from(
        "# Log events\n\nEach log line that matters carries its number, as `[IB1001]`.\n\n\
         | number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        wanted.push_str(&format!(
            "| IB{} | {event:?} | {} | {} |\n",
            event.number(),
            event.level().as_str().to_lowercase(),
            event.meaning(),
        ));
    }
    check("EVENTS.md", &wanted);
}

#[test]
fn event_numbers_rise() {
    for pair in Event::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{:?}", pair[1]);
    }
}

#[test]
fn error_table_equals_code() {
    let mut wanted = String::from(
        "# Error answers\n\nProblem answers follow RFC 9457 (`application/problem+json`). \
         `execution` says whether the request ran: `not_run`, `unknown` or `ran`. `type` is \
         `urn:ibiscroft:problem:` with the name.\n\n\
         | name | status | execution | title |\n|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let response = kind.response();
        wanted.push_str(&format!(
            "| `{}` | {} | `{}` | {} |\n",
            response.name, response.status, response.execution, response.title
        ));
    }
    check("ERRORS.md", &wanted);
}
