//! Tests of the differences between two configurations.

use ibiscroft_ops::differences;
use serde_json::{Value, json};

/// Two documents and their differences as lines of text.
struct Case {
    in_force: Value,
    new: Value,
    lines: &'static [&'static str],
}

#[test]
fn changed_fields_are_each_listed_once() {
    let cases = [
        Case { in_force: json!({"a": 1}), new: json!({"a": 1}), lines: &[] },
        Case { in_force: json!({"a": 1}), new: json!({"a": 2}), lines: &["~ /a: 1 -> 2"] },
        Case { in_force: json!({}), new: json!({"a": 2}), lines: &["+ /a: 2"] },
        Case { in_force: json!({"a": 1}), new: json!({}), lines: &["- /a: 1"] },
        Case {
            in_force: json!({"services": [{"name": "x", "slots": 3}, {"name": "y"}]}),
            new: json!({"services": [{"name": "x", "slots": 6}]}),
            lines: &["~ /services/x/slots: 3 -> 6", "- /services/y: {\"name\":\"y\"}"],
        },
        Case {
            in_force: json!({"services": [{"name": "x"}, {"name": "y"}]}),
            new: json!({"services": [{"name": "y"}, {"name": "x"}]}),
            lines: &["~ /services (order): [\"x\",\"y\"] -> [\"y\",\"x\"]"],
        },
        Case { in_force: json!(["a"]), new: json!(["b"]), lines: &["~ : [\"a\"] -> [\"b\"]"] },
    ];
    for case in cases {
        let lines: Vec<String> =
            differences(&case.in_force, &case.new).iter().map(ToString::to_string).collect();
        assert_eq!(lines, case.lines, "{} {}", case.in_force, case.new);
    }
}
