//! Settings of one gateway, read from JSON and checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;
use ibiscroft_core::ids::{InstanceName, ZoneName};
use ibiscroft_wire::generated::settings::GatewaySettings;
use ibiscroft_wire::{Fault, Faults, Schema};

/// Threads for traffic when the settings name no number.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Time between not ready and the end of accepting when the settings name none.
const DEFAULT_DRAIN_NOTICE: Duration = Duration::from_secs(3);

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceName,
    /// Availability zone the instance runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where the platform and operators connect.
    pub operator_listen: SocketAddr,
    /// Where other gateways connect.
    pub peer_listen: SocketAddr,
    /// Addresses of the key-value service.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's list of instances.
    pub instance_list: Option<SocketAddr>,
    /// Other gateways to ask while the store has not shown the roster.
    pub peers: Vec<SocketAddr>,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Time between not ready and the end of accepting.
    pub drain_notice: Duration,
    /// Longest wait for requests in flight at a planned stop; `None` waits without limit.
    pub drain_limit: Option<Duration>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and every field at fault.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let document =
            std::fs::read(path).wrap_err_with(|| format!("settings file {}", path.display()))?;
        Self::parse(&document).wrap_err_with(|| format!("settings file {}", path.display()))
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault with the path of its field.
    pub fn parse(document: &[u8]) -> Result<Self, Faults> {
        let value = Schema::GatewaySettings.check(document)?;
        let found: GatewaySettings = serde_json::from_value(value)
            .map_err(|error| Faults(vec![Fault::new("", error.to_string())]))?;
        let mut faults = Vec::new();
        let settings = Self {
            instance: InstanceName::new(found.instance),
            zone: ZoneName::new(found.availability_zone),
            caller_listen: address(&found.caller_listen, "/caller_listen", &mut faults),
            operator_listen: address(&found.operator_listen, "/operator_listen", &mut faults),
            peer_listen: address(&found.peer_listen, "/peer_listen", &mut faults),
            store: addresses(&found.store, "/store", &mut faults),
            peers: addresses(&found.peers, "/peers", &mut faults),
            instance_list: found
                .instance_list
                .as_deref()
                .map(|text| address(text, "/instance_list", &mut faults)),
            traffic_threads: found
                .traffic_threads
                .map_or(DEFAULT_TRAFFIC_THREADS, |count| count as usize),
            drain_notice: found.drain_notice_ms.map_or(DEFAULT_DRAIN_NOTICE, millis),
            drain_limit: found.drain_limit_ms.filter(|ms| *ms > 0).map(millis),
        };
        if faults.is_empty() { Ok(settings) } else { Err(Faults(faults)) }
    }
}

fn addresses(texts: &[String], path: &str, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    texts
        .iter()
        .enumerate()
        .map(|(index, text)| address(text, &format!("{path}/{index}"), faults))
        .collect()
}

fn address(text: &str, path: &str, faults: &mut Vec<Fault>) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        faults.push(Fault::new(path, format!("{text:?} is not an IP address with a port")));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(count.into())
}
