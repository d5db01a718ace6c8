//! The part of a call's body that nobody read.
//!
//! The operating system resets a connection that is closed with unread bytes, and the caller may lose the refusal by
//! it. So the rest of a refused body is read and dropped for a while, beside the refusal.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, Incoming};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::reading::FIRST_BYTES;
use crate::exchange::{BodyBudget, BufferedBytes};

/// Time for which the rest of a refused body is read and dropped.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// The same for a stopping instance, which waits for its connections.
const STOPPING_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Number of refused bodies whose bytes are dropped at the same time: they take buffers and processor time from
/// those that are served.
const DRAINS: usize = 8;
/// Time without bytes after which a refused body leaves its turn to another one.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Limits on dropping the rest of bodies, shared by all calls.
#[derive(Debug, Clone)]
pub struct DrainLimits {
    turns: Arc<Semaphore>,
    budget: BodyBudget,
    /// Bytes of one body that are dropped.
    max_bytes: usize,
    /// Size of a connection's read buffer, in bytes.
    buffer_bytes: usize,
    max_time: Duration,
}

impl DrainLimits {
    /// Creates the limits for bodies of at most `max_bytes` in connections with read buffers of `buffer_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize, buffer_bytes: usize) -> Self {
        Self {
            turns: Arc::new(Semaphore::new(DRAINS)),
            budget: BodyBudget::default(),
            max_bytes,
            buffer_bytes,
            max_time: DRAIN_TIME,
        }
    }

    /// Sets the budget in which buffers of connections count.
    #[must_use]
    pub fn with_budget(mut self, budget: BodyBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the shorter time of an instance that is stopping.
    #[must_use]
    pub fn with_stopping(mut self) -> Self {
        self.max_time = STOPPING_DRAIN_TIME;
        self
    }
}

/// A body, of which what was not read is read and dropped in the background once this is dropped.
#[derive(Debug)]
pub struct UnreadBody {
    /// `None` once the body ended.
    incoming: Option<Incoming>,
    /// Whether the caller sends nothing of it before it was told to go on, which the first read does.
    awaits_word: bool,
    /// Whether what is not read is drained once this is dropped.
    drained: bool,
    buffered: Option<BufferedBytes>,
    limits: DrainLimits,
}

impl UnreadBody {
    /// Creates the body of a call that was not read yet.
    #[must_use]
    pub fn new(incoming: Incoming, awaits_word: bool, limits: DrainLimits) -> Self {
        Self {
            incoming: Some(incoming).filter(|i| !i.is_end_stream()),
            awaits_word,
            drained: true,
            buffered: None,
            limits,
        }
    }

    /// Sets whether what is not read is drained once this is dropped.
    pub fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Returns the length of what is not read yet, in bytes, if it is known.
    pub fn known_length(&self) -> Option<usize> {
        let Some(incoming) = &self.incoming else {
            return Some(0);
        };
        let exact = incoming.size_hint().exact();
        exact.map(|n| usize::try_from(n).unwrap_or(usize::MAX))
    }

    /// Counts the connection's buffers if the body may fill them: the part that hyper passes on, and the next one.
    pub fn count_buffers(&mut self) {
        let fills = self.known_length().is_none_or(|n| n > FIRST_BYTES);
        if fills && self.buffered.is_none() {
            self.buffered = self.limits.budget.buffer(2 * self.limits.buffer_bytes);
        }
    }

    /// Reads the next part; `None` at the end.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.awaits_word = false;
        let frame = self.incoming.as_mut()?.frame().await;
        if !matches!(frame, Some(Ok(_))) {
            self.incoming = None;
        }
        frame
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        // A caller that awaits the word to go on is told by the refusal itself.
        if self.awaits_word || !self.drained {
            return;
        }
        // Without a runtime the process is ending, and its connections with it.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        self.count_buffers();
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let (limits, buffered) = (self.limits.clone(), self.buffered.take());
        runtime.spawn(async move {
            let draining = drain_in_turns(incoming, limits.max_bytes, &limits.turns);
            // The end of the time is as good an end.
            let _ = timeout(limits.max_time, draining).await;
            drop(buffered);
        });
    }
}

/// Reads and drops up to `max_bytes`, beside no more than [`DRAINS`] others whose bytes are coming.
async fn drain_in_turns(mut incoming: Incoming, max_bytes: usize, drains: &Semaphore) {
    let mut left = max_bytes;
    loop {
        // The semaphore is never closed.
        let turn = drains.acquire().await;
        while let Ok(frame) = timeout(DRAIN_PAUSE, incoming.frame()).await {
            let Some(rest) = bytes_left(frame, left) else {
                return;
            };
            left = rest;
        }
        drop(turn);
        let Some(rest) = bytes_left(incoming.frame().await, left) else {
            return;
        };
        left = rest;
    }
}

/// Takes a frame off the bytes to be dropped; `None` at the end.
fn bytes_left(frame: Option<Result<Frame<Bytes>, hyper::Error>>, left: usize) -> Option<usize> {
    let length = frame?.ok()?.data_ref().map_or(0, Bytes::len);
    left.checked_sub(length)
}
