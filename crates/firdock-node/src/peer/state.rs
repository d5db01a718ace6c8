//! Transfer of the folded state to an instance that cannot read it from the log.

use firdock_state::State;
use firdock_wire::Body;
use firdock_wire::message::{StatePart, StateRequest};
use tokio::time::timeout;

use super::dial::Dialer;
use super::link::{Link, LinkError};
use super::{HANDSHAKE_TIME, MAX_FRAME_BYTES};

/// Size of the state's parts, each sent in one frame.
const PART_BYTES: usize = 1 << 20;
/// Maximum size of a received state.
const MAX_STATE_BYTES: usize = 4 * MAX_FRAME_BYTES;

/// Sends the state in parts.
pub(super) async fn send_state(link: &mut Link, state: &State) -> Result<(), LinkError> {
    let json = serde_json::to_vec(state).unwrap_or_default();
    let count = json.len().div_ceil(PART_BYTES);
    for (i, part) in json.chunks(PART_BYTES).enumerate() {
        let last = i + 1 == count;
        link.send(Body::StatePart(StatePart {
            json: part.to_vec(),
            last,
        }))
        .await?;
    }
    Ok(())
}

/// Queries the peers one after another and returns the newest of the first two states received.
pub async fn fetch_state(dialer: &Dialer) -> Option<State> {
    const ENOUGH: usize = 2;
    let mut states = Vec::new();
    for (name, address) in dialer.peers() {
        let asking = ask_one(dialer, &name, address);
        if let Ok(Some(state)) = timeout(4 * HANDSHAKE_TIME, asking).await {
            states.push(state);
        }
        if states.len() >= ENOUGH {
            break;
        }
    }
    states.into_iter().max_by_key(|s| s.next)
}

async fn ask_one(dialer: &Dialer, name: &str, address: std::net::SocketAddr) -> Option<State> {
    let mut link = dialer.dial(name, address).await.ok()?;
    link.send(Body::StateRequest(StateRequest {})).await.ok()?;
    let mut json = Vec::new();
    loop {
        let Ok(Some(Body::StatePart(part))) = link.receive().await else {
            return None;
        };
        json.extend_from_slice(&part.json);
        if json.len() > MAX_STATE_BYTES {
            return None;
        }
        if part.last {
            return serde_json::from_slice(&json).ok();
        }
    }
}
