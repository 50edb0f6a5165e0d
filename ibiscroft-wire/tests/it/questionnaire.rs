//! Tests that all faults of an invalid questionnaire are reported at once, each with its path, what
//! was found and what is allowed.

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

fn valid_questionnaire() -> Value {
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

/// A document that is not a JSON object, and a part of the fault that it causes.
struct UnreadableDocument {
    name: &'static str,
    document: Vec<u8>,
    fault: &'static str,
}

#[test]
fn unreadable_document_is_reported_as_one_fault() {
    let valid = valid_questionnaire().to_string().into_bytes();
    let cases = [
        UnreadableDocument {
            name: "empty",
            document: Vec::new(),
            fault: "(document): empty; a JSON object",
        },
        UnreadableDocument { name: "blank", document: b" \n".to_vec(), fault: "(document): empty" },
        UnreadableDocument {
            name: "truncated",
            document: valid[..valid.len() / 2].to_vec(),
            fault: "(document): not JSON: EOF",
        },
        UnreadableDocument {
            name: "huge",
            document: vec![b' '; (1 << 20) + 1],
            fault: "(document): 1048577 bytes; at most 1048576 bytes are allowed",
        },
        UnreadableDocument {
            name: "not UTF-8",
            document: b"{\"organisation\":\"\xff\"}".to_vec(),
            fault: "(document): not UTF-8 text: invalid utf-8 sequence of 1 bytes from index 17",
        },
        UnreadableDocument {
            name: "list",
            document: b"[]".to_vec(),
            fault: "[] is not of type \"object\"",
        },
    ];
    for case in cases {
        let faults = questionnaire::read(&case.document).unwrap_err().to_string();
        assert!(faults.contains(case.fault), "{}: {faults}", case.name);
        assert_eq!(faults.lines().count(), 1, "{}: {faults}", case.name);
    }
}

/// A change to a valid questionnaire and the faults that must be reported for it.
struct Case {
    name: &'static str,
    change: fn(&mut Value),
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "valid", change: |_| {}, faults: &[] },
    Case {
        name: "typo in a field",
        change: |doc| {
            let service = doc["services"][0].as_object_mut().unwrap();
            let concurrency = service.remove("cold_target_bears").unwrap();
            service.insert("cold_target_baers".to_string(), concurrency);
        },
        faults: &[
            "/services/0/cold_target_baers: unknown field; allowed are ",
            "/services/0/cold_target_bears: missing; required: ",
        ],
    },
    Case {
        name: "no service",
        change: |doc| doc["services"] = json!([]),
        faults: &["/services: [] has less than 1 item"],
    },
    Case {
        name: "no target",
        change: |doc| doc["services"][0]["targets"] = json!([]),
        faults: &["/services/0/targets: [] has less than 1 item"],
    },
    Case {
        name: "duplicate targets",
        change: |doc| doc["services"][0]["targets"][1] = target("t0", "127.0.0.1:8080"),
        faults: &[
            "/services/0/targets/1/name: \"t0\" is already used at /services/0/targets/0/name",
            "/services/0/targets/1/address: \"127.0.0.1:8080\" is already used at ",
        ],
    },
    Case {
        name: "zero slots",
        change: |doc| doc["services"][0]["targets"][0]["slots"] = json!(0),
        faults: &["/services/0/targets/0/slots: 0 is less than the minimum of 1"],
    },
    Case {
        name: "fewer connections than slots",
        change: |doc| doc["services"][0]["targets"][0]["connections"] = json!(5),
        faults: &["/services/0/targets/0/connections: 5 connections; at least as many as the 6"],
    },
    Case {
        name: "unknown zone",
        change: |doc| doc["services"][0]["targets"][1]["availability_zone"] = json!("mars"),
        faults: &["/services/0/targets/1/availability_zone: unknown availability zone \"mars\"; \
             allowed are a, b"],
    },
    Case {
        name: "duplicate availability zones",
        change: |doc| doc["availability_zones"] = json!(["a", "b", "a"]),
        faults: &["/availability_zones: [\"a\",\"b\",\"a\"] lists an item twice"],
    },
    Case {
        name: "host name as address",
        change: |doc| doc["services"][0]["targets"][0]["address"] = json!("localhost:80"),
        faults: &["/services/0/targets/0/address: \"localhost:80\" is not allowed; \
             required: IP address and port"],
    },
    Case {
        name: "address with a port out of range",
        change: |doc| doc["services"][0]["targets"][0]["address"] = json!("127.0.0.1:70000"),
        faults: &["/services/0/targets/0/address: \"127.0.0.1:70000\" is not an IP address"],
    },
    Case {
        name: "method that is always repeatable",
        change: |doc| doc["services"][0]["never_run_twice"] = json!(["GET"]),
        faults: &["/services/0/never_run_twice/0: \"GET\" is not allowed; \
             allowed are \"POST\", \"PUT\", \"PATCH\", \"DELETE\""],
    },
    Case {
        name: "faults of all kinds at once",
        change: |doc| {
            doc["organisation"] = json!(7);
            doc["services"][0]["callers_wait_ms"] = json!(1);
            doc["services"][0]["targets"][0]["slots"] = json!("six");
            doc["services"][0]["targets"][1]["availability_zone"] = json!("mars");
            doc["services"][0]["targets"][1]["name"] = json!("t0");
        },
        faults: &[
            "/organisation: 7 is not of type \"string\"",
            "/services/0/callers_wait_ms: 1 is less than the minimum of 10",
            "/services/0/targets/0/slots: \"six\" is not of type \"integer\"",
            "/services/0/targets/1/availability_zone: unknown availability zone \"mars\"",
            "/services/0/targets/1/name: \"t0\" is already used at ",
        ],
    },
];

#[test]
fn all_faults_are_reported_at_once() {
    for case in CASES {
        let mut document = valid_questionnaire();
        (case.change)(&mut document);
        let result = questionnaire::read(document.to_string().as_bytes());
        let message = result.map_or_else(|faults| faults.to_string(), |_| String::new());
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
