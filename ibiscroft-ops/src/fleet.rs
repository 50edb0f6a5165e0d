//! The live gateways: what they have in force, and handing accepted records over to them.
//!
//! A store that came back with older data must not make an operator's change revert a newer one,
//! so a change begins from the newest state that the store or any gateway has. A store that dies
//! right after it accepted a change must not lose it, so the change is handed to some gateways,
//! which spread it.

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

/// Gateways that an accepted record is handed to; gossip takes it to the others.
const HAND_OVER_TO: usize = 3;

/// The live gateways with what each one answered.
#[derive(Debug)]
pub(crate) struct Fleet {
    client: GatewayClient,
    /// Gateways by name, each with its state or why there is none.
    pub(crate) gateways: Vec<(Gateway, Result<Value, OpsError>)>,
}

impl Fleet {
    /// Asks all live gateways at once, so that a silent one costs a single timeout.
    pub(crate) async fn ask(store: &StoreClient) -> Result<Self, OpsError> {
        let client = GatewayClient::new()?;
        let mut asks = JoinSet::new();
        for gateway in roster_client::gateways(store).await? {
            let client = client.clone();
            asks.spawn(async move {
                let state = client.dump(gateway.address).await;
                (gateway, state)
            });
        }
        let mut gateways = asks.join_all().await;
        gateways.sort_by(|left, right| left.0.instance.cmp(&right.0.instance));
        Ok(Self { client, gateways })
    }

    /// Returns the highest generation of the configuration on any gateway.
    pub(crate) fn configuration_generation(&self) -> Generation {
        let generations = self.states().filter_map(|state| generation(state, "configuration"));
        generations.max().unwrap_or_default()
    }

    /// Returns the newest zone state on any gateway.
    pub(crate) fn zones(&self) -> Option<ZoneStateRecord> {
        let zones = self.states().filter_map(|state| {
            serde_json::from_value::<ZoneStateRecord>(state["zones"].clone()).ok()
        });
        zones.max_by(|left, right| {
            let place = |zones: &ZoneStateRecord| (zones.generation, zones.change_id.clone());
            place(left).cmp(&place(right))
        })
    }

    /// Hands an accepted record to some gateways; returns the ones that took it.
    pub(crate) async fn hand_over(&self, records: &PeerMessage) -> Vec<InstanceName> {
        let mut taken = Vec::new();
        for (gateway, state) in &self.gateways {
            if state.is_err() {
                continue;
            }
            if taken.len() >= HAND_OVER_TO {
                break;
            }
            if self.client.hand_over(gateway.address, records).await.is_ok() {
                taken.push(gateway.instance.clone());
            }
        }
        taken
    }

    fn states(&self) -> impl Iterator<Item = &Value> {
        self.gateways.iter().filter_map(|(_, state)| state.as_ref().ok())
    }
}

/// Returns the generation of a register in a gateway's state.
pub(crate) fn generation(state: &Value, register: &str) -> Option<Generation> {
    state[register]["generation"].as_u64().map(Generation)
}

/// Returns the message that hands over a record; the other register is left out.
pub(crate) fn hand_over_message<T: serde::Serialize>(record: &T, is_zones: bool) -> PeerMessage {
    let text = codec::to_json(record).unwrap_or_default();
    let (configuration, zones) =
        if is_zones { (String::new(), text) } else { (text, String::new()) };
    PeerMessage::Registers { configuration, zones }
}
