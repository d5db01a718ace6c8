//! Encoding of suspect requests, during which endpoints exited, in heartbeats.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId};
use firdock_policy::suspect::{ReportedExit, SuspectKind, SuspectReport};
use firdock_wire::message;
use prost::Message as _;

use crate::clock::millis;

/// Maximum number of suspect requests in a heartbeat; each takes about 200 bytes.
pub const MAX_SUSPECTS: usize = 128;
/// Maximum size of all of them. A heartbeat that exceeds a datagram is not sent at all, and its
/// sender would be considered silent.
const MAX_BYTES: usize = 20 << 10;
/// Maximum number of exits accepted for a suspect request.
const MAX_EXITS: usize = 16;

/// Encodes as many suspect requests as fit. Their ages were taken `age` ago.
pub fn write_suspects(reports: &[SuspectReport], age: Duration) -> Vec<message::Suspect> {
    let mut capacity = MAX_BYTES;
    let reports = reports.iter().take(MAX_SUSPECTS);
    let written = reports.map(|s| write_suspect(s, age));
    written
        .take_while(|suspect| {
            let fits = suspect.encoded_len() <= capacity;
            capacity = capacity.saturating_sub(suspect.encoded_len());
            fits
        })
        .collect()
}

fn write_suspect(report: &SuspectReport, age: Duration) -> message::Suspect {
    let (segment, answers, position) = match report.kind {
        SuspectKind::Request => (false, 0, 0),
        SuspectKind::Segment { answers, position } => (true, answers, position),
    };
    message::Suspect {
        content: report.content.id.as_bytes().to_vec(),
        path: report.content.path.to_string(),
        account: report.account.clone(),
        service: report.service.clone(),
        ends: report.exits.iter().map(|e| write_exit(e, age)).collect(),
        segment,
        answers,
        position,
    }
}

/// Decodes suspect requests; those without a valid identity are left out.
pub fn read_suspects(reports: Vec<message::Suspect>) -> Vec<SuspectReport> {
    let reports = reports.into_iter().take(MAX_SUSPECTS);
    reports
        .filter_map(|s| {
            let id = ContentId::from_bytes(&s.content)?;
            let path = s.path.into();
            let kind = if s.segment {
                SuspectKind::Segment {
                    answers: s.answers,
                    position: s.position,
                }
            } else {
                SuspectKind::Request
            };
            Some(SuspectReport {
                kind,
                content: Arc::new(Content { id, path }),
                account: s.account,
                service: s.service,
                exits: s.ends.into_iter().take(MAX_EXITS).map(read_exit).collect(),
            })
        })
        .collect()
}

fn write_exit(exit: &ReportedExit, age: Duration) -> message::SuspectEnd {
    message::SuspectEnd {
        start: exit.start.clone(),
        sent_ago: millis(exit.sent_ago + age),
        ended_ago: millis(exit.ended_ago + age),
        void: exit.void,
    }
}

fn read_exit(exit: message::SuspectEnd) -> ReportedExit {
    ReportedExit {
        start: exit.start,
        sent_ago: Duration::from_millis(exit.sent_ago),
        ended_ago: Duration::from_millis(exit.ended_ago),
        void: exit.void,
    }
}
