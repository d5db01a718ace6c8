//! Writes beside failed reads of the platform's log.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use firdock_core::Offset;
use firdock_core::resource::{Resource, Tier};
use firdock_node::clock::Clock;
use firdock_node::config::{FollowParts, Hub, RecordSettings, follow, write};
use firdock_node::platform::{LogClient, PlatformError};
use firdock_node::telemetry::discard_logger;
use firdock_policy::event::Member;
use firdock_state::{Batch, Change, LogRecord, State};
use tokio::sync::mpsc;
use uuid::Uuid;

/// Failed reads after which the thread of the log makes its longest pauses.
const FAILED_READS: u32 = 10;
/// Reads that fail after a write, while its writer waits.
const LATE_FAILED_READS: u32 = 4;

/// A log whose next reads fail.
#[derive(Debug, Clone, Default)]
struct FailingLog {
    records: Arc<Mutex<Vec<LogRecord>>>,
    failures_left: Arc<AtomicU32>,
}

impl LogClient for FailingLog {
    fn read(&self, from: Offset, _max: usize) -> Result<Batch, PlatformError> {
        let fails = |left: u32| left.checked_sub(1);
        let failed = self
            .failures_left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, fails);
        if failed.is_ok() {
            return Err(PlatformError::Refused { status: 503 });
        }
        let records = self.records.lock().expect("no panic");
        Ok(Batch {
            first: 0,
            next: records.len() as Offset,
            time_millis: 0,
            records: records
                .iter()
                .filter(|r| r.offset >= from)
                .cloned()
                .collect(),
        })
    }

    fn append(&self, body: &str) -> Result<Offset, PlatformError> {
        let mut records = self.records.lock().expect("no panic");
        let offset = records.len() as Offset;
        records.push(LogRecord {
            offset,
            time_millis: 0,
            body: body.to_owned(),
        });
        Ok(offset)
    }
}

/// Returns what the thread of a log needs, with no peer to ask.
pub fn follow_parts<L: Clone>(log: &L, hub: &Arc<Hub>) -> FollowParts<L, fn() -> Option<State>> {
    FollowParts {
        log_client: log.clone(),
        ask_peers: || None,
        hub: Arc::clone(hub),
        inputs: mpsc::channel(64).0,
        clock: Clock::new(),
        log: discard_logger(),
        pause: Duration::from_millis(100),
        member: Member {
            name: "node-0".to_owned(),
            incarnation: Uuid::from_u128(1),
        },
        record_settings: RecordSettings {
            silence: Duration::from_hours(1),
            retention: Duration::from_hours(1),
        },
    }
}

fn change() -> Change {
    let tier = Tier {
        name: "guide".to_owned(),
        ..Tier::default()
    };
    let resource = Resource::Tier(tier);
    Change {
        key: resource.key(),
        base: 0,
        resource: Some(resource),
    }
}

// Guards against a write that is reported as `unsettled` although the log has its record and can be read: after failed
// reads the thread of the log paused for as long as the writer waited.
#[test]
fn a_write_is_read_back_soon_after_failed_reads() {
    let hub = Arc::new(Hub::default());
    let log = FailingLog::default();
    log.failures_left.store(u32::MAX, Ordering::SeqCst);
    let parts = follow_parts(&log, &hub);
    let following = thread::spawn(move || follow(parts));
    while log.failures_left.load(Ordering::SeqCst) > u32::MAX - FAILED_READS {
        hub.wake();
        thread::sleep(Duration::from_millis(1));
    }
    log.failures_left.store(LATE_FAILED_READS, Ordering::SeqCst);
    // There is no scheduler here, which would put the configuration in force.
    hub.update(|h| h.in_force = u64::MAX);
    let written = write(&log, &hub, &discard_logger(), change());
    hub.close();
    following.join().expect("no panic");
    written.expect("the record is read back");
}
