//! Encoding of suspect requests, during which endpoints exited, in heartbeats.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId};
use firdock_policy::suspect::{ReportedExit, SuspectReport};
use firdock_wire::message;
use prost::Message as _;

use crate::clock::millis;

/// Maximum number of suspect requests in a heartbeat; each takes about 200 bytes.
pub const MAX_SUSPECTS: usize = 128;
/// Maximum size of all of them. A heartbeat that exceeds a datagram is not sent at all, and its
/// sender would be considered silent.
const MAX_BYTES: usize = 20 << 10;
/// Maximum number of exits accepted for a suspect request.
const MAX_ENDS: usize = 16;

/// Encodes as many suspect requests as fit. Their ages were taken `age` ago.
pub fn write_suspects(told: &[SuspectReport], age: Duration) -> Vec<message::Suspect> {
    let mut room = MAX_BYTES;
    let told = told.iter().take(MAX_SUSPECTS);
    let written = told.map(|s| write_suspect(s, age));
    written
        .take_while(|suspect| {
            let fits = suspect.encoded_len() <= room;
            room = room.saturating_sub(suspect.encoded_len());
            fits
        })
        .collect()
}

fn write_suspect(told: &SuspectReport, age: Duration) -> message::Suspect {
    message::Suspect {
        content: told.content.id.as_bytes().to_vec(),
        path: told.content.path.to_string(),
        account: told.account.clone(),
        service: told.service.clone(),
        ends: told.exits.iter().map(|e| write_end(e, age)).collect(),
    }
}

/// Decodes suspect requests; those without a valid identity are left out.
pub fn read_suspects(told: Vec<message::Suspect>) -> Vec<SuspectReport> {
    let told = told.into_iter().take(MAX_SUSPECTS);
    told.filter_map(|s| {
        let id = ContentId::from_bytes(&s.content)?;
        let path = s.path.into();
        Some(SuspectReport {
            content: Arc::new(Content { id, path }),
            account: s.account,
            service: s.service,
            exits: s.ends.into_iter().take(MAX_ENDS).map(read_end).collect(),
        })
    })
    .collect()
}

fn write_end(end: &ReportedExit, age: Duration) -> message::SuspectEnd {
    message::SuspectEnd {
        start: end.start.clone(),
        sent_ago: millis(end.sent_ago + age),
        ended_ago: millis(end.ended_ago + age),
        void: end.void,
    }
}

fn read_end(end: message::SuspectEnd) -> ReportedExit {
    ReportedExit {
        start: end.start,
        sent_ago: Duration::from_millis(end.sent_ago),
        ended_ago: Duration::from_millis(end.ended_ago),
        void: end.void,
    }
}
