//! Arguments of the command line.

use std::net::SocketAddr;
use std::str::FromStr;

use gumdrop::Options;
use ibiscroft_core::ids::ZoneName;
use ibiscroft_core::{copy_data, data};

/// Options and command of `ibiscroft-ops`.
#[derive(Debug, Options)]
pub struct Args {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Addresses of the platform's key-value service, the store.
    #[options(no_short, meta = "ADDR[,ADDR]", help = "addresses of the key-value service")]
    pub store: Option<AddressList>,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Command of `ibiscroft-ops`.
#[derive(Debug, Options)]
pub enum Command {
    /// Validates a questionnaire and puts its configuration in force.
    #[options(help = "check a questionnaire and put its configuration in force")]
    Answer(AnswerArgs),
    /// Validates a questionnaire and shows what it would change.
    #[options(help = "check a questionnaire and show what it would change")]
    Check(AnswerArgs),
    /// Takes an availability zone out of service or brings it back.
    #[options(help = "take an availability zone out of service, or bring it back")]
    Zone(ZoneArgs),
    /// Shows which configuration and zone state are in force on each gateway.
    #[options(help = "show what is in force on each gateway, and which gateways lag")]
    Status(StatusArgs),
    /// Shows the state of one gateway.
    #[options(help = "show the state of one gateway")]
    Dump(DumpArgs),
}

/// Arguments of `answer` and `check`.
#[derive(Debug, Options)]
pub struct AnswerArgs {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
    /// Path of the questionnaire, a JSON file.
    #[options(free, required, help = "the questionnaire (JSON)")]
    pub file: String,
}

/// Arguments of `zone`.
#[derive(Debug, Options)]
pub struct ZoneArgs {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
    /// Takes the availability zone out even if it is the last one in service.
    #[options(no_short, help = "take the zone out even if it is the last one in service")]
    pub force: bool,
    /// Whether to take the availability zone out of service or to bring it back.
    #[options(free, required, help = "out or in")]
    pub direction: Option<Direction>,
    /// Name of the availability zone.
    #[options(free, required, help = "name of the availability zone")]
    pub zone: Option<ZoneName>,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub struct StatusArgs {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
}

/// Arguments of `dump`.
#[derive(Debug, Options)]
pub struct DumpArgs {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print JSON instead of text")]
    pub json: bool,
    /// Name of the instance, or IP address and port of its listener for operators.
    #[options(free, required, help = "instance, or IP address and port for operators")]
    pub instance: String,
}

copy_data! {
    /// Change to the state of an availability zone.
    pub enum Direction {
        /// Takes it out of service: its targets receive no new requests.
        Out,
        /// Brings it back into service: its targets receive requests again.
        In,
    }
}

data! {
    /// Error of parsing a [`Direction`] from a text other than `out` or `in`; holds the text.
    pub struct UnknownDirection(pub String);

    /// List of addresses, separated by commas on the command line.
    pub struct AddressList(pub Vec<SocketAddr>);
}

impl Args {
    /// Returns whether the output is JSON; `--json` may be given before or after the command.
    #[must_use]
    pub fn is_json(&self) -> bool {
        let after_command = match &self.command {
            Some(Command::Answer(args) | Command::Check(args)) => args.json,
            Some(Command::Zone(args)) => args.json,
            Some(Command::Status(args)) => args.json,
            Some(Command::Dump(args)) => args.json,
            None => false,
        };
        self.json || after_command
    }
}

impl FromStr for Direction {
    type Err = UnknownDirection;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(UnknownDirection(text.to_string())),
        }
    }
}

impl std::fmt::Display for UnknownDirection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} is not a direction; allowed are out, in", self.0)
    }
}

impl std::error::Error for UnknownDirection {}

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',').map(|part| part.trim().parse()).collect::<Result<_, _>>().map(Self)
    }
}
