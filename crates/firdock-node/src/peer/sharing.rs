//! Messages by which instances share the content of the platform's store: changes as they are read,
//! and complete snapshots on request.
//!
//! An instance that starts or that missed a change queries a peer before it reads the store. Store
//! calls are rate-limited and billed, and hundreds of instances that start at the same time would
//! all make the same ones (`docs/design/sharing.md`).

use std::io::Read as _;
use std::time::Duration;

use firdock_core::{MAX_OFFSET, ZoneId};
use firdock_policy::Time;
use firdock_policy::event::Member;
use firdock_wire::message::{self, PeerAddress, datagram};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use uuid::Uuid;

use super::datagram::{read_incarnation, read_reads, write_reads};
use super::parts::{MissingParts, StateId};
use super::reads::ReadState;
use super::topic::{Topic, TopicRecords, TopicSnapshot, read_record, write_record};
use crate::clock::millis;

/// Maximum size of compressed changes in a datagram; larger ones are not sent.
const MAX_COMPRESSED_BYTES: usize = 52 << 10;
/// Maximum size of decompressed content accepted from a peer; 1,400 endpoints take about 300 KB.
const MAX_CONTENT_BYTES: u64 = 8 << 20;

/// Identity of the process that sent a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerProcess {
    /// Instance name.
    pub name: String,
    /// Incarnation of the process; its clock values are valid for this incarnation only.
    pub incarnation: Uuid,
}

/// A query to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateQuery {
    /// When the query was sent.
    pub sent_at: Time,
    /// Whether the topics are queried.
    pub topics: bool,
    /// Whether the list of instances is queried.
    pub instances: bool,
    /// Whether the topics are to be included regardless of their size.
    pub any_size: bool,
    /// Missing parts of an earlier reply; `None` to query everything.
    pub missing: Option<MissingParts>,
    /// Availability zone of the querying instance.
    pub zone: ZoneId,
}

impl StateQuery {
    pub(super) fn body(self) -> datagram::Body {
        let missing = self.missing.unwrap_or_default();
        let all = || Topic::ALL.map(|t| i32::from(t.write())).to_vec();
        datagram::Body::StateQuestion(message::StateQuestion {
            asked: millis(self.sent_at),
            topics: if self.topics { all() } else { Vec::new() },
            instances: self.instances,
            whole: self.any_size,
            state_id: missing.state,
            lacking: missing.parts,
            zone: self.zone,
        })
    }

    pub(super) fn read(query: &message::StateQuestion) -> Self {
        Self {
            sent_at: Duration::from_millis(query.asked),
            topics: !query.topics.is_empty(),
            instances: query.instances,
            any_size: query.whole,
            missing: (!query.lacking.is_empty()).then(|| MissingParts {
                state: query.state_id,
                parts: query.lacking.clone(),
            }),
            zone: query.zone.clone(),
        }
    }
}

/// Content of the platform's store as this instance knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreSnapshot {
    /// Snapshots of the topics.
    pub topics: Vec<(Topic, TopicSnapshot)>,
    /// List of instances.
    pub instances: Vec<PeerAddress>,
}

impl StoreSnapshot {
    /// Encodes and compresses the snapshot.
    pub(super) fn compress(self) -> Option<Vec<u8>> {
        let encode_topic = |(topic, snapshot): (Topic, TopicSnapshot)| message::TopicImage {
            topic: topic.write().into(),
            next: snapshot.next(),
            entries: snapshot.records().map(write_record).collect(),
        };
        compress(&message::KnownState {
            topics: self.topics.into_iter().map(encode_topic).collect(),
            instances: self.instances,
        })
    }
}

/// A peer's reply. Times are by the peer's clock unless stated otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct StateReply {
    /// Process that sent it.
    pub sender: PeerProcess,
    /// When the query was sent, by this instance's clock.
    pub query_sent_at: Time,
    /// The peer's clock at the time of the reply.
    pub clock: Time,
    /// Read state of the store at the peer.
    pub reads: ReadState,
    /// Topics, each complete.
    pub topics: Vec<TopicRecords>,
    /// List of instances.
    pub instances: Vec<PeerAddress>,
    /// Whether the topics are left out because they are too large.
    pub topics_omitted: bool,
    /// Number of instances of the site; 0 if unknown.
    pub site_size: usize,
}

impl StateReply {
    /// Decodes a reply; `None` if it is malformed.
    pub(super) fn read(reply: message::StateAnswer) -> Option<Self> {
        let reads = read_reads(reply.reads?);
        let state: message::KnownState = decompress(&reply.state)?;
        if state.topics.iter().any(|topic| topic.next > MAX_OFFSET) {
            return None;
        }
        let read_topic = |snapshot: message::TopicImage| {
            let topic = Topic::read(snapshot.topic)?;
            let read_at = match topic {
                Topic::Config => reads.config_at,
                Topic::Endpoints => reads.endpoints_at,
            };
            Some(TopicRecords {
                topic,
                from: None,
                next: snapshot.next,
                proved: true,
                read_at,
                records: snapshot.entries.into_iter().map(read_record).collect(),
            })
        };
        Some(Self {
            sender: PeerProcess {
                name: reply.instance,
                incarnation: read_incarnation(&reply.incarnation),
            },
            query_sent_at: Duration::from_millis(reply.asked),
            clock: Duration::from_millis(reply.clock),
            reads,
            topics: state.topics.into_iter().filter_map(read_topic).collect(),
            instances: state.instances,
            topics_omitted: reply.large,
            site_size: reply.known as usize,
        })
    }
}

/// A part of a reply, which may be all of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReplyPart {
    /// Read state of the store at the time of the reply.
    pub reads: ReadState,
    /// ID of the state, index of the part and number of parts.
    pub state: StateId,
    pub part: u32,
    pub parts: u32,
    /// Content of the part.
    pub bytes: Vec<u8>,
    /// Whether the topics are left out because they are too large.
    pub topics_omitted: bool,
    /// Number of instances of the site.
    pub site_size: usize,
}

/// Encodes a part of the reply to the query sent at `query_sent_at`.
pub(super) fn reply_body(
    member: &Member,
    query_sent_at: Time,
    clock: Time,
    part: ReplyPart,
) -> datagram::Body {
    datagram::Body::StateAnswer(message::StateAnswer {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        asked: millis(query_sent_at),
        clock: millis(clock),
        reads: Some(write_reads(part.reads)),
        state: part.bytes,
        large: part.topics_omitted,
        state_id: part.state,
        part: part.part,
        parts: part.parts,
        known: part.site_size as u32,
        queued: false,
    })
}

/// Encodes the notice that a reply is delayed by the queue.
pub(super) fn delay_notice_body(member: &Member) -> datagram::Body {
    datagram::Body::StateAnswer(message::StateAnswer {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        queued: true,
        ..message::StateAnswer::default()
    })
}

/// Encodes changes read by `member`; `None` if they exceed a datagram or are a complete snapshot.
pub(super) fn records_body(member: &Member, changes: &TopicRecords) -> Option<datagram::Body> {
    let from = changes.from?;
    let entries = changes.records.iter().cloned().map(write_record).collect();
    Some(datagram::Body::TopicRecords(message::TopicRecords {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        topic: changes.topic.write().into(),
        from,
        next: changes.next,
        read_at: millis(changes.read_at),
        entries: compress(&message::Entries { entries })
            .filter(|compressed| compressed.len() <= MAX_COMPRESSED_BYTES)?,
    }))
}

/// Decodes a peer's changes, with times by its clock; `None` if they are malformed.
pub(super) fn read_records(message: &message::TopicRecords) -> Option<TopicRecords> {
    let entries: message::Entries = decompress(&message.entries)?;
    if message.from > message.next || message.next > MAX_OFFSET {
        return None;
    }
    Some(TopicRecords {
        topic: Topic::read(message.topic)?,
        from: Some(message.from),
        next: message.next,
        proved: true,
        read_at: Duration::from_millis(message.read_at),
        records: entries.entries.into_iter().map(read_record).collect(),
    })
}

fn compress(content: &impl prost::Message) -> Option<Vec<u8>> {
    let plain = content.encode_to_vec();
    let mut compressed = Vec::new();
    let mut encoder = DeflateEncoder::new(plain.as_slice(), Compression::fast());
    // Reading from memory does not fail.
    encoder.read_to_end(&mut compressed).ok()?;
    Some(compressed)
}

fn decompress<M: prost::Message + Default>(compressed: &[u8]) -> Option<M> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_CONTENT_BYTES);
    decoder.read_to_end(&mut plain).ok()?;
    M::decode(plain.as_slice()).ok()
}
