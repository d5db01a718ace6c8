//! Answers to peers that ask what this instance knows of the platform's store.
//!
//! Where all instances start at one moment, some hundred ask the same few in the same tenth of a
//! second. The answer is made once for all of them, and they are answered one after another, so that
//! a link of 20 Mbit/s is not overrun: datagrams that a full link drops have to be asked for again.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{Offset, ZoneId};
use firdock_policy::Time;
use firdock_policy::table::peer::MAX_PEERS;
use firdock_wire::message::PeerAddress;
use slog::warn;

use super::BeaconService;
use crate::peer::book::{PeerDirectory, PeerRecord};
use crate::peer::datagram::{seal, write_address};
use crate::peer::known::{KnownState, StateQuery, ToldPart, answer_body, queued_body};
use crate::peer::parts::{MissingParts, StateId, count_parts, state_part};
use crate::peer::reads::{ReadState, SharedReads};

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
const MAX_WAITING: usize = MAX_PEERS;
/// Time for which a state is kept, so that parts of it that were lost can be told again.
const KEEP: Duration = Duration::from_secs(5);
/// Peers that wait for an answer beyond which others are told that theirs will take a while: these are
/// answered before an instance that starts asks the next one.
const QUEUED_BEYOND: usize = 128;
/// States that are kept: some 60 KB each where a site is large.
const MAX_MADE: usize = 8;
/// Time for which one answer serves all that ask for the same, though instances came meanwhile.
const REUSE: Duration = Duration::from_millis(250);

/// What an answer was made from: it serves again while that is the same.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Basis {
    topics: bool,
    /// Availability zone whose instances are told; `None` where none are.
    instances: Option<ZoneId>,
    whole: bool,
    version: u64,
    config_next: Offset,
    endpoints_next: Offset,
}

/// A state that was made to be told.
#[derive(Debug)]
struct Made {
    basis: Basis,
    at: Time,
    id: StateId,
    /// When it was the newest.
    reads: ReadState,
    state: Vec<u8>,
    /// Whether the topics are left out for their length.
    large: bool,
    /// How many instances there are.
    known: usize,
    /// Parts in which it goes; `None` where it is too long.
    parts: Option<u32>,
}

/// One who waits for an answer, or for the rest of it.
#[derive(Debug)]
struct Waiting {
    from: SocketAddr,
    question: StateQuery,
}

/// Peers that wait for an answer, and the last ones that were made.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    waiting: VecDeque<Waiting>,
    /// When the next answer may be sent.
    free_at: Time,
    /// States that were made: those for who starts, and for who takes part in a tree.
    made: Vec<Made>,
    /// How many were made.
    count: StateId,
}

impl ReplyQueue {
    /// Notes that a peer asks; its latest question counts.
    ///
    /// Tells whether so many wait that the peer is to know that its answer will take a while.
    pub(super) fn ask(&mut self, from: SocketAddr, question: StateQuery) -> bool {
        if let Some(known) = self.waiting.iter_mut().find(|w| w.from == from) {
            known.question = question;
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(Waiting { from, question });
        }
        self.waiting.len() > QUEUED_BEYOND
    }

    /// Gives when the next answer is due; `None` while nobody waits or not all is known.
    ///
    /// Who is told of few instances takes more of the accounts' limits for its own than it may.
    pub(super) fn next(&self, reads: &SharedReads, directory: &PeerDirectory) -> Option<Time> {
        let can_answer = reads.is_known() && directory.is_listed();
        let due = can_answer && !self.waiting.is_empty();
        due.then_some(self.free_at)
    }

    /// Gives the state of which parts are asked for, if it is still kept.
    fn kept(&self, missing: Option<&MissingParts>) -> Option<usize> {
        let id = missing?.state;
        self.made.iter().position(|m| m.id == id)
    }

    fn keep(&mut self, made: Made) -> usize {
        if self.made.len() >= MAX_MADE {
            self.made.remove(0);
        }
        self.made.push(made);
        self.made.len() - 1
    }
}

impl BeaconService {
    /// Answers the peer that has waited longest, by one part of the answer where it goes in several.
    pub(super) async fn answer_next(&self, answers: &mut ReplyQueue) {
        let Some(Waiting { from, mut question }) = answers.waiting.pop_front() else {
            return;
        };
        let now = self.clock.now();
        answers.made.retain(|m| m.at + KEEP > now);
        let asked_for = question.missing.take();
        if !self.directory.is_partial() {
            // All are told of all, by one answer for everyone.
            question.zone.clear();
        }
        let at = match answers.kept(asked_for.as_ref()) {
            Some(at) => at,
            None => self.state_for(&question, now, answers),
        };
        let made = &answers.made[at];
        let Some(parts) = made.parts else {
            return;
        };
        let asked_for = asked_for.filter(|l| l.state == made.id);
        let mut missing: Vec<u32> =
            asked_for.map_or_else(|| (0..parts).collect(), |missing| missing.parts);
        missing.retain(|part| *part < parts);
        if missing.is_empty() {
            return;
        }
        let part = missing.remove(0);
        let told = ToldPart {
            reads: made.reads,
            state: made.id,
            part,
            parts,
            bytes: state_part(&made.state, part).to_vec(),
            large: made.large,
            known: made.known,
        };
        answers.free_at = now + self.sending_time(told.bytes.len());
        let asked = question.asked;
        if !missing.is_empty() {
            // The rest goes before others' answers: half of an answer is of no use.
            question.missing = Some(MissingParts {
                state: made.id,
                parts: missing,
            });
            answers.waiting.push_front(Waiting { from, question });
        }
        let body = answer_body(&self.member, asked, now, told);
        self.send_to(&seal(&self.key, body), "", from).await;
    }

    /// Tells one that asks that many asked before.
    pub(super) async fn tell_queued(&self, to: SocketAddr) {
        let body = queued_body(&self.member);
        self.send_to(&seal(&self.key, body), "", to).await;
    }

    /// Gives the time that an answer takes of the own link.
    fn sending_time(&self, bytes: usize) -> Duration {
        let link = if self.link_mbits > 0.0 {
            self.link_mbits
        } else {
            LINK_GUESS
        };
        let secs = bytes as f64 * 8.0 / (link * 1e6 * LINK_PART);
        ANSWER_PAUSE.max(Duration::from_secs_f64(secs))
    }

    /// Gives the place of the state by which a question is answered, which is made unless one that still
    /// holds was.
    fn state_for(&self, question: &StateQuery, now: Time, answers: &mut ReplyQueue) -> usize {
        let reads = self.reads.own();
        let basis = Basis {
            topics: question.topics,
            instances: question.instances.then(|| question.zone.clone()),
            whole: question.whole,
            version: reads.version,
            config_next: reads.config_next,
            endpoints_next: reads.endpoints_next,
        };
        let known = answers.made.iter_mut();
        let mut known = known.enumerate().filter(|(_, m)| m.basis == basis);
        if let Some((at, made)) = known.find(|(_, m)| m.at + REUSE > now) {
            made.reads = reads;
            return at;
        }
        let (state, large) = self.make(question, now).unwrap_or_default();
        let parts = count_parts(state.len());
        if parts.is_none() {
            warn!(self.log, "what is known is too long to be told"; "version" => reads.version,
                "bytes" => state.len());
        }
        answers.count += 1;
        answers.keep(Made {
            basis,
            at: now,
            id: answers.count,
            reads,
            state,
            large,
            known: 1 + self.directory.count(now),
            parts,
        })
    }

    /// Makes the state that is told, and tells whether the topics are left out of it; who asks for the
    /// instances as well is told where else to ask for long topics.
    fn make(&self, question: &StateQuery, now: Time) -> Option<(Vec<u8>, bool)> {
        let direct = question.whole || !question.instances || !question.topics;
        if direct || !self.directory.is_partial() {
            let all = self.known_state(question, now).deflate()?;
            if direct || all.len() <= DIRECT_BYTES || self.directory.is_single_group() {
                return Some((all, false));
            }
        }
        let instances = StateQuery {
            topics: false,
            ..question.clone()
        };
        let state = self.known_state(&instances, now).deflate()?;
        Some((state, true))
    }

    fn known_state(&self, question: &StateQuery, now: Time) -> KnownState {
        let topics = if question.topics {
            self.reads.snapshots()
        } else {
            Vec::new()
        };
        let instances = if question.instances {
            self.known_instances(&question.zone, now)
        } else {
            Vec::new()
        };
        KnownState { topics, instances }
    }

    /// Gives the instances that one of `zone` is told of, this one among them.
    fn known_instances(&self, zone: &str, now: Time) -> Vec<PeerAddress> {
        self.directory.sweep(now);
        let mut known = self.directory.peers_for_zone(zone);
        if let Ok(address) = self.socket.local_addr() {
            known.push(PeerRecord {
                name: self.member.name.clone(),
                address,
                zone: self.directory.zone().to_owned(),
                millicores: self.directory.millicores(),
            });
        }
        known.iter().map(write_address).collect()
    }
}
