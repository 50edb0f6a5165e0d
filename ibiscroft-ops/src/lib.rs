//! Command line for operators: generates the configuration from a questionnaire and puts it in
//! force, takes availability zones out of service and brings them back, and shows what is in force
//! on the gateways.

mod answer;
mod args;
mod difference;
mod dump;
mod error;
mod exit_code;
mod fleet;
mod gateway_client;
mod output;
mod register_client;
mod roster_client;
mod status;
mod store_client;
mod zone;

pub use answer::{AnswerReport, CheckReport};
pub use args::{
    AddressList, AnswerArgs, Args, Command, Direction, DumpArgs, StatusArgs, UnknownDirection,
    ZoneArgs,
};
pub use difference::{Difference, differences};
pub use dump::DumpReport;
pub use error::OpsError;
pub use exit_code::ExitCode;
pub use output::{Report, print};
pub use status::{GatewayStatus, RegisterStatus, StatusReport, TargetStatus};
pub use store_client::StoreClient;
pub use zone::ZoneReport;

/// Runs one command.
///
/// # Errors
///
/// Returns the error of the command; [`OpsError::exit_code`] gives the exit code of the process.
pub async fn run(args: &Args) -> Result<Report, OpsError> {
    let Some(command) = &args.command else {
        return Err(OpsError::Usage("a command is required; --help lists them".to_string()));
    };
    let store = match &args.store {
        Some(addresses) => Some(StoreClient::new(addresses.0.clone())?),
        None => None,
    };
    match command {
        Command::Check(args) => answer::check(store.as_ref(), &args.file).await.map(Report::Check),
        Command::Dump(args) => dump::dump(store.as_ref(), &args.instance).await.map(Report::Dump),
        Command::Answer(args) => {
            answer::answer(require_store(store.as_ref())?, &args.file).await.map(Report::Answer)
        }
        Command::Zone(args) => {
            let (Some(direction), Some(zone)) = (args.direction, &args.zone) else {
                return Err(OpsError::Usage("zone out|in ZONE is required".to_string()));
            };
            let store = require_store(store.as_ref())?;
            zone::change(store, direction, zone, args.force).await.map(Report::Zone)
        }
        Command::Status(_) => {
            status::status(require_store(store.as_ref())?).await.map(Report::Status)
        }
    }
}

fn require_store(store: Option<&StoreClient>) -> Result<&StoreClient, OpsError> {
    store.ok_or_else(|| OpsError::Usage("--store ADDR[,ADDR] is required".to_string()))
}
