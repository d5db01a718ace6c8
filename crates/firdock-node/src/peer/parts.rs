//! Splitting of replies that exceed one datagram into parts; a lost part is queried again by
//! itself.
//!
//! The shared content grows with a site's endpoints, routes and accounts. If a reply had to fit one
//! datagram, each instance of a large site would read the store itself at each start
//! (`docs/design/sharing.md`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::Time;
use firdock_wire::message::StateAnswer;

/// Size of a part, which leaves room in a datagram for the other fields of the reply.
pub const PART_BYTES: usize = 48 << 10;
/// Maximum number of parts, 3 MB in total. Larger content is read from the store.
const MAX_PARTS: usize = 64;
/// Maximum number of replies reassembled at a time; only the few seeds queried at a start send any.
const MAX_PARTIAL_REPLIES: usize = 4;
/// Time without new parts after which an incomplete reply is dropped: many times what sending all
/// of it takes.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// ID of a state, unique within the process that built it.
pub type StateId = u64;

/// Missing parts of a reply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MissingParts {
    /// State that the reply carries.
    pub state: StateId,
    /// Indexes of the missing parts.
    pub parts: Vec<u32>,
}

/// Returns the number of parts for a state of `bytes` bytes; `None` if it is too large to be sent.
#[must_use]
pub fn count_parts(bytes: usize) -> Option<u32> {
    let parts = bytes.div_ceil(PART_BYTES).max(1);
    (parts <= MAX_PARTS).then_some(parts as u32)
}

/// Returns one part of a state.
#[must_use]
pub fn state_part(state: &[u8], part: u32) -> &[u8] {
    let start = (part as usize * PART_BYTES).min(state.len());
    let end = (start + PART_BYTES).min(state.len());
    &state[start..end]
}

/// An incomplete reply.
#[derive(Debug)]
struct PartialReply {
    state: StateId,
    incarnation: Vec<u8>,
    parts: Vec<Option<Vec<u8>>>,
    last_received: Time,
}

impl PartialReply {
    fn new(now: Time, reply: &StateAnswer) -> Self {
        Self {
            state: reply.state_id,
            incarnation: reply.incarnation.clone(),
            parts: vec![None; reply.parts as usize],
            last_received: now,
        }
    }

    fn matches(&self, reply: &StateAnswer) -> bool {
        self.state == reply.state_id
            && self.incarnation == reply.incarnation
            && self.parts.len() == reply.parts as usize
    }

    /// Returns the complete state, once no part is missing.
    fn complete(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        parts.map(|parts| parts.concat())
    }
}

/// The part does not belong to a valid reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidPart;

/// Incomplete replies, by their sender.
#[derive(Debug, Default)]
pub struct PartialReplies {
    by_sender: BTreeMap<SocketAddr, PartialReply>,
}

impl PartialReplies {
    /// Adds a part of a reply. Returns the complete reply once no part is missing.
    ///
    /// A part of a different state replaces the parts received so far, since the sender has built
    /// the state anew.
    ///
    /// # Errors
    ///
    /// Fails if the index or the number of parts is invalid.
    pub fn add(
        &mut self,
        now: Time,
        from: SocketAddr,
        reply: StateAnswer,
    ) -> Result<Option<StateAnswer>, InvalidPart> {
        if reply.parts <= 1 {
            return Ok(Some(reply));
        }
        if reply.parts as usize > MAX_PARTS || reply.part >= reply.parts {
            return Err(InvalidPart);
        }
        self.by_sender
            .retain(|_, partial| partial.last_received + REPLY_TIMEOUT > now);
        self.evict_if_full(from);
        let partial = self
            .by_sender
            .entry(from)
            .or_insert_with(|| PartialReply::new(now, &reply));
        if !partial.matches(&reply) {
            *partial = PartialReply::new(now, &reply);
        }
        partial.last_received = now;
        let (part, state) = (reply.part as usize, reply.state.clone());
        partial.parts[part] = Some(state);
        let Some(state) = partial.complete() else {
            return Ok(None);
        };
        self.by_sender.remove(&from);
        Ok(Some(StateAnswer { state, ..reply }))
    }

    /// Returns the missing parts of a peer's reply; `None` if no part of it was received.
    #[must_use]
    pub fn missing(&self, from: SocketAddr) -> Option<MissingParts> {
        let partial = self.by_sender.get(&from)?;
        let absent = partial.parts.iter().enumerate();
        let absent = absent.filter(|(_, part)| part.is_none());
        Some(MissingParts {
            state: partial.state,
            parts: absent.map(|(at, _)| at as u32).collect(),
        })
    }

    /// Drops the reply whose last part is the oldest if there is no capacity for another one.
    fn evict_if_full(&mut self, from: SocketAddr) {
        if self.by_sender.len() < MAX_PARTIAL_REPLIES || self.by_sender.contains_key(&from) {
            return;
        }
        let oldest = self.by_sender.iter().min_by_key(|(_, p)| p.last_received);
        if let Some(oldest) = oldest.map(|(at, _)| *at) {
            self.by_sender.remove(&oldest);
        }
    }
}
