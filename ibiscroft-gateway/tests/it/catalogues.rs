//! The catalogues of events and errors in `docs` match the code.

use std::path::PathBuf;

use ibiscroft_gateway::events::Event;
use ibiscroft_wire::ErrorKind;

fn docs_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs").join(name)
}

/// Compares the page `name` with the text generated from the code; first writes the page if
/// `UPDATE_CATALOGUES` is set.
fn check_page(name: &str, expected: &str) {
    if std::env::var_os("UPDATE_CATALOGUES").is_some() {
        std::fs::write(docs_path(name), expected).unwrap();
    }
    let actual = std::fs::read_to_string(docs_path(name)).unwrap_or_default();
    assert!(actual == expected, "docs/{name} differs from the code; expected:\n{expected}");
}

#[test]
fn event_catalogue_matches_code() {
    let mut expected = String::from(
        "# Log events\n\nEach log line that matters carries its number, as `[IB1001]`.\n\n\
         | number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        expected.push_str(&format!(
            "| IB{} | {event:?} | {} | {} |\n",
            event.number(),
            event.level().as_str().to_lowercase(),
            event.meaning(),
        ));
    }
    check_page("EVENTS.md", &expected);
}

#[test]
fn event_numbers_increase() {
    for pair in Event::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{:?}", pair[1]);
    }
}

#[test]
fn error_table_matches_code() {
    let mut expected = String::from(
        "# Error answers\n\nProblem answers follow RFC 9457 (`application/problem+json`). \
         `execution` says whether the request ran: `not_run`, `unknown` or `ran`. `type` is \
         `urn:ibiscroft:problem:` with the name.\n\n\
         | name | status | execution | title |\n|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let response = kind.response();
        expected.push_str(&format!(
            "| `{}` | {} | `{}` | {} |\n",
            response.name, response.status, response.execution, response.title
        ));
    }
    check_page("ERRORS.md", &expected);
}
