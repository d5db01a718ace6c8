//! Transfer of idempotency keys to their new owner.

use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::event::{KeyTransfer, KnownTransfer};
use firdock_wire::Body;
use firdock_wire::message;
use tokio::time::timeout;
use uuid::Uuid;

use super::dial::Dialer;
use crate::backoff::Backoff;

/// Number of attempts before a transfer is given up. The new owner then treats the keys as
/// uncertain for a while.
const MAX_ATTEMPTS: u32 = 8;
/// Minimum and maximum delay between attempts.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Time for the receiver to accept the keys.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Transfers keys to a member and returns whether it accepted them.
pub async fn transfer_keys(dialer: Dialer, peer: InstanceId, transfer: KeyTransfer) -> bool {
    let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
    for _ in 0..MAX_ATTEMPTS {
        if send_once(&dialer, &peer, &transfer).await.is_some() {
            return true;
        }
        tokio::time::sleep(backoff.next_pause()).await;
    }
    false
}

async fn send_once(dialer: &Dialer, peer: &str, transfer: &KeyTransfer) -> Option<()> {
    let mut link = dialer.dial(peer, dialer.address(peer)?).await.ok()?;
    link.send(Body::KeyTransfer(write_transfer(transfer)))
        .await
        .ok()?;
    // A close alone accepts nothing: a receiver that cuts the sender off closes the connection too.
    let reply = timeout(ACCEPT_TIMEOUT, link.receive()).await.ok()?;
    matches!(reply, Ok(Some(Body::KeysAccepted(_)))).then_some(())
}

fn write_transfer(transfer: &KeyTransfer) -> message::KeyTransfer {
    let known = transfer.known.iter().map(|h| message::KnownTransfer {
        from: h.from.as_bytes().to_vec(),
        to: h.to.as_bytes().to_vec(),
        view: h.view,
    });
    message::KeyTransfer {
        incarnation: transfer.incarnation.as_bytes().to_vec(),
        view: transfer.view,
        keys: transfer.keys.clone(),
        known: known.collect(),
    }
}

/// Decodes a transfer; `None` if it is malformed.
pub(super) fn read_transfer(transfer: message::KeyTransfer) -> Option<KeyTransfer> {
    let known = |h: &message::KnownTransfer| {
        let from = Uuid::from_slice(&h.from).ok()?;
        let to = Uuid::from_slice(&h.to).ok()?;
        Some(KnownTransfer {
            from,
            to,
            view: h.view,
        })
    };
    Some(KeyTransfer {
        incarnation: Uuid::from_slice(&transfer.incarnation).ok()?,
        view: transfer.view,
        keys: transfer.keys,
        known: transfer.known.iter().map(known).collect::<Option<_>>()?,
    })
}
