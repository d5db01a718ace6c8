//! A member's word on keys that moved, sent to their new owner.

use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::event::{HeardWord, KeysMoved};
use firdock_wire::Body;
use firdock_wire::message;
use uuid::Uuid;

use super::dial::Dialer;
use crate::backoff::Backoff;

/// Tries to give a word before it is given up; the new owner then doubts the keys for a while.
const TRIES: u32 = 8;
/// Pauses between tries.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Gives a member this one's word; tells whether it was sent.
pub async fn give_word(dialer: Dialer, peer: InstanceId, word: KeysMoved) -> bool {
    let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
    for _ in 0..TRIES {
        if send_once(&dialer, &peer, &word).await.is_some() {
            return true;
        }
        tokio::time::sleep(backoff.next_pause()).await;
    }
    false
}

async fn send_once(dialer: &Dialer, peer: &str, word: &KeysMoved) -> Option<()> {
    let mut link = dialer.dial(peer, dialer.address(peer)?).await.ok()?;
    link.send(Body::KeysMoved(write_word(word))).await.ok()?;
    // The receiver closes the link once it has taken the word.
    link.receive()
        .await
        .ok()
        .filter(Option::is_none)
        .map(|_| ())
}

fn write_word(word: &KeysMoved) -> message::KeysMoved {
    let heard = word.heard.iter().map(|h| message::HeardWord {
        from: h.from.as_bytes().to_vec(),
        to: h.to.as_bytes().to_vec(),
        view: h.view,
    });
    message::KeysMoved {
        incarnation: word.incarnation.as_bytes().to_vec(),
        view: word.view,
        keys: word.keys.clone(),
        heard: heard.collect(),
    }
}

/// Reads a word; `None` for a malformed one.
pub(super) fn read_word(word: message::KeysMoved) -> Option<KeysMoved> {
    let heard = |h: &message::HeardWord| {
        let from = Uuid::from_slice(&h.from).ok()?;
        let to = Uuid::from_slice(&h.to).ok()?;
        Some(HeardWord {
            from,
            to,
            view: h.view,
        })
    };
    Some(KeysMoved {
        incarnation: Uuid::from_slice(&word.incarnation).ok()?,
        view: word.view,
        keys: word.keys,
        heard: word.heard.iter().map(heard).collect::<Option<_>>()?,
    })
}
