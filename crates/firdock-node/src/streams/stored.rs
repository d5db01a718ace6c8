//! Records of streams in the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::StartId;
use firdock_policy::Time;
use firdock_policy::request::{Build, StreamStart};
use firdock_wire::message;
use prost::Message as _;
use snafu::Snafu;

use super::{KEY_BYTES, RecordedOrigin, StreamKey, StreamRecord};
use crate::clock::millis;
use crate::placement::{read_build, write_build};

/// The bytes are no record of streams.
#[derive(Debug, Snafu)]
#[snafu(display("not a record of streams"))]
pub struct InvalidRecord;

/// Where a stream began, with times on the platform's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StoredOrigin {
    /// At this build.
    Build(Build),
    /// At this start of an endpoint. Whether its process served then is for the reader to find out: it may know more by
    /// then than the writer did, who may have taken the word of an entry that was out of date.
    Start {
        build: Build,
        start: StartId,
        /// Unix time at which the request was sent.
        sent: Duration,
    },
}

/// Streams that are recorded together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredStreams {
    /// Unix time of the record.
    written: Duration,
    streams: Vec<(StreamKey, StoredOrigin)>,
}

impl StoredStreams {
    /// Creates a record at the time `now` of a clock whose zero is at the Unix time `unix_zero`.
    #[must_use]
    pub fn new(unix_zero: Duration, now: Time, records: Vec<StreamRecord>) -> Self {
        let streams = records.into_iter();
        let streams = streams.map(|r| (r.key, StoredOrigin::new(unix_zero, &r.origin)));
        Self {
            written: unix_zero + now,
            streams: streams.collect(),
        }
    }

    /// Returns the streams, which began at the time of the record or before it. The zero of their clock is at the Unix
    /// time `unix_zero`.
    #[must_use]
    pub fn into_records(self, unix_zero: Duration) -> Vec<StreamRecord> {
        let began: Time = self.written.saturating_sub(unix_zero);
        let record = |(key, origin): (StreamKey, StoredOrigin)| StreamRecord {
            key,
            origin: origin.into_recorded(unix_zero),
            began,
        };
        self.streams.into_iter().map(record).collect()
    }

    /// Encodes the record, with each build and each start once.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut by_build: BTreeMap<&Build, Vec<u8>> = BTreeMap::new();
        let mut by_start: BTreeMap<(&StartId, &Build), message::StartStreams> = BTreeMap::new();
        for (key, origin) in &self.streams {
            match origin {
                StoredOrigin::Build(build) => {
                    by_build.entry(build).or_default().extend(key.as_bytes());
                }
                StoredOrigin::Start { build, start, sent } => {
                    let group = by_start.entry((start, build)).or_default();
                    group.streams.extend(key.as_bytes());
                    group.sent_unix_millis.push(millis(*sent));
                }
            }
        }
        let builds = by_build
            .into_iter()
            .map(|(build, streams)| message::BuildStreams {
                build: Some(write_build(build)),
                streams,
            });
        let starts = by_start
            .into_iter()
            .map(|((start, build), group)| message::StartStreams {
                build: Some(write_build(build)),
                start: start.clone(),
                ..group
            });
        let record = message::StoredStreams {
            unix_millis: millis(self.written),
            builds: builds.collect(),
            starts: starts.collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no such record, or a stream in it has no build or no time.
    pub fn decode(bytes: &[u8]) -> Result<Self, InvalidRecord> {
        let record = message::StoredStreams::decode(bytes).map_err(|_malformed| InvalidRecord)?;
        let mut streams = Vec::new();
        for group in record.builds {
            let build = group.build.map(read_build).ok_or(InvalidRecord)?;
            for key in read_keys(&group.streams)? {
                streams.push((key, StoredOrigin::Build(build.clone())));
            }
        }
        for group in record.starts {
            streams.extend(read_start(group)?);
        }
        let written = Duration::from_millis(record.unix_millis);
        Ok(Self { written, streams })
    }
}

impl StoredOrigin {
    fn new(unix_zero: Duration, origin: &RecordedOrigin) -> Self {
        match origin {
            RecordedOrigin::Build(build) => Self::Build(build.clone()),
            RecordedOrigin::Start(stream) => Self::Start {
                build: stream.build.clone(),
                start: stream.start.clone(),
                sent: unix_zero + stream.sent,
            },
        }
    }

    fn into_recorded(self, unix_zero: Duration) -> RecordedOrigin {
        match self {
            Self::Build(build) => RecordedOrigin::Build(build),
            Self::Start { build, start, sent } => RecordedOrigin::Start(Arc::new(StreamStart {
                build,
                start,
                sent: sent.saturating_sub(unix_zero),
                unconfirmed: true,
            })),
        }
    }
}

fn read_keys(bytes: &[u8]) -> Result<Vec<StreamKey>, InvalidRecord> {
    let keys = bytes.chunks(KEY_BYTES).map(StreamKey::from_bytes);
    keys.collect::<Option<_>>().ok_or(InvalidRecord)
}

/// Decodes the streams of one start. Each has a time at which it was sent.
fn read_start(
    group: message::StartStreams,
) -> Result<Vec<(StreamKey, StoredOrigin)>, InvalidRecord> {
    let build = group.build.map(read_build).ok_or(InvalidRecord)?;
    let keys = read_keys(&group.streams)?;
    if group.start.is_empty() || keys.len() != group.sent_unix_millis.len() {
        return Err(InvalidRecord);
    }
    let sent = group.sent_unix_millis.into_iter();
    let origin = |sent| StoredOrigin::Start {
        build: build.clone(),
        start: group.start.clone(),
        sent: Duration::from_millis(sent),
    };
    Ok(keys.into_iter().zip(sent.map(origin)).collect())
}
