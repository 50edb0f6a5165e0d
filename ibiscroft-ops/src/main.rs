//! Command line for operators of ibiscroft.

use std::process::ExitCode;

use gumdrop::Options;
use ibiscroft_ops::{Args, print, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let result = run(&args).await;
    print(&result, args.is_json()).into()
}
