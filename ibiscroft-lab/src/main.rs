//! Entry point of `ibiscroft-lab`: stand-ins, load generator, measurements and demo.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match ibiscroft_lab::cli::run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ibiscroft-lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}
