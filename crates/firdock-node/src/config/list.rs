//! The thread that reads the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use firdock_policy::Event;
use firdock_policy::event::ListedInstance;
use slog::{Logger, warn};
use tokio::sync::mpsc;

use super::hub::Hub;
use crate::backoff::Backoff;
use crate::input::Input;
use crate::platform::{InstanceList, ListedRow};

/// Maximum delay after failed reads.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of rows that are used; further ones are dropped.
const MAX_ROWS: usize = 20_000;

/// Reads the list until the hub is closed.
pub fn watch_list<I: InstanceList>(
    list: &I,
    hub: &Arc<Hub>,
    inputs: &mpsc::Sender<Input>,
    pause: Duration,
    log: &Logger,
) {
    let mut backoff = Backoff::new(pause, MAX_DELAY);
    loop {
        let wait = match list.list() {
            Ok(mut rows) => {
                backoff.reset();
                rows.truncate(MAX_ROWS);
                let event = Event::Listed(rows.iter().map(listed).collect());
                hub.update(|h| h.listed = Some(rows));
                if inputs.blocking_send(Input::Event(event)).is_err() {
                    return;
                }
                pause
            }
            Err(e) => {
                warn!(log, "failed to read the instance list"; "error" => e.to_string());
                backoff.next_pause()
            }
        };
        if hub.wait_for(wait, |h| h.closed.then_some(())).is_some() || hub.lock().closed {
            return;
        }
    }
}

fn listed(row: &ListedRow) -> ListedInstance {
    ListedInstance {
        name: row.name.clone(),
        leaving: row.leaving,
    }
}
