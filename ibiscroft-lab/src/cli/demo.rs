//! `ibiscroft-lab demo`.

use std::process::ExitCode;

use eyre::Result;
use gumdrop::Options;

use crate::demo::{self, DemoOptions};

/// Arguments of `ibiscroft-lab demo`.
#[derive(Debug, Options)]
pub(super) struct DemoArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, default = "200", meta = "N", help = "calls per second")]
    rate: f64,
    #[options(no_short, default = "1", meta = "N", help = "seed of the calls")]
    seed: u64,
    #[options(no_short, help = "keep the system running until Ctrl-C")]
    keep: bool,
}

/// Runs the demo.
pub(super) async fn demo(arguments: DemoArguments) -> Result<ExitCode> {
    let DemoArguments { help: _, rate, seed, keep } = arguments;
    demo::run(DemoOptions { rate, seed, keep }).await
}
