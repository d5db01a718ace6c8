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
use crate::peer::known::{KnownState, Question, Told, answer_body};
use crate::peer::reads::SharedReads;

/// Shortest pause between two answers: some 8 KB each are 3 ms of a link of 20 Mbit/s, to which they come
/// spread over its queue.
const ANSWER_PAUSE: Duration = Duration::from_millis(2);
/// Part of the own link that answers use: what a full link drops has to be asked for again.
const LINK_PART: f64 = 0.7;
/// Link that is assumed where the settings name none, in Mbit/s: that of most instances of the users' sites.
const LINK_GUESS: f64 = 20.0;
/// Bytes of deflated topics up to which everyone is told them that asks: some 600 endpoints. Three
/// instances are asked first; of 300 before 3,000 endpoints each would send 100 times 35 KB, which
/// takes a link of 10 Mbit/s three seconds, and most of it between zones.
const DIRECT_BYTES: usize = 8 << 10;
/// Peers that wait for an answer at most: as many as there are instances that are kept.
const MAX_WAITING: usize = 512;
/// Time for which one answer serves all that ask for the same, though instances came meanwhile.
const REUSE: Duration = Duration::from_millis(250);

/// What an answer was made from: it serves again while that is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    topics: bool,
    instances: bool,
    whole: bool,
    version: u64,
    config_next: Offset,
    endpoints_next: Offset,
}

/// An answer that was made.
#[derive(Debug)]
struct Made {
    basis: Basis,
    at: Time,
    /// What it tells; `None` where that is too long.
    told: Option<Told>,
}

/// Peers that wait for an answer, and the last one that was made.
#[derive(Debug, Default)]
pub(super) struct Answers {
    waiting: VecDeque<(SocketAddr, Question)>,
    /// When the next answer may be sent.
    free_at: Time,
    /// Answers that were made: those to who starts, and to who takes part in a tree.
    made: Vec<Made>,
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
        due.then_some(self.free_at)
    }
}

impl Beacons {
    /// Answers the peer that has waited longest.
    pub(super) async fn answer_next(&self, answers: &mut Answers) {
        let Some((from, question)) = answers.waiting.pop_front() else {
            return;
        };
        let now = self.clock.now();
        let Some(told) = self.told_for(question, now, &mut answers.made) else {
            return;
        };
        answers.free_at = now + self.sending_time(told.state.len());
        let reads = self.reads.own();
        let body = answer_body(&self.member, question.asked, now, reads, told);
        self.send_to(&seal(&self.key, body), "", from).await;
    }

    /// Gives the time that an answer takes of the own link.
    fn sending_time(&self, bytes: usize) -> Duration {
        let link = if self.link > 0.0 {
            self.link
        } else {
            LINK_GUESS
        };
        let secs = bytes as f64 * 8.0 / (link * 1e6 * LINK_PART);
        ANSWER_PAUSE.max(Duration::from_secs_f64(secs))
    }

    /// Gives what a question is answered by.
    fn told_for(&self, question: Question, now: Time, made: &mut Vec<Made>) -> Option<Told> {
        let reads = self.reads.own();
        let basis = Basis {
            topics: question.topics,
            instances: question.instances,
            whole: question.whole,
            version: reads.version,
            config_next: reads.config_next,
            endpoints_next: reads.endpoints_next,
        };
        made.retain(|m| m.at + REUSE > now);
        if let Some(made) = made.iter().find(|m| m.basis == basis) {
            return made.told.clone();
        }
        let told = self.make(question, now);
        if told.is_none() {
            warn!(self.log, "what is known is too long to be told"; "version" => reads.version);
        }
        made.push(Made {
            basis,
            at: now,
            told: told.clone(),
        });
        told
    }

    /// Makes an answer; who asks for the instances as well is told where else to ask for long topics.
    fn make(&self, question: Question, now: Time) -> Option<Told> {
        let all = self.known_state(question, now).deflate();
        let direct = question.whole || !question.instances || !question.topics;
        let fits = all.as_ref().is_some_and(|s| s.len() <= DIRECT_BYTES);
        if direct || fits || self.book.is_small() {
            return all.map(|state| Told {
                state,
                large: false,
            });
        }
        let instances = Question {
            topics: false,
            ..question
        };
        let state = self.known_state(instances, now).deflate()?;
        Some(Told { state, large: true })
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
                power: self.book.power(),
            });
        }
        known.iter().map(write_address).collect()
    }
}
