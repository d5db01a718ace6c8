//! Reading of a call's body, within the limits of one body and the instance's budget for all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::{AccountId, TierRank};
use firdock_policy::Time;
use hyper::StatusCode;
use tokio::time::timeout;

use super::answer::Problem;
use super::request::memory_bytes;
use super::unread::UnreadBody;
use crate::exchange::{BodyBudget, BodyRefusal, BodyReservation, RefusalCause};

/// Memory that is reserved at first for a body of unknown length, in bytes.
pub(super) const FIRST_BYTES: usize = 16 << 10;
/// Time after which a caller may try again that was refused for lack of room.
const ROOM_RETRY: Duration = Duration::from_millis(500);

/// For whom a body is read.
#[derive(Debug, Clone, Copy)]
pub struct BodyOwner<'a> {
    /// Account that sent the call.
    pub account: &'a AccountId,
    /// Tier of the request, by its account and its service; 0 is the highest.
    pub rank: TierRank,
    /// How often the body will be in memory.
    pub copies: usize,
    /// When the caller stops waiting.
    pub deadline: Option<Time>,
}

/// The body of a call that is not read yet, with its limits.
///
/// The rest of a body that nobody reads to its end is read and dropped for a while beside the refusal, also if the call
/// was refused before anyone looked at its body.
#[derive(Debug)]
pub struct CallBody {
    pub(super) unread: UnreadBody,
    pub(super) budget: BodyBudget,
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
        self.unread.count_buffers();
        // A caller that leaves meanwhile drops this, and nothing is left to drain then.
        self.unread.set_drained(false);
        let read = self.read_reserved(owner).await;
        self.unread.set_drained(true);
        read
    }

    async fn read_reserved(
        &mut self,
        owner: BodyOwner<'_>,
    ) -> Result<(Bytes, Arc<BodyReservation>), Problem> {
        let reservation = self.reserve(owner).await?;
        let bytes = self.collect(owner, &reservation).await?;
        Ok((bytes, Arc::new(reservation)))
    }

    /// Reserves memory for the whole body if its length is known, or else for its beginning.
    async fn reserve(&self, owner: BodyOwner<'_>) -> Result<BodyReservation, Problem> {
        let length = self.unread.known_length();
        if length.is_some_and(|n| n > self.max_bytes) {
            return Err(self.too_large());
        }
        let bytes = memory_bytes(owner.copies, length.unwrap_or(FIRST_BYTES));
        if length == Some(0) {
            return Ok(self.budget.hold(owner.account, bytes));
        }
        let reserving = self
            .budget
            .reserve(owner.account, owner.rank, bytes, owner.deadline);
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
        let mut granted = self.unread.known_length().unwrap_or(FIRST_BYTES);
        let mut bytes = Vec::with_capacity(granted);
        while let Some(frame) = self.unread.frame().await {
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

    fn too_large(&self) -> Problem {
        let detail = format!("at most {} bytes", self.max_bytes);
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
    }
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
            let detail = "the room was given to a higher tier, or to an account that uses less";
            Problem::new(status, "room-withdrawn", detail).with_retry(ROOM_RETRY)
        }
    };
    problem.with_body(owner.account, refusal.bytes)
}
