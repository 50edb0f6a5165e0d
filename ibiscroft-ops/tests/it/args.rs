//! Tests of the command line and of the exit codes that need no store.

use gumdrop::Options;
use ibiscroft_ops::{Args, ExitCode, run};

/// A command line and how it ends.
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
        error: "the store does not answer on 127.0.0.1:1, 127.0.0.1:2",
    },
    Case {
        line: &["dump", "127.0.0.1:1"],
        exit_code: ExitCode::InstanceUnavailable,
        error: "the gateway on 127.0.0.1:1 does not answer",
    },
];

#[tokio::test]
async fn errors_have_their_exit_code() {
    for case in CASES {
        let args = Args::parse_args_default(case.line).unwrap();
        let error = run(&args).await.unwrap_err();
        assert_eq!(error.exit_code(), case.exit_code, "{:?}", case.line);
        assert!(error.to_string().contains(case.error), "{:?}: {error}", case.line);
    }
}

#[test]
fn unusable_command_lines_are_refused() {
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
fn json_stands_before_or_after_the_command() {
    let lines: [&[&str]; 3] =
        [&["--json", "status"], &["status", "--json"], &["zone", "out", "zone-a", "--json"]];
    for line in lines {
        assert!(Args::parse_args_default(line).unwrap().is_json(), "{line:?}");
    }
}
