//! The table of streams that callers may continue, and the peers that keep them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use firdock_node::streams::{
    RecordedOrigin, StoredStreams, StreamKey, StreamRecord, StreamSource, Streams, replicas,
};
use firdock_policy::Time;
use firdock_policy::request::{Build, StreamStart};

fn seconds(n: u64) -> Time {
    Duration::from_secs(n)
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::new("shop", attempt).expect("a key")
}

fn record(attempt: &str, version: &str, began: Time) -> StreamRecord {
    StreamRecord {
        key: key(attempt),
        origin: RecordedOrigin::Build(Build {
            pool: "pool".to_owned(),
            version: version.to_owned(),
        }),
        began,
    }
}

/// A stream at a start of an endpoint that was not confirmed.
fn started(attempt: &str, began: Time) -> StreamRecord {
    let recorded = record(attempt, "v1", began);
    let stream = StreamStart {
        build: recorded.origin.build().clone(),
        start: "i-1@1000".to_owned(),
        sent: began.saturating_sub(Duration::from_millis(20)),
        unconfirmed: true,
    };
    StreamRecord {
        origin: RecordedOrigin::Start(Arc::new(stream)),
        ..recorded
    }
}

/// Guards against an account that names the stream of another.
#[test]
fn the_key_of_a_stream_belongs_to_its_account() {
    assert_ne!(StreamKey::new("shop", "id"), StreamKey::new("other", "id"));
    assert_ne!(StreamKey::new("shop", "1id"), StreamKey::new("shop1", "id"));
    assert_eq!(StreamKey::new("shop", ""), None);
    assert_eq!(StreamKey::new("shop", &"x".repeat(129)), None);
}

/// Guards against streams that are lost with their instance, or a tenth of them with six in ten instances.
#[test]
fn a_stream_is_kept_by_peers_that_anyone_can_work_out() {
    let names: Vec<String> = (0..295).map(|n| format!("front-{n}")).collect();
    let all: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    let seven: BTreeSet<&str> = all.iter().take(7).copied().collect();
    let mut lost = 0;
    let mut kept_by: BTreeSet<&str> = BTreeSet::new();
    for n in 0..1_000 {
        let key = key(&format!("id-{n}"));
        let all_replicas = replicas(key, all.iter().copied());
        assert_eq!(all_replicas.len(), 6);
        assert_eq!(replicas(key, seven.iter().copied()).len(), 6);
        let fallen = |name: &str| name.ends_with(['0', '1', '2', '3', '4', '5']);
        lost += usize::from(all_replicas.iter().all(|name| fallen(name)));
        kept_by.extend(all_replicas);
    }
    assert!(lost < 100, "{lost} of 1,000 lost");
    assert!(kept_by.len() > 280, "{} instances keep any", kept_by.len());
}

/// Guards against a table that grows, and against a stream that is forgotten while its caller continues it.
#[test]
fn a_stream_is_kept_for_a_minute_after_it_was_last_taken_up() {
    let streams = Streams::default();
    streams.begin(record("first", "v1", seconds(10)));
    streams.begin(record("second", "v1", seconds(10)));
    streams.begin(record("first", "v1", seconds(50)));
    streams.add_reported(seconds(80), vec![record("third", "v2", seconds(79))]);
    assert!(streams.get(key("second")).is_none());
    assert!(streams.get(key("first")).is_some());
    for n in 0..40_000 {
        let began = seconds(81);
        streams.add_reported(began, vec![record(&format!("id-{n}"), "v2", began)]);
    }
    let kept = (0..40_000).filter(|n| streams.get(key(&format!("id-{n}"))).is_some());
    assert_eq!(kept.count(), 32_768);
}

/// Guards against a report that moves a stream to another version.
#[test]
fn a_later_report_does_not_change_a_known_stream() {
    let streams = Streams::default();
    streams.begin(record("first", "v1", seconds(10)));
    streams.add_reported(seconds(11), vec![record("first", "v2", seconds(11))]);
    assert_eq!(
        streams
            .get(key("first"))
            .expect("known")
            .origin
            .build()
            .version,
        "v1"
    );
}

/// Guards against a caller that waits for long, or for nothing, where a peer answers.
#[tokio::test]
async fn an_unknown_stream_is_queried() {
    let streams = Streams::default();
    let answered = async {
        streams.wait_for_pending().await;
        let pending = streams.take_pending(seconds(10));
        assert_eq!(pending.queries, [key("first")]);
        streams.add_reported(seconds(10), vec![record("first", "v1", seconds(9))]);
    };
    let (found, ()) = tokio::join!(streams.find(key("first")), answered);
    assert_eq!(found.source, StreamSource::Peer);
    let started = tokio::time::Instant::now();
    assert_eq!(
        streams.find(key("never")).await.source,
        StreamSource::Nobody
    );
    assert!(started.elapsed() <= Duration::from_millis(600));
}

/// Guards against records that are sent one by one, or late.
#[test]
fn records_of_streams_that_begin_close_together_are_sent_together() {
    let streams = Streams::default();
    let at = seconds(10);
    streams.begin(record("first", "v1", at));
    streams.begin(record("second", "v1", at + Duration::from_millis(8)));
    assert!(
        streams
            .take_pending(at + Duration::from_millis(19))
            .records
            .is_empty()
    );
    let due = streams.send_at().expect("a record to send");
    assert_eq!(due, at + Duration::from_millis(20));
    assert_eq!(streams.take_pending(due).records.len(), 2);
    assert_eq!(streams.send_at(), None);
}

/// Guards against a caller that is refused although the store has the record of its stream, and against a read for each
/// of many callers who come back at once.
#[tokio::test]
async fn streams_that_no_instance_knows_are_looked_up_together() {
    let streams = Streams::default().with_store();
    let store = async {
        // The peers' time to answer passes first.
        let lookup = streams.lookups().next().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        streams.add_stored(seconds(10), vec![record("first", "v1", seconds(9))]);
        streams.lookups().finish(lookup);
        streams.lookups().next().await
    };
    let callers = async {
        let found = tokio::join!(streams.find(key("first")), streams.find(key("second")));
        let again = streams.find(key("first")).await;
        (found.0.source, again.source)
    };
    tokio::select! {
        id = store => panic!("one lookup is enough, and {id} came"),
        sources = callers => assert_eq!(sources, (StreamSource::Store, StreamSource::Store)),
    }
}

/// Guards against streams that are recorded twice, or never, and against those that come from the store.
#[test]
fn each_stream_arrives_once_for_the_record_in_the_store() {
    let streams = Streams::default();
    let attempts = |records: Vec<StreamRecord>| -> BTreeSet<StreamKey> {
        records.into_iter().map(|record| record.key).collect()
    };
    streams.begin(record("first", "v1", seconds(10)));
    streams.add_reported(seconds(10), vec![record("second", "v2", seconds(9))]);
    streams.add_stored(seconds(10), vec![record("stored", "v2", seconds(9))]);
    let (records, last) = streams.arrived_after(0, 100);
    assert_eq!(
        attempts(records),
        BTreeSet::from([key("first"), key("second")])
    );
    assert!(streams.arrived_after(last, 100).0.is_empty());
    streams.begin(record("first", "v1", seconds(11)));
    streams.begin(record("third", "v1", seconds(11)));
    let (records, next) = streams.arrived_after(last, 1);
    assert_eq!(attempts(records), BTreeSet::from([key("first")]));
    let (records, _) = streams.arrived_after(next, 100);
    assert_eq!(attempts(records), BTreeSet::from([key("third")]));
    let (all, _) = streams.arrived_after(0, 100);
    assert_eq!(all.len(), 3, "a new lead records all that it knows");
}

/// Guards against a record that cannot be read again, and against bytes of others that are taken for one.
#[test]
fn recorded_streams_are_read_as_they_were_written() {
    let unix_zero = seconds(1_000_000);
    let at = seconds(50);
    let records = vec![
        record("first", "v1", at),
        record("second", "v2", at),
        record("third", "v1", at),
        started("fourth", at),
        started("fifth", at),
    ];
    let bytes = StoredStreams::new(unix_zero, at, records.clone()).encode();
    let mut read = StoredStreams::decode(&bytes)
        .expect("a record")
        .into_records(unix_zero);
    read.sort_by_key(|record| record.key);
    let mut expected = records;
    expected.sort_by_key(|record| record.key);
    assert_eq!(read, expected);
    for length in 1..bytes.len() {
        // Part of a record may be a shorter one, but no other stream.
        if let Ok(part) = StoredStreams::decode(&bytes[..length]) {
            let part = part.into_records(unix_zero);
            assert!(part.iter().all(|r| expected.iter().any(|e| e.key == r.key)));
        }
    }
    StoredStreams::decode(&[7; 40]).expect_err("no record");
}
