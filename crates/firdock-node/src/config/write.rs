//! Writing a change: it is appended to the log once, and accepted when this instance has read it back and its
//! scheduler has taken it over.
//!
//! If the response to the append is lost, reading the log shows whether it took effect; the append is never
//! repeated.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::Version;
use firdock_state::{Body, Change, FoldOutcome, Record, RecordId};
use slog::{Logger, warn};
use snafu::{Report, ResultExt as _, Snafu};
use uuid::Uuid;

use super::hub::Hub;
use crate::platform::{LogClient, PlatformError};

/// Interval of the reads for which a writer asks while it waits for its record.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Number of these reads: the record has to be read back and in force here within 5 s.
const MAX_READS: u32 = 20;

/// Error of writing a change, as far as this instance knows.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum WriteError {
    /// The resource was changed by another write.
    #[snafu(display("the resource changed meanwhile and is at version {present}"))]
    Outdated {
        /// Version in force.
        present: Version,
    },
    /// The log refused the record: the change is not in force and never will be.
    #[snafu(display("the platform's log refused the change"))]
    Refused {
        /// Cause.
        source: PlatformError,
    },
    /// The record was not read back, or not in force here, in time: the change may come into force later.
    #[snafu(display(
        "record {id} was not in force here in time; the change may still come into force"
    ))]
    Unsettled {
        /// Record.
        id: Uuid,
    },
    /// The change could not be encoded as JSON.
    #[snafu(display("the change could not be encoded"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// The change was read back and had no effect.
    #[snafu(display("the change was ignored: a limit on resources was reached"))]
    Ignored,
}

/// Writes a change and waits until it is in force at this instance.
///
/// # Errors
///
/// The error says whether the change may still come into force.
pub fn write<L: LogClient>(
    log_client: &L,
    hub: &Arc<Hub>,
    log: &Logger,
    change: Change,
) -> Result<Version, WriteError> {
    let id = Uuid::now_v7();
    let record = Record {
        id,
        body: Body::Change(change),
    };
    let text = serde_json::to_string(&record).context(EncodeSnafu)?;
    match log_client.append(&text) {
        Ok(_) => (),
        Err(e @ PlatformError::Refused { .. }) => return Err(e).context(RefusedSnafu),
        // Reading the log shows whether it took effect.
        Err(e) => warn!(log, "append of a change not answered"; "record" => id.to_string(),
            "error" => Report::from_error(e).to_string()),
    }
    match read_back(hub, id) {
        Some(FoldOutcome::Accepted { version }) => Ok(version),
        Some(FoldOutcome::Outdated { present }) => OutdatedSnafu { present }.fail(),
        Some(FoldOutcome::ViewChanged | FoldOutcome::Ignored) => IgnoredSnafu.fail(),
        None => UnsettledSnafu { id }.fail(),
    }
}

/// Waits for the result of a record, and asks for reads meanwhile: after failed reads the thread of the log pauses for as
/// long as a writer waits.
fn read_back(hub: &Hub, id: RecordId) -> Option<FoldOutcome> {
    (0..MAX_READS).find_map(|_| {
        hub.wake();
        hub.wait_for(READ_INTERVAL, |h| h.settled(id))
    })
}
