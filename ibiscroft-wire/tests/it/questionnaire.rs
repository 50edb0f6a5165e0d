//! Bad questionnaires: every fault at once, with its path, what was found and what is allowed.

use ibiscroft_wire::questionnaire;
use serde_json::{Value, json};

fn target(name: &str, address: &str) -> Value {
    json!({
        "name": name,
        "address": address,
        "availability_zone": "a",
        "slots": 6,
        "connections": 200,
    })
}

fn good() -> Value {
    json!({
        "organisation": "test",
        "availability_zones": ["a", "b"],
        "services": [{
            "name": "register",
            "routes": [{ "path_prefix": "/" }],
            "never_run_twice": ["POST"],
            "callers_wait_ms": 5000,
            "cold_target_bears": 2,
            "cold_lasts_ms": 300,
            "measuring_per_second": 2,
            "targets": [target("t0", "127.0.0.1:8080"), target("t1", "127.0.0.2:8080")],
        }],
    })
}

/// A document that is no questionnaire at all.
struct Text {
    name: &'static str,
    document: Vec<u8>,
    fault: &'static str,
}

#[test]
fn documents_that_cannot_be_read() {
    let whole = good().to_string().into_bytes();
    let cases = [
        Text { name: "empty", document: Vec::new(), fault: "(document): empty; a JSON object" },
        Text { name: "blank", document: b" \n".to_vec(), fault: "(document): empty" },
        Text {
            name: "truncated",
            document: whole[..whole.len() / 2].to_vec(),
            fault: "(document): not JSON: EOF",
        },
        Text {
            name: "huge",
            document: vec![b' '; (1 << 20) + 1],
            fault: "(document): 1048577 bytes; at most 1048576 bytes are allowed",
        },
        Text {
            name: "not UTF-8",
            document: b"{\"organisation\":\"\xff\"}".to_vec(),
            fault: "(document): not UTF-8 text: invalid utf-8 sequence of 1 bytes from index 17",
        },
        Text { name: "list", document: b"[]".to_vec(), fault: "[] is not of type \"object\"" },
    ];
    for case in cases {
        let faults = questionnaire::read(&case.document).unwrap_err().to_string();
        assert!(faults.contains(case.fault), "{}: {faults}", case.name);
        assert_eq!(faults.lines().count(), 1, "{}: {faults}", case.name);
    }
}

/// A change to a good questionnaire and each fault that must be reported.
struct Case {
    name: &'static str,
    change: fn(&mut Value),
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "good", change: |_| {}, faults: &[] },
    Case {
        name: "typo in a field",
        change: |it| {
            let service = it["services"][0].as_object_mut().unwrap();
            let bears = service.remove("cold_target_bears").unwrap();
            service.insert("cold_target_baers".to_string(), bears);
        },
        faults: &[
            "/services/0/cold_target_baers: unknown field; allowed are ",
            "/services/0/cold_target_bears: missing; required is: ",
        ],
    },
    Case {
        name: "no service",
        change: |it| it["services"] = json!([]),
        faults: &["/services: [] has less than 1 item"],
    },
    Case {
        name: "no target",
        change: |it| it["services"][0]["targets"] = json!([]),
        faults: &["/services/0/targets: [] has less than 1 item"],
    },
    Case {
        name: "duplicate targets",
        change: |it| it["services"][0]["targets"][1] = target("t0", "127.0.0.1:8080"),
        faults: &[
            "/services/0/targets/1/name: \"t0\" stands already at /services/0/targets/0/name",
            "/services/0/targets/1/address: \"127.0.0.1:8080\" stands already at ",
        ],
    },
    Case {
        name: "zero slots",
        change: |it| it["services"][0]["targets"][0]["slots"] = json!(0),
        faults: &["/services/0/targets/0/slots: 0 is less than the minimum of 1"],
    },
    Case {
        name: "fewer connections than slots",
        change: |it| it["services"][0]["targets"][0]["connections"] = json!(5),
        faults: &["/services/0/targets/0/connections: 5 connections; at least as many as the 6"],
    },
    Case {
        name: "unknown zone",
        change: |it| it["services"][0]["targets"][1]["availability_zone"] = json!("mars"),
        faults: &["/services/0/targets/1/availability_zone: unknown availability zone \"mars\"; \
             allowed are a, b"],
    },
    Case {
        name: "zone twice",
        change: |it| it["availability_zones"] = json!(["a", "b", "a"]),
        faults: &["/availability_zones: [\"a\",\"b\",\"a\"] names an item twice"],
    },
    Case {
        name: "name of a host",
        change: |it| it["services"][0]["targets"][0]["address"] = json!("localhost:80"),
        faults: &["/services/0/targets/0/address: \"localhost:80\" is not allowed; \
             required is: IP address and port"],
    },
    Case {
        name: "numbers of an address out of range",
        change: |it| it["services"][0]["targets"][0]["address"] = json!("127.0.0.1:70000"),
        faults: &["/services/0/targets/0/address: \"127.0.0.1:70000\" is not an IP address"],
    },
    Case {
        name: "method that may run twice",
        change: |it| it["services"][0]["never_run_twice"] = json!(["GET"]),
        faults: &["/services/0/never_run_twice/0: \"GET\" is not allowed; \
             allowed are \"POST\", \"PUT\", \"PATCH\", \"DELETE\""],
    },
    Case {
        name: "faults of all kinds at once",
        change: |it| {
            it["organisation"] = json!(7);
            it["services"][0]["callers_wait_ms"] = json!(1);
            it["services"][0]["targets"][0]["slots"] = json!("six");
            it["services"][0]["targets"][1]["availability_zone"] = json!("mars");
            it["services"][0]["targets"][1]["name"] = json!("t0");
        },
        faults: &[
            "/organisation: 7 is not of type \"string\"",
            "/services/0/callers_wait_ms: 1 is less than the minimum of 10",
            "/services/0/targets/0/slots: \"six\" is not of type \"integer\"",
            "/services/0/targets/1/availability_zone: unknown availability zone \"mars\"",
            "/services/0/targets/1/name: \"t0\" stands already at ",
        ],
    },
];

#[test]
fn every_fault_is_reported_at_once() {
    for case in CASES {
        let mut document = good();
        (case.change)(&mut document);
        let found = questionnaire::read(document.to_string().as_bytes());
        let message = found.map_or_else(|faults| faults.to_string(), |_| String::new());
        assert_eq!(message.lines().count(), case.faults.len(), "{}: {message}", case.name);
        for fault in case.faults {
            assert!(
                message.lines().any(|line| line.starts_with(fault)),
                "{}: {message}",
                case.name
            );
        }
    }
}
