//! Answers to peers that ask what this instance knows of the platform's store.
//!
//! Where all instances start at one moment, some hundred ask the same few in the same tenth of a
//! second. The answer is made once for all of them, and they are answered one after another, so that
//! a link of 20 Mbit/s is not overrun: datagrams that a full link drops have to be asked for again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::Offset;
use firdock_policy::Time;
use firdock_wire::message::PeerAddress;
use slog::warn;

use super::Beacons;
use crate::peer::book::{KnownPeer, PeerBook};
use crate::peer::datagram::{seal, write_address};
use crate::peer::known::{KnownState, Question, answer_body};
use crate::peer::reads::SharedReads;

/// Pause between two answers: some 8 KB each are 3 ms of a link of 20 Mbit/s, to which they come
/// spread over its queue.
const ANSWER_PAUSE: Duration = Duration::from_millis(2);
/// Peers that wait for an answer at most: as many as there are instances that are kept.
const MAX_WAITING: usize = 512;
/// Time for which one answer serves all that ask for the same, though instances came meanwhile.
const REUSE: Duration = Duration::from_millis(250);

/// What an answer was made from: it serves again while that is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    topics: bool,
    instances: bool,
    version: u64,
    endpoints_next: Offset,
}

/// An answer that was made.
#[derive(Debug)]
struct Made {
    basis: Basis,
    at: Time,
    /// The deflated state; `None` where it is too long to be told.
    state: Option<Vec<u8>>,
}

/// Peers that wait for an answer, and the last one that was made.
#[derive(Debug, Default)]
pub(super) struct Answers {
    waiting: VecDeque<(SocketAddr, Question)>,
    sent_at: Time,
    made: Option<Made>,
}

impl Answers {
    /// Notes that a peer asks; its latest question counts.
    pub(super) fn ask(&mut self, from: SocketAddr, question: Question) {
        if let Some((_, known)) = self.waiting.iter_mut().find(|(at, _)| *at == from) {
            *known = question;
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((from, question));
        }
    }

    /// Gives when the next answer is due; `None` while nobody waits or not all is known.
    ///
    /// Who is told of few instances takes more of the accounts' limits for its own than it may.
    pub(super) fn next(&self, reads: &SharedReads, book: &PeerBook) -> Option<Time> {
        let can_answer = reads.is_known() && book.was_listed();
        let due = can_answer && !self.waiting.is_empty();
        due.then(|| self.sent_at + ANSWER_PAUSE)
    }
}

impl Beacons {
    /// Answers the peer that has waited longest.
    pub(super) async fn answer_next(&self, answers: &mut Answers) {
        let Some((from, question)) = answers.waiting.pop_front() else {
            return;
        };
        let now = self.clock.now();
        answers.sent_at = now;
        let Some(state) = self.state_for(question, now, &mut answers.made) else {
            return;
        };
        let reads = self.reads.own();
        let body = answer_body(&self.member, question.asked, now, reads, state);
        self.send_to(&seal(&self.key, body), "", from).await;
    }

    /// Gives the deflated state that a question asks for.
    fn state_for(&self, question: Question, now: Time, made: &mut Option<Made>) -> Option<Vec<u8>> {
        let reads = self.reads.own();
        let basis = Basis {
            topics: question.topics,
            instances: question.instances,
            version: reads.version,
            endpoints_next: reads.endpoints_next,
        };
        let fits = |m: &&mut Made| m.basis == basis && m.at + REUSE > now;
        if let Some(made) = made.as_mut().filter(fits) {
            return made.state.clone();
        }
        let state = self.known_state(question, now).deflate();
        if state.is_none() {
            warn!(self.log, "what is known is too long to be told"; "version" => reads.version);
        }
        *made = Some(Made {
            basis,
            at: now,
            state: state.clone(),
        });
        state
    }

    fn known_state(&self, question: Question, now: Time) -> KnownState {
        let topics = if question.topics {
            self.reads.images()
        } else {
            Vec::new()
        };
        let instances = if question.instances {
            self.known_instances(now)
        } else {
            Vec::new()
        };
        KnownState { topics, instances }
    }

    /// Gives all instances that are known, this one among them.
    fn known_instances(&self, now: Time) -> Vec<PeerAddress> {
        self.book.sweep(now);
        let mut known = self.book.known();
        if let Ok(address) = self.socket.local_addr() {
            known.push(KnownPeer {
                name: self.member.name.clone(),
                address,
                zone: self.book.zone().to_owned(),
            });
        }
        known.iter().map(write_address).collect()
    }
}
