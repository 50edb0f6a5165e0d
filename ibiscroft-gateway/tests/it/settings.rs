//! Validation of the settings: all faults are reported at once, each with its field.

use ibiscroft_gateway::Settings;
use serde_json::{Value, json};

struct Case {
    name: &'static str,
    change: fn(&mut Value),
    faults: &'static [&'static str],
}

fn valid_settings() -> Value {
    json!({
        "instance": "gw-1",
        "availability_zone": "a",
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "store": ["127.0.0.1:1"],
    })
}

fn set(value: &mut Value, field: &str, to: Value) {
    value.as_object_mut().unwrap().insert(field.to_string(), to);
}

const CASES: &[Case] = &[
    Case { name: "valid", change: |_| {}, faults: &[] },
    Case {
        name: "typo in a field",
        change: |value| set(value, "instnce", json!("gw-1")),
        faults: &["instnce"],
    },
    Case {
        name: "missing field",
        change: |value| {
            value.as_object_mut().unwrap().remove("instance");
        },
        faults: &["instance"],
    },
    Case {
        name: "two faults at once",
        change: |value| {
            set(value, "caller_listen", json!("nowhere"));
            set(value, "traffic_threads", json!(0));
        },
        faults: &["/caller_listen", "/traffic_threads"],
    },
    Case {
        name: "port out of range",
        change: |value| set(value, "peer_listen", json!("127.0.0.1:99999")),
        faults: &["/peer_listen"],
    },
    Case {
        name: "memory and descriptors too small",
        change: |value| {
            set(value, "memory_mb", json!(63));
            set(value, "max_fds", json!(255));
        },
        faults: &["/memory_mb", "/max_fds"],
    },
    Case {
        name: "memory and descriptors",
        change: |value| {
            set(value, "memory_mb", json!(64));
            set(value, "max_fds", json!(256));
        },
        faults: &[],
    },
    Case { name: "no store", change: |value| set(value, "store", json!([])), faults: &["/store"] },
];

#[test]
fn error_names_every_invalid_field() {
    for case in CASES {
        let mut value = valid_settings();
        (case.change)(&mut value);
        let result = Settings::parse(value.to_string().as_bytes());
        let message = result.map_or_else(|faults| faults.to_string(), |_| String::new());
        assert_eq!(message.is_empty(), case.faults.is_empty(), "{}: {message}", case.name);
        for fault in case.faults {
            assert!(message.contains(fault), "{}: {message}", case.name);
        }
    }
}
