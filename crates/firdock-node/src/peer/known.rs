//! What instances tell each other of the platform's store: changes as they are read, and the whole to
//! one that asks.
//!
//! An instance that starts, or that missed a change, asks a peer before it asks the store: calls there
//! are bounded and paid for, and hundreds of instances that start at one moment would all make the
//! same ones (`docs/design/sharing.md`).

use std::io::Read as _;
use std::time::Duration;

use firdock_core::ZoneId;
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

/// Bytes of deflated changes beyond which they are not told: a datagram holds no more.
const MAX_DEFLATED_BYTES: usize = 52 << 10;
/// Bytes of content that are taken from a peer at most; 1,400 endpoints are some 300 KB.
const MAX_CONTENT_BYTES: u64 = 8 << 20;

/// A peer's word: who told it, and by which start of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerProcess {
    /// Instance.
    pub name: String,
    /// Start of it, which its clock belongs to.
    pub incarnation: Uuid,
}

/// What an instance asks a peer for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateQuery {
    /// When it is asked.
    pub asked: Time,
    /// Whether the topics are asked for.
    pub topics: bool,
    /// Whether the other instances are asked for.
    pub instances: bool,
    /// Whether the topics are asked for however long they are.
    pub whole: bool,
    /// Parts of an earlier answer that did not come; `None` where all is asked for.
    pub missing: Option<MissingParts>,
    /// Availability zone of who asks.
    pub zone: ZoneId,
}

impl StateQuery {
    pub(super) fn body(self) -> datagram::Body {
        let missing = self.missing.unwrap_or_default();
        let all = || Topic::ALL.map(|t| i32::from(t.write())).to_vec();
        datagram::Body::StateQuestion(message::StateQuestion {
            asked: millis(self.asked),
            topics: if self.topics { all() } else { Vec::new() },
            instances: self.instances,
            whole: self.whole,
            state_id: missing.state,
            lacking: missing.parts,
            zone: self.zone,
        })
    }

    pub(super) fn read(told: &message::StateQuestion) -> Self {
        Self {
            asked: Duration::from_millis(told.asked),
            topics: !told.topics.is_empty(),
            instances: told.instances,
            whole: told.whole,
            missing: (!told.lacking.is_empty()).then(|| MissingParts {
                state: told.state_id,
                parts: told.lacking.clone(),
            }),
            zone: told.zone.clone(),
        }
    }
}

/// What an instance knows of the platform's store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KnownState {
    /// Topics, each whole.
    pub topics: Vec<(Topic, TopicSnapshot)>,
    /// Instances.
    pub instances: Vec<PeerAddress>,
}

impl KnownState {
    /// Deflates it.
    pub(super) fn deflate(self) -> Option<Vec<u8>> {
        let image = |(topic, image): (Topic, TopicSnapshot)| message::TopicImage {
            topic: topic.write().into(),
            next: image.next(),
            entries: image.records().map(write_record).collect(),
        };
        deflate(&message::KnownState {
            topics: self.topics.into_iter().map(image).collect(),
            instances: self.instances,
        })
    }
}

/// A peer's answer; times are by its clock.
#[derive(Debug, Clone, PartialEq)]
pub struct StateReply {
    /// Who told it.
    pub teller: PeerProcess,
    /// When this instance had asked, by its own clock.
    pub asked: Time,
    /// The peer's clock when it answered.
    pub clock: Time,
    /// When what it knows was the newest.
    pub reads: ReadState,
    /// Topics, each whole.
    pub topics: Vec<TopicRecords>,
    /// Instances.
    pub instances: Vec<PeerAddress>,
    /// Whether the topics are left out for their length.
    pub large: bool,
    /// How many instances there are; 0 where they were not counted.
    pub known: usize,
}

impl StateReply {
    /// Reads an answer; `None` for a malformed one.
    pub(super) fn read(told: message::StateAnswer) -> Option<Self> {
        let reads = read_reads(told.reads?);
        let state: message::KnownState = inflate(&told.state)?;
        let whole = |image: message::TopicImage| {
            let topic = Topic::read(image.topic)?;
            let read_at = match topic {
                Topic::Config => reads.config_at,
                Topic::Endpoints => reads.endpoints_at,
            };
            Some(TopicRecords {
                topic,
                from: None,
                next: image.next,
                read_at,
                records: image.entries.into_iter().map(read_record).collect(),
            })
        };
        Some(Self {
            teller: PeerProcess {
                name: told.instance,
                incarnation: read_incarnation(&told.incarnation),
            },
            asked: Duration::from_millis(told.asked),
            clock: Duration::from_millis(told.clock),
            reads,
            topics: state.topics.into_iter().filter_map(whole).collect(),
            instances: state.instances,
            large: told.large,
            known: told.known as usize,
        })
    }
}

/// One part of what an answer tells, or the whole of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ToldPart {
    /// When what is told was the newest.
    pub reads: ReadState,
    /// Number of the state, of the part, and of all parts.
    pub state: StateId,
    pub part: u32,
    pub parts: u32,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
    /// Whether the topics are left out for their length.
    pub large: bool,
    /// How many instances there are.
    pub known: usize,
}

/// Writes the answer to a question that was asked at `asked`, or a part of it.
pub(super) fn answer_body(
    member: &Member,
    asked: Time,
    clock: Time,
    told: ToldPart,
) -> datagram::Body {
    datagram::Body::StateAnswer(message::StateAnswer {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        asked: millis(asked),
        clock: millis(clock),
        reads: Some(write_reads(told.reads)),
        state: told.bytes,
        large: told.large,
        state_id: told.state,
        part: told.part,
        parts: told.parts,
        known: told.known as u32,
        queued: false,
    })
}

/// Writes the word to one that asks that many asked before.
pub(super) fn queued_body(member: &Member) -> datagram::Body {
    datagram::Body::StateAnswer(message::StateAnswer {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        queued: true,
        ..message::StateAnswer::default()
    })
}

/// Writes changes as the word of `member`; `None` if they are too long for a datagram, or the whole.
pub(super) fn records_body(member: &Member, told: &TopicRecords) -> Option<datagram::Body> {
    let from = told.from?;
    let entries = told.records.iter().cloned().map(write_record).collect();
    Some(datagram::Body::TopicRecords(message::TopicRecords {
        instance: member.name.clone(),
        incarnation: member.incarnation.as_bytes().to_vec(),
        topic: told.topic.write().into(),
        from,
        next: told.next,
        read_at: millis(told.read_at),
        entries: deflate(&message::Entries { entries })
            .filter(|deflated| deflated.len() <= MAX_DEFLATED_BYTES)?,
    }))
}

/// Reads a peer's word of changes, with times by its clock; `None` for a malformed one.
pub(super) fn read_records(told: message::TopicRecords) -> Option<(PeerProcess, TopicRecords)> {
    let entries: message::Entries = inflate(&told.entries)?;
    let records = TopicRecords {
        topic: Topic::read(told.topic)?,
        from: Some(told.from),
        next: told.next,
        read_at: Duration::from_millis(told.read_at),
        records: entries.entries.into_iter().map(read_record).collect(),
    };
    let teller = PeerProcess {
        name: told.instance,
        incarnation: read_incarnation(&told.incarnation),
    };
    Some((teller, records))
}

fn deflate(content: &impl prost::Message) -> Option<Vec<u8>> {
    let plain = content.encode_to_vec();
    let mut deflated = Vec::new();
    let mut encoder = DeflateEncoder::new(plain.as_slice(), Compression::fast());
    // Reading from memory into memory fails in no other way than by running out of it.
    encoder.read_to_end(&mut deflated).ok()?;
    Some(deflated)
}

fn inflate<M: prost::Message + Default>(deflated: &[u8]) -> Option<M> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MAX_CONTENT_BYTES);
    decoder.read_to_end(&mut plain).ok()?;
    M::decode(plain.as_slice()).ok()
}
