//! Reading of a call's body, within the limits of one body and the instance's budget for all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::AccountId;
use firdock_policy::Time;
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use hyper::body::{Body as _, Frame, Incoming};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::answer::Problem;
use super::request::memory_bytes;
use crate::exchange::{BodyBudget, BodyRefusal, BodyReservation, BufferedBytes, RefusalCause};

/// Memory that is reserved at first for a body of unknown length, in bytes.
const FIRST_BYTES: usize = 16 << 10;
/// Time for which the rest of a refused body is read and dropped.
///
/// The operating system resets a connection that is closed with unread bytes, and the caller may lose the
/// refusal by it.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Number of refused bodies whose bytes are dropped at the same time: they take buffers and processor time from
/// those that are served.
pub(super) const DRAINS: usize = 8;
/// Time without bytes after which a refused body leaves its turn to another one.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a caller may try again that was refused for lack of room.
const ROOM_RETRY: Duration = Duration::from_millis(500);

/// For whom a body is read.
#[derive(Debug, Clone, Copy)]
pub struct BodyOwner<'a> {
    /// Account that sent the call.
    pub account: &'a AccountId,
    /// How often the body will be in memory.
    pub copies: usize,
    /// When the caller stops waiting.
    pub deadline: Option<Time>,
}

/// The body of a call that is not read yet, with its limits.
#[derive(Debug)]
pub struct CallBody {
    pub(super) incoming: Incoming,
    pub(super) budget: BodyBudget,
    /// Turns to drop the rest of refused bodies.
    pub(super) drains: Arc<Semaphore>,
    /// Whether the caller sends nothing of it before it was told to go on.
    pub(super) awaits_word: bool,
    /// Size of the connection's read buffer, in bytes.
    pub(super) buffer_bytes: usize,
    pub(super) max_bytes: usize,
    pub(super) max_time: Duration,
}

impl CallBody {
    /// Reads the whole body, once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails with the problem to be sent to the caller: there is no room, or the body is too large, too slow or
    /// broken.
    pub async fn read(
        mut self,
        owner: BodyOwner<'_>,
    ) -> Result<(Bytes, Arc<BodyReservation>), Problem> {
        let buffered = self.count_buffers();
        let reservation = match self.reserve(owner).await {
            Ok(reservation) => reservation,
            Err(problem) => {
                // A caller that awaits the word to go on is told by the refusal itself.
                if !self.awaits_word {
                    self.drain(buffered);
                }
                return Err(problem);
            }
        };
        match self.collect(owner, &reservation).await {
            Ok(bytes) => Ok((bytes, Arc::new(reservation))),
            Err(problem) => {
                drop(reservation);
                self.drain(buffered);
                Err(problem)
            }
        }
    }

    /// Counts the connection's buffers if the body may fill them: the part that hyper passes on, and the next one.
    fn count_buffers(&self) -> Option<BufferedBytes> {
        let fills = self.known_length().is_none_or(|n| n > FIRST_BYTES);
        let bytes = if fills { 2 * self.buffer_bytes } else { 0 };
        (bytes > 0).then(|| self.budget.buffer(bytes)).flatten()
    }

    /// Reserves memory for the whole body if its length is known, or else for its beginning.
    async fn reserve(&self, owner: BodyOwner<'_>) -> Result<BodyReservation, Problem> {
        let length = self.known_length();
        if length.is_some_and(|n| n > self.max_bytes) {
            return Err(self.too_large());
        }
        let bytes = memory_bytes(owner.copies, length.unwrap_or(FIRST_BYTES));
        if length == Some(0) {
            return Ok(self.budget.hold(owner.account, bytes));
        }
        let reserving = self.budget.reserve(owner.account, bytes, owner.deadline);
        reserving.await.map_err(|r| no_room(owner, r))
    }

    async fn collect(
        &mut self,
        owner: BodyOwner<'_>,
        reservation: &BodyReservation,
    ) -> Result<Bytes, Problem> {
        let max_time = self.max_time;
        let bytes = tokio::select! {
            biased;
            refusal = reservation.cut() => return Err(no_room(owner, refusal)),
            read = timeout(max_time, self.read_frames(owner, reservation)) => {
                read.unwrap_or_else(|_| Err(too_slow()))?
            }
        };
        let settled = reservation.settle(memory_bytes(owner.copies, bytes.len()));
        settled.map_err(|r| no_room(owner, r))?;
        Ok(bytes)
    }

    /// Copies the body into one block of its own: a frame may keep a whole read buffer alive.
    async fn read_frames(
        &mut self,
        owner: BodyOwner<'_>,
        reservation: &BodyReservation,
    ) -> Result<Bytes, Problem> {
        let mut granted = self.known_length().unwrap_or(FIRST_BYTES);
        let mut bytes = Vec::with_capacity(granted);
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|e| broken(&e))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > self.max_bytes {
                return Err(self.too_large());
            }
            if length > granted {
                let next = length.max(2 * granted).min(self.max_bytes);
                let more = owner.copies.saturating_mul(next - granted);
                let grown = reservation.grow(more);
                grown.map_err(|r| no_room(owner, r))?;
                bytes.reserve_exact(next - bytes.len());
                granted = next;
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Bytes::from(bytes))
    }

    fn known_length(&self) -> Option<usize> {
        let exact = self.incoming.size_hint().exact();
        exact.map(|n| usize::try_from(n).unwrap_or(usize::MAX))
    }

    fn too_large(&self) -> Problem {
        let detail = format!("at most {} bytes", self.max_bytes);
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
    }

    /// Reads and drops the rest of the body for a while, beside the refusal.
    fn drain(self, buffered: Option<BufferedBytes>) {
        tokio::spawn(async move {
            let draining = drain_in_turns(self.incoming, self.max_bytes, &self.drains);
            // The end of the time is as good an end.
            let _ = timeout(DRAIN_TIME, draining).await;
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

fn broken(error: &hyper::Error) -> Problem {
    let detail = format!("the body ended early or was malformed: {error}");
    Problem::new(StatusCode::BAD_REQUEST, "body-broken", detail)
}

fn too_slow() -> Problem {
    let detail = "the body did not come in time";
    Problem::new(StatusCode::REQUEST_TIMEOUT, "body-too-slow", detail)
}

fn no_room(owner: BodyOwner<'_>, refusal: BodyRefusal) -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let problem = match refusal.cause {
        RefusalCause::Large => {
            let detail = "more than the instance has room for";
            Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
        }
        RefusalCause::Room => {
            let detail = "no room for the body";
            Problem::new(status, "no-room", detail).with_retry(ROOM_RETRY)
        }
        RefusalCause::Cut => {
            let detail = "the room was given to an account that uses less";
            Problem::new(status, "room-withdrawn", detail).with_retry(ROOM_RETRY)
        }
    };
    problem.with_body(owner.account, refusal.bytes)
}
