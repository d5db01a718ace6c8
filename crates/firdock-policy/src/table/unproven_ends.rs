//! Answers that ended with their connection, while it is not known whether their endpoint's process lived on.

use firdock_core::RequestId;

use crate::event::Liveness;
use crate::time::Time;

/// An answer whose end proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an observation of its own"
)]
pub struct UnprovenEnd {
    /// Request.
    pub id: RequestId,
    /// Dispatch that the answer belongs to.
    pub dispatch: u32,
    /// Row of the endpoint that the request was sent to.
    pub dispatched_row: usize,
    /// Row of the start that gave the answer, which may be a later one.
    pub serving_row: usize,
    /// Whether the connection went through a peer.
    pub passed_on: bool,
    /// When the connection was seen to close.
    pub closed_at: Time,
    /// Whether the own link refused a connection, which a peer is to confirm: the link may be cut.
    pub is_refused: bool,
    /// Whether that peer reached the endpoint. The own link is checked once more then: if it reaches the endpoint as
    /// well, the link was not cut, and another process listens.
    pub reached_by_peer: bool,
    /// Whether the connections of a check were closed at once. Who accepts one later may be another process.
    pub closed_checks: bool,
    /// Result of a liveness check that began later.
    pub liveness: Option<Liveness>,
}

/// A liveness check that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedCheck {
    /// Row of the start that was checked.
    pub server: usize,
    /// When it began.
    pub began: Time,
    /// What it found.
    pub found: Liveness,
    /// Whether it went through a peer.
    pub through_peer: bool,
}

/// Answers whose ends have not been judged yet.
#[derive(Debug, Default)]
pub struct UnprovenEnds {
    rows: Vec<UnprovenEnd>,
}

impl UnprovenEnds {
    /// Adds an answer that ended.
    pub fn add(&mut self, end: UnprovenEnd) {
        self.rows.push(end);
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the ends at an endpoint.
    pub fn at(&self, endpoint: usize) -> impl Iterator<Item = &UnprovenEnd> {
        self.rows
            .iter()
            .filter(move |end| end.dispatched_row == endpoint)
    }

    /// Returns whether an end is to be judged at an endpoint's row, which is kept for it.
    #[must_use]
    pub fn refer_to(&self, row: usize) -> bool {
        let mut ends = self.rows.iter();
        ends.any(|end| end.dispatched_row == row || end.serving_row == row)
    }

    /// Returns the end of a request's answer.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&UnprovenEnd> {
        self.rows.iter().find(|end| end.id == id)
    }

    /// Sets the start that gave an answer. What was found of another one does not count.
    pub fn set_server(&mut self, id: RequestId, server: usize) {
        let other = |end: &&mut UnprovenEnd| end.id == id && end.serving_row != server;
        for end in self.rows.iter_mut().filter(other) {
            end.serving_row = server;
            end.closed_checks = false;
            end.liveness = None;
        }
    }

    /// Records the result of a liveness check.
    ///
    /// An endpoint that accepted a connection says nothing of an answer that ended later. One that refused it does not
    /// listen, whatever came first. The own link to an endpoint that was reached through a peer may be cut, so that
    /// only an open connection says anything then. A peer that reaches an endpoint which refused the own link says only
    /// that one of both holds: the link is cut, or another process listens.
    pub fn record_liveness(&mut self, check: FinishedCheck) {
        let FinishedCheck { server, found, .. } = check;
        let covered = |end: &&mut UnprovenEnd| {
            end.serving_row == server
                && match found {
                    Liveness::Open => end.closed_at <= check.began,
                    Liveness::Ended | Liveness::StoppedListening => {
                        check.through_peer || !end.passed_on
                    }
                    Liveness::Silent | Liveness::ClosesAtOnce => {
                        end.closed_at <= check.began && check.through_peer == end.passed_on
                    }
                }
        };
        // A process that listens after a refusal is another one.
        let is_undecided = |end: &&mut UnprovenEnd| match end.liveness {
            Some(Liveness::Ended) => false,
            Some(Liveness::StoppedListening) => found == Liveness::Ended,
            _ => true,
        };
        for end in self.rows.iter_mut().filter(covered).filter(is_undecided) {
            end.closed_checks |= found == Liveness::ClosesAtOnce;
            match found {
                Liveness::Open if end.is_refused && check.through_peer => {
                    end.reached_by_peer = true;
                }
                Liveness::Open if end.reached_by_peer => end.liveness = Some(Liveness::Ended),
                _ => end.liveness = Some(found),
            }
        }
        if check.through_peer && found.is_nothing() {
            self.confirm_refusals(server);
        }
    }

    /// Records that the own link to an endpoint refused a connection, of which a peer is asked.
    pub fn record_refusal(&mut self, server: usize) {
        let is_own = |end: &&mut UnprovenEnd| end.serving_row == server && !end.passed_on;
        for end in self.rows.iter_mut().filter(is_own) {
            end.is_refused = true;
        }
    }

    /// Returns whether the refusal of the own link to an endpoint waits for a peer.
    #[must_use]
    pub fn awaits_peer(&self, server: usize) -> bool {
        let waits =
            |end: &UnprovenEnd| end.is_refused && !end.reached_by_peer && end.liveness.is_none();
        self.rows
            .iter()
            .any(|end| end.serving_row == server && waits(end))
    }

    /// Returns whether the own link to an endpoint is to be checked once more, since a peer reached it.
    #[must_use]
    pub fn awaits_own_link(&self, server: usize) -> bool {
        let waits = |end: &UnprovenEnd| end.reached_by_peer && end.liveness.is_none();
        self.rows
            .iter()
            .any(|end| end.serving_row == server && waits(end))
    }

    /// Records that the own link refuses connections to an endpoint that a peer reaches: the link is cut.
    pub fn record_cut_link(&mut self, server: usize) {
        let reached = |end: &&mut UnprovenEnd| end.serving_row == server && end.reached_by_peer;
        for end in self.rows.iter_mut().filter(reached) {
            end.liveness.get_or_insert(Liveness::Open);
        }
    }

    /// Takes the refusals of the own link to an endpoint as they are, since no peer knows more.
    fn confirm_refusals(&mut self, server: usize) {
        let refused = |end: &&mut UnprovenEnd| end.serving_row == server && end.is_refused;
        for end in self.rows.iter_mut().filter(refused) {
            end.liveness.get_or_insert(Liveness::Ended);
        }
    }

    /// Returns all ends.
    pub fn iter(&self) -> impl Iterator<Item = &UnprovenEnd> {
        self.rows.iter()
    }

    /// Removes the end of a request's answer.
    pub fn remove(&mut self, id: RequestId) {
        self.rows.retain(|end| end.id != id);
    }

    /// Keeps the ends for which `is_open` is true.
    pub fn retain(&mut self, is_open: impl FnMut(&UnprovenEnd) -> bool) {
        self.rows.retain(is_open);
    }
}
