//! Writing a change: appended once, and accepted when this instance has read it back.
//!
//! A lost reply is settled by reading, never by a second write.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::Version;
use firdock_state::{Body, Change, FoldOutcome, Record};
use snafu::{ResultExt as _, Snafu};
use uuid::Uuid;

use super::hub::Hub;
use crate::platform::{LogClient, PlatformError};

/// Time to read an own record back.
const READ_BACK: Duration = Duration::from_secs(5);

/// Why a change is not in force, as far as this instance knows.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum WriteError {
    /// Another change came first.
    #[snafu(display("the resource changed meanwhile and is at version {present}"))]
    Outdated {
        /// Version in force.
        present: Version,
    },
    /// The log refused: nothing changed and nothing will.
    #[snafu(display("the platform's log did not take the change"))]
    Refused {
        /// Cause.
        source: PlatformError,
    },
    /// The log did not answer: the change may come into force later.
    #[snafu(display("no word on record {id}; the change may still come into force"))]
    Unsettled {
        /// Record.
        id: Uuid,
    },
    /// The change could not be written as JSON.
    #[snafu(display("the change could not be encoded"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// The change was read back and had no effect.
    #[snafu(display("the change was ignored: a bound on resources was reached"))]
    Ignored,
}

/// Writes a change and waits until it is in force here.
///
/// # Errors
///
/// Fails with whether the change can still come into force.
pub fn write<L: LogClient>(log: &L, hub: &Arc<Hub>, change: Change) -> Result<Version, WriteError> {
    let id = Uuid::now_v7();
    let record = Record {
        id,
        body: Body::Change(change),
    };
    let text = serde_json::to_string(&record).context(EncodeSnafu)?;
    match log.append(&text) {
        Err(e @ PlatformError::Refused { .. }) => return Err(e).context(RefusedSnafu),
        // Whether it took effect is settled by reading, below.
        Ok(_) | Err(_) => hub.wake(),
    }
    match hub.wait_for(READ_BACK, |h| h.result(id)) {
        Some(FoldOutcome::Accepted { version }) => Ok(version),
        Some(FoldOutcome::Outdated { present }) => OutdatedSnafu { present }.fail(),
        Some(FoldOutcome::View | FoldOutcome::Ignored) => IgnoredSnafu.fail(),
        None => UnsettledSnafu { id }.fail(),
    }
}
