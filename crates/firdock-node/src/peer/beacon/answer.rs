//! Replies to peers that query the read state and content of the platform's store.
//!
//! If all instances start at the same time, about a hundred query the same few seeds within a tenth
//! of a second. A reply is built once for all of them and sent to one after another, so that a link
//! of 20 Mbit/s is not overloaded: datagrams dropped by a saturated link have to be queried again.

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

/// Minimum delay between two replies. A reply of about 8 KB takes 3 ms on a link of 20 Mbit/s and
/// arrives spread over the link's queue.
const ANSWER_PAUSE: Duration = Duration::from_millis(2);
/// Share of this instance's bandwidth that replies may use. Datagrams dropped by a saturated link
/// have to be queried again.
const LINK_PART: f64 = 0.7;
/// Bandwidth in Mbit/s that is assumed if the settings name none; most instances have this.
const LINK_GUESS: f64 = 20.0;
/// Size of the compressed topics up to which every querying instance receives them directly: about
/// 600 endpoints. With 300 instances and 3,000 endpoints, each of the three seeds would send 35 KB
/// to 100 instances, which takes 3 s on a link of 10 Mbit/s, and most of it between availability
/// zones.
const DIRECT_BYTES: usize = 8 << 10;
/// Maximum number of queued peers: as many as the peer directory holds.
const MAX_WAITING: usize = MAX_PEERS;
/// Time for which a built state is kept, so that lost parts of it can be sent again.
const KEEP: Duration = Duration::from_secs(5);
/// Queue length beyond which a peer is told that its reply will be delayed. A shorter queue is
/// served before a starting instance queries the next seed.
const QUEUED_BEYOND: usize = 128;
/// Maximum number of states kept; each has about 60 KB on a large site.
const MAX_MADE: usize = 8;
/// Time for which a state is reused for the same query, although instances may have joined since.
const REUSE: Duration = Duration::from_millis(250);

/// What a state was built from; it can be reused while this is the same.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Basis {
    topics: bool,
    /// Availability zone whose instances are included; `None` if none are.
    instances: Option<ZoneId>,
    whole: bool,
    version: u64,
    config_next: Offset,
    endpoints_next: Offset,
}

/// A state that was built for a reply.
#[derive(Debug)]
struct Made {
    basis: Basis,
    at: Time,
    id: StateId,
    /// Read state of the store at the time of the reply.
    reads: ReadState,
    state: Vec<u8>,
    /// Whether the topics are left out because they are too large.
    large: bool,
    /// Number of instances of the site.
    known: usize,
    /// Number of parts in which it is sent; `None` if it is too large to be sent.
    parts: Option<u32>,
}

/// A peer that waits for a reply, or for the rest of one.
#[derive(Debug)]
struct Waiting {
    from: SocketAddr,
    question: StateQuery,
}

/// Queue of peers that wait for a reply, and the states built last.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    waiting: VecDeque<Waiting>,
    /// When the next reply may be sent.
    free_at: Time,
    /// States built last: for starting instances and for descendants in the tree of a zone.
    made: Vec<Made>,
    /// Number of states built so far, from which their IDs are taken.
    count: StateId,
}

impl ReplyQueue {
    /// Queues a peer's query; a newer query of the same peer replaces the older one.
    ///
    /// Returns whether the queue is so long that the peer should be told of the delay.
    pub(super) fn ask(&mut self, from: SocketAddr, question: StateQuery) -> bool {
        if let Some(known) = self.waiting.iter_mut().find(|w| w.from == from) {
            known.question = question;
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(Waiting { from, question });
        }
        self.waiting.len() > QUEUED_BEYOND
    }

    /// Returns when the next reply is due; `None` if the queue is empty or this instance's own
    /// knowledge is incomplete.
    ///
    /// An instance that receives an incomplete list of instances would take too large a share of
    /// the accounts' limits.
    pub(super) fn next(&self, reads: &SharedReads, directory: &PeerDirectory) -> Option<Time> {
        let can_answer = reads.is_known() && directory.is_listed();
        let due = can_answer && !self.waiting.is_empty();
        due.then_some(self.free_at)
    }

    /// Returns the index of the state whose parts are queried, if it is still kept.
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
    /// Sends the next part of the reply to the first peer in the queue.
    pub(super) async fn answer_next(&self, answers: &mut ReplyQueue) {
        let Some(Waiting { from, mut question }) = answers.waiting.pop_front() else {
            return;
        };
        let now = self.clock.now();
        answers.made.retain(|m| m.at + KEEP > now);
        let asked_for = question.missing.take();
        if !self.directory.is_partial() {
            // All instances are listed to everyone, so one reply serves all zones.
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
            // The remaining parts go before the replies to others, since an incomplete reply is of
            // no use.
            question.missing = Some(MissingParts {
                state: made.id,
                parts: missing,
            });
            answers.waiting.push_front(Waiting { from, question });
        }
        let body = answer_body(&self.member, asked, now, told);
        self.send_to(&seal(&self.key, body), "", from).await;
    }

    /// Tells a peer that its reply will be delayed by the queue.
    pub(super) async fn tell_queued(&self, to: SocketAddr) {
        let body = queued_body(&self.member);
        self.send_to(&seal(&self.key, body), "", to).await;
    }

    /// Returns the time that sending `bytes` takes on this instance's link.
    fn sending_time(&self, bytes: usize) -> Duration {
        let link = if self.link_mbits > 0.0 {
            self.link_mbits
        } else {
            LINK_GUESS
        };
        let secs = bytes as f64 * 8.0 / (link * 1e6 * LINK_PART);
        ANSWER_PAUSE.max(Duration::from_secs_f64(secs))
    }

    /// Returns the index of the state that answers a query, building it if no kept one is still
    /// valid.
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
            warn!(self.log, "store content is too large for a reply to peers"; "version" => reads.version,
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

    /// Builds the state for a query and returns whether large topics were left out of it. An
    /// instance that also queries the list of instances learns from that where else to query large
    /// topics.
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

    /// Returns the instances listed to a peer in `zone`, including this one.
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
