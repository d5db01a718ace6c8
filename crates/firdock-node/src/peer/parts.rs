//! Answers that are too long for one datagram: they go in parts, and one that is lost is asked for alone.
//!
//! What a site knows grows with its endpoints, routes and accounts. If an answer had to fit a datagram,
//! each instance of a large site would read the store for itself at each start (`docs/design/sharing.md`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::Time;
use firdock_wire::message::StateAnswer;

/// Bytes of a state that go in one datagram, with room for the rest of the answer.
pub const PART_BYTES: usize = 48 << 10;
/// Most parts of a state, 3 MB in all; what is longer is read from the store.
const MAX_PARTS: usize = 64;
/// Answers that are put together at one time: those of the few that are asked at a start.
const MAX_PARTIAL: usize = 4;
/// Silence after which the parts of an answer are given up: many times what sending all of it takes.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// Number of a state that was made, among those of the process that made it.
pub type StateId = u64;

/// What lacks of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MissingParts {
    /// The state that the answer tells.
    pub state: StateId,
    /// Its parts that did not come, by their numbers.
    pub parts: Vec<u32>,
}

/// Gives the number of parts in which a state goes; `None` if it is too long to be told at all.
#[must_use]
pub fn count_parts(bytes: usize) -> Option<u32> {
    let parts = bytes.div_ceil(PART_BYTES).max(1);
    (parts <= MAX_PARTS).then_some(parts as u32)
}

/// Gives one part of a state.
#[must_use]
pub fn state_part(state: &[u8], part: u32) -> &[u8] {
    let start = (part as usize * PART_BYTES).min(state.len());
    let end = (start + PART_BYTES).min(state.len());
    &state[start..end]
}

/// An answer of which parts came.
#[derive(Debug)]
struct Partial {
    state: StateId,
    incarnation: Vec<u8>,
    parts: Vec<Option<Vec<u8>>>,
    heard: Time,
}

impl Partial {
    fn new(now: Time, told: &StateAnswer) -> Self {
        Self {
            state: told.state_id,
            incarnation: told.incarnation.clone(),
            parts: vec![None; told.parts as usize],
            heard: now,
        }
    }

    fn is_of(&self, told: &StateAnswer) -> bool {
        self.state == told.state_id
            && self.incarnation == told.incarnation
            && self.parts.len() == told.parts as usize
    }

    /// Gives the whole state once no part lacks.
    fn whole(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        parts.map(|parts| parts.concat())
    }
}

/// Why a part is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidPart;

/// The answers of which parts came, by who tells them.
#[derive(Debug, Default)]
pub struct PartialReplies {
    by_teller: BTreeMap<SocketAddr, Partial>,
}

impl PartialReplies {
    /// Takes an answer or a part of one; gives the whole answer once no part lacks.
    ///
    /// Parts of another state than before, which the teller made anew, replace what came of that.
    ///
    /// # Errors
    ///
    /// Fails for a part that can be none of the answer's.
    pub fn take(
        &mut self,
        now: Time,
        from: SocketAddr,
        told: StateAnswer,
    ) -> Result<Option<StateAnswer>, InvalidPart> {
        if told.parts <= 1 {
            return Ok(Some(told));
        }
        if told.parts as usize > MAX_PARTS || told.part >= told.parts {
            return Err(InvalidPart);
        }
        self.by_teller
            .retain(|_, partial| partial.heard + GIVE_UP_AFTER > now);
        self.make_room(from);
        let partial = self
            .by_teller
            .entry(from)
            .or_insert_with(|| Partial::new(now, &told));
        if !partial.is_of(&told) {
            *partial = Partial::new(now, &told);
        }
        partial.heard = now;
        let (part, state) = (told.part as usize, told.state.clone());
        partial.parts[part] = Some(state);
        let Some(state) = partial.whole() else {
            return Ok(None);
        };
        self.by_teller.remove(&from);
        Ok(Some(StateAnswer { state, ..told }))
    }

    /// Gives what lacks of the answer of one that is to be asked again; `None` where nothing came of it.
    #[must_use]
    pub fn missing(&self, from: SocketAddr) -> Option<MissingParts> {
        let partial = self.by_teller.get(&from)?;
        let absent = partial.parts.iter().enumerate();
        let absent = absent.filter(|(_, part)| part.is_none());
        Some(MissingParts {
            state: partial.state,
            parts: absent.map(|(at, _)| at as u32).collect(),
        })
    }

    /// Drops the answer that was not heard of for longest, where there is no room for one more.
    fn make_room(&mut self, from: SocketAddr) {
        if self.by_teller.len() < MAX_PARTIAL || self.by_teller.contains_key(&from) {
            return;
        }
        let oldest = self.by_teller.iter().min_by_key(|(_, p)| p.heard);
        if let Some(oldest) = oldest.map(|(at, _)| *at) {
            self.by_teller.remove(&oldest);
        }
    }
}
