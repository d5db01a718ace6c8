//! Records of streams in the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::request::Build;
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

/// Streams that are recorded together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredStreams {
    /// Unix time of the record.
    written: Duration,
    streams: Vec<(StreamKey, Build)>,
}

impl StoredStreams {
    /// Creates a record at the Unix time `written`.
    #[must_use]
    pub fn new(written: Duration, records: Vec<StreamRecord>) -> Self {
        let streams = records.into_iter();
        let streams = streams.map(|r| (r.key, r.origin.build().clone())).collect();
        Self { written, streams }
    }

    /// Returns the streams, which began at the time of the record or before it. The zero of their clock is at the Unix
    /// time `unix_zero`.
    #[must_use]
    pub fn into_records(self, unix_zero: Duration) -> Vec<StreamRecord> {
        let began: Time = self.written.saturating_sub(unix_zero);
        let record = |(key, build)| StreamRecord {
            key,
            origin: RecordedOrigin::Build(build),
            began,
        };
        self.streams.into_iter().map(record).collect()
    }

    /// Encodes the record, with each build once.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut by_build: BTreeMap<&Build, Vec<u8>> = BTreeMap::new();
        for (key, build) in &self.streams {
            by_build.entry(build).or_default().extend(key.as_bytes());
        }
        let builds = by_build
            .into_iter()
            .map(|(build, streams)| message::BuildStreams {
                build: Some(write_build(build)),
                streams,
            });
        let record = message::StoredStreams {
            unix_millis: millis(self.written),
            builds: builds.collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no such record, or a stream in it has no build.
    pub fn decode(bytes: &[u8]) -> Result<Self, InvalidRecord> {
        let record = message::StoredStreams::decode(bytes).map_err(|_malformed| InvalidRecord)?;
        let mut streams = Vec::new();
        for group in record.builds {
            let build = group.build.map(read_build).ok_or(InvalidRecord)?;
            let keys = group.streams.chunks(KEY_BYTES);
            for key in keys {
                let key = StreamKey::from_bytes(key).ok_or(InvalidRecord)?;
                streams.push((key, build.clone()));
            }
        }
        let written = Duration::from_millis(record.unix_millis);
        Ok(Self { written, streams })
    }
}
