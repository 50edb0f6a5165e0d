//! `ibiscroft-gateway --settings FILE`: runs the daemon of one entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use ibiscroft_gateway::Settings;
use ibiscroft_gateway::events::Event;

/// Exit code if the settings file cannot be read or is invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the gateway cannot start or a traffic thread fails.
const EXIT_FAILED: u8 = 1;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file (JSON)", meta = "FILE")]
    settings: PathBuf,
    #[options(help = "check the settings and exit")]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("[IB{}] {error:#}", Event::SettingsRefused.number());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match ibiscroft_gateway::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
