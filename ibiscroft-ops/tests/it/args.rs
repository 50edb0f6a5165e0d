//! Tests of the arguments and of the exit codes of commands that fail without a store.

use gumdrop::Options;
use ibiscroft_ops::{Args, ExitCode, run};

/// A command line with its exit code and a part of its error message.
struct Case {
    line: &'static [&'static str],
    exit_code: ExitCode,
    error: &'static str,
}

const CASES: [Case; 6] = [
    Case { line: &[], exit_code: ExitCode::Usage, error: "a command is required" },
    Case { line: &["status"], exit_code: ExitCode::Usage, error: "--store ADDR[,ADDR]" },
    Case { line: &["dump", "gw-1"], exit_code: ExitCode::Usage, error: "--store ADDR[,ADDR]" },
    Case { line: &["check", "no/such/file"], exit_code: ExitCode::Local, error: "no/such/file" },
    Case {
        line: &["--store", "127.0.0.1:1,127.0.0.1:2", "status"],
        exit_code: ExitCode::StoreUnavailable,
        error: "the store does not respond on 127.0.0.1:1, 127.0.0.1:2",
    },
    Case {
        line: &["dump", "127.0.0.1:1"],
        exit_code: ExitCode::InstanceUnavailable,
        error: "the gateway on 127.0.0.1:1 does not respond",
    },
];

#[tokio::test]
async fn failed_command_returns_its_exit_code_and_message() {
    for case in CASES {
        let args = Args::parse_args_default(case.line).unwrap();
        let error = run(&args).await.unwrap_err();
        assert_eq!(error.exit_code(), case.exit_code, "{:?}", case.line);
        assert!(error.to_string().contains(case.error), "{:?}: {error}", case.line);
    }
}

#[test]
fn invalid_command_line_is_rejected() {
    let lines: [&[&str]; 5] = [
        &["zone", "away", "zone-a"],
        &["zone", "out"],
        &["answer"],
        &["--store", "localhost", "status"],
        &["restart"],
    ];
    for line in lines {
        assert!(Args::parse_args_default(line).is_err(), "{line:?}");
    }
}

#[test]
fn json_option_is_accepted_before_and_after_command() {
    let lines: [&[&str]; 3] =
        [&["--json", "status"], &["status", "--json"], &["zone", "out", "zone-a", "--json"]];
    for line in lines {
        assert!(Args::parse_args_default(line).unwrap().is_json(), "{line:?}");
    }
}
