//! Command line of the stand-ins, the load tool and the demo.

use eyre::Result;

#[tokio::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    ibiscroft_lab::cli::run().await
}
