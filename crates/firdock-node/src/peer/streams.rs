//! Messages on streams that callers may continue: records for replicas, and queries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::request::StreamStart;
use firdock_wire::message::{self, datagram};

use super::beacon::BeaconService;
use super::datagram::seal;
use super::directory::PeerRecord;
use crate::clock::millis;
use crate::placement::{read_build, write_build};
use crate::streams::{RecordedOrigin, StreamKey, StreamRecord, replicas};

/// Maximum number of streams in a datagram; each takes about 60 bytes.
const MAX_RECORDS: usize = 500;

fn write_records(now: Time, records: &[&StreamRecord]) -> datagram::Body {
    let records = records.iter().map(|record| write_record(now, record));
    let records = records.collect();
    datagram::Body::StreamRecords(message::StreamRecords { records })
}

fn write_record(now: Time, record: &StreamRecord) -> message::StreamRecord {
    let written = message::StreamRecord {
        stream: record.key.as_bytes().to_vec(),
        build: Some(write_build(record.origin.build())),
        age_millis: millis(now.saturating_sub(record.began)),
        ..message::StreamRecord::default()
    };
    match &record.origin {
        RecordedOrigin::Build(_) => written,
        RecordedOrigin::Start(stream) => message::StreamRecord {
            start: stream.start.clone(),
            sent_age_millis: millis(now.saturating_sub(stream.sent)),
            unconfirmed: stream.unconfirmed,
            ..written
        },
    }
}

/// Decodes where a stream began; `None` without a build.
fn read_origin(now: Time, record: &mut message::StreamRecord) -> Option<RecordedOrigin> {
    let build = read_build(record.build.take()?);
    if record.start.is_empty() {
        return Some(RecordedOrigin::Build(build));
    }
    Some(RecordedOrigin::Start(Arc::new(StreamStart {
        build,
        start: std::mem::take(&mut record.start),
        sent: now.saturating_sub(Duration::from_millis(record.sent_age_millis)),
        unconfirmed: record.unconfirmed,
    })))
}

/// Decodes streams; those without a valid key or a build are left out.
pub(super) fn read_stream_records(now: Time, wire: message::StreamRecords) -> Vec<StreamRecord> {
    let read = |mut record: message::StreamRecord| {
        Some(StreamRecord {
            key: StreamKey::from_bytes(&record.stream)?,
            origin: read_origin(now, &mut record)?,
            began: now.saturating_sub(Duration::from_millis(record.age_millis)),
        })
    };
    let records = wire.records.into_iter().take(MAX_RECORDS);
    records.filter_map(read).collect()
}

impl BeaconService {
    /// Sends the records that are due to their replicas and to the group's lead, which records them in the platform's
    /// store, and queries to the replicas of unknown streams.
    pub(super) async fn send_stream_messages(&self) {
        let now = self.clock.now();
        let pending = self.streams.take_pending(now);
        if pending.is_empty() {
            return;
        }
        let peers = self.directory.live_peers(now);
        let by_name: BTreeMap<&str, &PeerRecord> =
            peers.iter().map(|peer| (&*peer.name, peer)).collect();
        let replicas = |key| replicas(key, by_name.keys().copied());
        let lead = self.directory.first_of_group(now, |_| true);
        let lead = lead.filter(|(_, precedes)| *precedes);
        let lead = lead.as_ref().map(|(peer, _)| &*peer.name);
        let mut by_receiver: BTreeMap<&str, Vec<&StreamRecord>> = BTreeMap::new();
        for record in &pending.records {
            let receivers: BTreeSet<&str> = replicas(record.key).into_iter().chain(lead).collect();
            for receiver in receivers {
                by_receiver.entry(receiver).or_default().push(record);
            }
        }
        for (name, records) in by_receiver {
            for part in records.chunks(MAX_RECORDS) {
                let sealed = seal(&self.key, write_records(now, part));
                if let Some(peer) = by_name.get(name) {
                    self.send_to(&sealed, name, peer.address).await;
                }
            }
        }
        for key in pending.queries {
            let stream = key.as_bytes().to_vec();
            let query = datagram::Body::StreamQuery(message::StreamQuery { stream });
            let sealed = seal(&self.key, query);
            for name in replicas(key) {
                self.send_to(&sealed, name, by_name[name].address).await;
            }
        }
    }

    /// Returns the reply to a peer's query for a stream, if the stream is known here.
    pub(super) fn answer_stream_query(&self, query: &message::StreamQuery) -> Option<Vec<u8>> {
        let record = self.streams.get(StreamKey::from_bytes(&query.stream)?)?;
        Some(seal(&self.key, write_records(self.clock.now(), &[&record])))
    }
}
