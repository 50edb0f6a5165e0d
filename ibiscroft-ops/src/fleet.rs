//! The gateways on the roster: reads their state and sends accepted records to them.
//!
//! The store may have come back with older data. So that a change does not revert a newer one, it
//! starts from the newest state that the store or any gateway has. The store may also fail right
//! after it accepted a change. So that the change is not lost, it is sent directly to some gateways
//! as well, which forward it to the others.

use ibiscroft_core::ids::{Generation, InstanceName};
use ibiscroft_wire::codec;
use ibiscroft_wire::generated::configuration::ZoneStateRecord;
use ibiscroft_wire::generated::peer::PeerMessage;
use serde_json::Value;
use tokio::task::JoinSet;

use crate::error::OpsError;
use crate::gateway_client::GatewayClient;
use crate::roster_client::{self, Gateway};
use crate::store_client::StoreClient;

/// Number of gateways that an accepted record is sent to; gossip forwards it to the others.
const DIRECT_RECIPIENTS: usize = 3;

/// The gateways on the roster with their states.
#[derive(Debug)]
pub(crate) struct Fleet {
    client: GatewayClient,
    /// Gateways in the order of their names, each with its state or the error of reading it.
    pub(crate) gateways: Vec<(Gateway, Result<Value, OpsError>)>,
}

impl Fleet {
    /// Reads the states of all gateways on the roster concurrently, so that gateways that do not
    /// respond cost a single timeout.
    pub(crate) async fn query(store: &StoreClient) -> Result<Self, OpsError> {
        let client = GatewayClient::new()?;
        let mut queries = JoinSet::new();
        for gateway in roster_client::gateways(store).await? {
            let client = client.clone();
            queries.spawn(async move {
                let state = client.dump(gateway.address).await;
                (gateway, state)
            });
        }
        let mut gateways = queries.join_all().await;
        gateways.sort_by(|left, right| left.0.instance.cmp(&right.0.instance));
        Ok(Self { client, gateways })
    }

    /// Returns the highest generation of the configuration that any gateway has in force.
    pub(crate) fn configuration_generation(&self) -> Generation {
        let generations =
            self.states().filter_map(|state| register_generation(state, "configuration"));
        generations.max().unwrap_or_default()
    }

    /// Returns the newest zone state that any gateway has in force; among states of the same
    /// generation, the one with the greatest change identifier.
    pub(crate) fn zones(&self) -> Option<ZoneStateRecord> {
        let zones = self.states().filter_map(|state| {
            serde_json::from_value::<ZoneStateRecord>(state["zones"].clone()).ok()
        });
        zones.max_by(|left, right| {
            let order = |zones: &ZoneStateRecord| (zones.generation, zones.change_id.clone());
            order(left).cmp(&order(right))
        })
    }

    /// Sends an accepted record to up to [`DIRECT_RECIPIENTS`] gateways and returns those that
    /// accepted it.
    pub(crate) async fn distribute(&self, records: &PeerMessage) -> Vec<InstanceName> {
        let mut recipients = Vec::new();
        for (gateway, state) in &self.gateways {
            if state.is_err() {
                continue;
            }
            if recipients.len() >= DIRECT_RECIPIENTS {
                break;
            }
            if self.client.send_registers(gateway.address, records).await.is_ok() {
                recipients.push(gateway.instance.clone());
            }
        }
        recipients
    }

    fn states(&self) -> impl Iterator<Item = &Value> {
        self.gateways.iter().filter_map(|(_, state)| state.as_ref().ok())
    }
}

/// Returns the generation of a register in the state of a gateway.
pub(crate) fn register_generation(state: &Value, register: &str) -> Option<Generation> {
    state[register]["generation"].as_u64().map(Generation)
}

/// Returns the message that carries one record; the other register is empty.
pub(crate) fn registers_message<T: serde::Serialize>(record: &T, is_zones: bool) -> PeerMessage {
    let text = codec::to_json(record).unwrap_or_default();
    let (configuration, zones) =
        if is_zones { (String::new(), text) } else { (text, String::new()) };
    PeerMessage::Registers { configuration, zones }
}
