//! Reads of a log of the platform that names records and holds them back.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use firdock_core::Offset;
use firdock_node::config::{Hub, follow};
use firdock_node::platform::{LogClient, PlatformError};
use firdock_state::Batch;

use crate::read_back::follow_parts;

/// Time for which reads are counted.
const MEASURED: Duration = Duration::from_millis(500);
/// Shortest pause of an instance that has nothing to read.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);

/// A log that ends beyond its records.
#[derive(Debug, Clone, Default)]
struct EmptyLog {
    reads: Arc<AtomicU32>,
}

impl LogClient for EmptyLog {
    fn read(&self, _from: Offset, _max: usize) -> Result<Batch, PlatformError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        Ok(Batch {
            first: 0,
            next: 1_000,
            time_millis: 0,
            records: Vec::new(),
        })
    }

    fn append(&self, _body: &str) -> Result<Offset, PlatformError> {
        Err(PlatformError::Refused { status: 503 })
    }
}

// Guards against a log that is read again without a pause, since it ends beyond its records and gives none of them.
#[test]
fn a_log_that_holds_its_records_back_is_read_with_pauses() {
    let hub = Arc::new(Hub::default());
    let log = EmptyLog::default();
    let parts = follow_parts(&log, &hub);
    let following = thread::spawn(move || follow(parts));
    thread::sleep(MEASURED);
    hub.close();
    following.join().expect("no panic");
    let reads = u128::from(log.reads.load(Ordering::SeqCst));
    let most = MEASURED.as_millis() / SHORTEST_PAUSE.as_millis() + 1;
    assert!(reads <= most, "{reads} reads");
}
