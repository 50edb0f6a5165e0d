//! Settings of one gateway, read from a JSON file and checked before any thread or socket starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;
use ibiscroft_core::ids::{InstanceName, ZoneName};
use ibiscroft_wire::generated::settings::GatewaySettings;
use ibiscroft_wire::{Fault, Faults, Schema};

/// Number of traffic threads if the settings give none.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Drain notice if the settings give none.
const DEFAULT_DRAIN_NOTICE: Duration = Duration::from_secs(3);

/// Validated settings of one gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for the platform and operators.
    pub operator_listen: SocketAddr,
    /// Listen address for other gateways.
    pub peer_listen: SocketAddr,
    /// Addresses of the key-value service.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's list of instances.
    pub instance_list: Option<SocketAddr>,
    /// Peer addresses of other gateways, to connect to before the store has provided the roster.
    pub peers: Vec<SocketAddr>,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Time in a graceful shutdown from reporting not ready until no connection is accepted any
    /// more.
    pub drain_notice: Duration,
    /// Longest wait in a graceful shutdown for requests in flight; `None` waits without limit.
    pub drain_limit: Option<Duration>,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may open.
    pub max_fds: Option<u32>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if it cannot be read, and with every invalid field if
    /// the settings are not valid.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let document = std::fs::read(path)
            .wrap_err_with(|| format!("failed to read settings file {}", path.display()))?;
        Self::parse(&document).wrap_err_with(|| format!("invalid settings file {}", path.display()))
    }

    /// Validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault with the JSON pointer of its field.
    pub fn parse(document: &[u8]) -> Result<Self, Faults> {
        let value = Schema::GatewaySettings.check(document)?;
        let raw: GatewaySettings = serde_json::from_value(value)
            .map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
        let mut faults = Vec::new();
        let settings = Self {
            instance: InstanceName::new(raw.instance),
            zone: ZoneName::new(raw.availability_zone),
            caller_listen: address(&raw.caller_listen, "/caller_listen", &mut faults),
            operator_listen: address(&raw.operator_listen, "/operator_listen", &mut faults),
            peer_listen: address(&raw.peer_listen, "/peer_listen", &mut faults),
            store: addresses(&raw.store, "/store", &mut faults),
            peers: addresses(&raw.peers, "/peers", &mut faults),
            instance_list: raw
                .instance_list
                .as_deref()
                .map(|text| address(text, "/instance_list", &mut faults)),
            traffic_threads: raw
                .traffic_threads
                .map_or(DEFAULT_TRAFFIC_THREADS, |count| count as usize),
            drain_notice: raw.drain_notice_ms.map_or(DEFAULT_DRAIN_NOTICE, millis),
            drain_limit: raw.drain_limit_ms.filter(|ms| *ms > 0).map(millis),
            memory_mb: raw.memory_mb,
            max_fds: raw.max_fds,
        };
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

/// Parses a list of addresses and adds a fault for each malformed one.
fn addresses(texts: &[String], path: &str, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| address(text, &format!("{path}/{index}"), faults))
        .collect()
}

/// Parses an address; for a malformed one, adds a fault and returns a placeholder.
fn address(text: &str, path: &str, faults: &mut Vec<Fault>) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        faults.push(Fault::new(path, format!("{text:?} is not an IP address with a port")));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(count.into())
}
