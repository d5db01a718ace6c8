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
use crate::peer::datagram::{seal, write_address};
use crate::peer::directory::{PeerDirectory, PeerRecord};
use crate::peer::parts::{MissingParts, StateId, count_parts, state_part};
use crate::peer::reads::{ReadState, SharedReads};
use crate::peer::sharing::{ReplyPart, StateQuery, StoreSnapshot, delay_notice_body, reply_body};

/// Minimum delay between two replies. A reply of about 8 KB takes 3 ms on a link of 20 Mbit/s and
/// arrives spread over the link's queue.
const MIN_REPLY_DELAY: Duration = Duration::from_millis(2);
/// Share of this instance's bandwidth that replies may use. Datagrams dropped by a saturated link
/// have to be queried again.
const LINK_SHARE: f64 = 0.7;
/// Bandwidth in Mbit/s that is assumed if the settings name none; most instances have this.
const DEFAULT_LINK_MBITS: f64 = 20.0;
/// Size of the compressed topics up to which every querying instance receives them directly: about
/// 600 endpoints. With 300 instances and 3,000 endpoints, each of the three seeds would send 35 KB
/// to 100 instances, which takes 3 s on a link of 10 Mbit/s, and most of it between availability
/// zones.
const MAX_DIRECT_BYTES: usize = 8 << 10;
/// Maximum number of queued peers: as many as the peer directory holds.
const MAX_QUEUED: usize = MAX_PEERS;
/// Time for which a built state is kept, so that lost parts of it can be sent again.
const KEEP_STATE: Duration = Duration::from_secs(5);
/// Queue length beyond which a peer is told that its reply will be delayed. A shorter queue is
/// served before a starting instance queries the next seed.
const DELAY_NOTICE_LENGTH: usize = 128;
/// Maximum number of states kept; each has about 60 KB on a large site.
const MAX_KEPT_STATES: usize = 8;
/// Time for which a state is reused for the same query, although instances may have joined since.
const REUSE_STATE: Duration = Duration::from_millis(250);

/// What a state was built from; it can be reused while this is the same.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StateKey {
    topics: bool,
    /// Availability zone whose instances are included; `None` if none are.
    instances: Option<ZoneId>,
    any_size: bool,
    version: u64,
    config_next: Offset,
    endpoints_next: Offset,
}

/// A state that was built for a reply.
#[derive(Debug)]
struct BuiltState {
    key: StateKey,
    at: Time,
    id: StateId,
    /// Read state of the store at the time of the reply.
    reads: ReadState,
    state: Vec<u8>,
    /// Whether the topics are left out because they are too large.
    topics_omitted: bool,
    /// Number of instances of the site.
    site_size: usize,
    /// Number of parts in which it is sent; `None` if it is too large to be sent.
    parts: Option<u32>,
}

/// A peer that waits for a reply, or for the rest of one.
#[derive(Debug)]
struct QueuedQuery {
    from: SocketAddr,
    query: StateQuery,
}

/// Queue of peers that wait for a reply, and the states built last.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    queue: VecDeque<QueuedQuery>,
    /// When the next reply may be sent.
    next_at: Time,
    /// States built last: for starting instances and for descendants in the tree of a zone.
    states: Vec<BuiltState>,
    /// Number of states built so far, from which their IDs are taken.
    built_count: StateId,
}

impl ReplyQueue {
    /// Queues a peer's query; a newer query of the same peer replaces the older one.
    ///
    /// Returns whether the queue is so long that the peer should be told of the delay.
    pub(super) fn enqueue(&mut self, from: SocketAddr, query: StateQuery) -> bool {
        if let Some(queued) = self.queue.iter_mut().find(|w| w.from == from) {
            queued.query = query;
        } else if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(QueuedQuery { from, query });
        }
        self.queue.len() > DELAY_NOTICE_LENGTH
    }

    /// Returns when the next reply is due; `None` if the queue is empty or this instance's own
    /// knowledge is incomplete.
    ///
    /// An instance that receives an incomplete list of instances would take too large a share of
    /// the accounts' limits.
    pub(super) fn next(&self, reads: &SharedReads, directory: &PeerDirectory) -> Option<Time> {
        let can_answer = reads.is_complete() && directory.is_listed();
        let due = can_answer && !self.queue.is_empty();
        due.then_some(self.next_at)
    }

    /// Returns the index of the state whose parts are queried, if it is still kept.
    fn kept_index(&self, missing: Option<&MissingParts>) -> Option<usize> {
        let id = missing?.state;
        self.states.iter().position(|m| m.id == id)
    }

    fn keep(&mut self, built: BuiltState) -> usize {
        if self.states.len() >= MAX_KEPT_STATES {
            self.states.remove(0);
        }
        self.states.push(built);
        self.states.len() - 1
    }
}

impl BeaconService {
    /// Sends the next part of the reply to the first peer in the queue.
    pub(super) async fn send_next_reply(&self, replies: &mut ReplyQueue) {
        let Some(QueuedQuery { from, mut query }) = replies.queue.pop_front() else {
            return;
        };
        let now = self.clock.now();
        replies.states.retain(|m| m.at + KEEP_STATE > now);
        let missing_parts = query.missing.take();
        if !self.directory.is_partial() {
            // All instances are listed to everyone, so one reply serves all zones.
            query.zone.clear();
        }
        let at = match replies.kept_index(missing_parts.as_ref()) {
            Some(at) => at,
            None => self.state_for(&query, now, replies),
        };
        let built = &replies.states[at];
        let Some(parts) = built.parts else {
            return;
        };
        let missing_parts = missing_parts.filter(|l| l.state == built.id);
        let mut missing: Vec<u32> =
            missing_parts.map_or_else(|| (0..parts).collect(), |missing| missing.parts);
        missing.retain(|part| *part < parts);
        if missing.is_empty() {
            return;
        }
        let part = missing.remove(0);
        let part_message = ReplyPart {
            reads: built.reads,
            state: built.id,
            part,
            parts,
            bytes: state_part(&built.state, part).to_vec(),
            topics_omitted: built.topics_omitted,
            site_size: built.site_size,
        };
        replies.next_at = now + self.send_time(part_message.bytes.len());
        let query_sent_at = query.sent_at;
        if !missing.is_empty() {
            // The remaining parts go before the replies to others, since an incomplete reply is of
            // no use.
            query.missing = Some(MissingParts {
                state: built.id,
                parts: missing,
            });
            replies.queue.push_front(QueuedQuery { from, query });
        }
        let body = reply_body(&self.member, query_sent_at, now, part_message);
        self.send_to(&seal(&self.key, body), "", from).await;
    }

    /// Tells a peer that its reply will be delayed by the queue.
    pub(super) async fn send_delay_notice(&self, to: SocketAddr) {
        let body = delay_notice_body(&self.member);
        self.send_to(&seal(&self.key, body), "", to).await;
    }

    /// Returns the time that sending `bytes` takes on this instance's link.
    fn send_time(&self, bytes: usize) -> Duration {
        let link = if self.link_mbits > 0.0 {
            self.link_mbits
        } else {
            DEFAULT_LINK_MBITS
        };
        let secs = bytes as f64 * 8.0 / (link * 1e6 * LINK_SHARE);
        MIN_REPLY_DELAY.max(Duration::from_secs_f64(secs))
    }

    /// Returns the index of the state that answers a query, building it if no kept one is still
    /// valid.
    fn state_for(&self, query: &StateQuery, now: Time, replies: &mut ReplyQueue) -> usize {
        let reads = self.reads.own();
        let key = StateKey {
            topics: query.topics,
            instances: query.instances.then(|| query.zone.clone()),
            any_size: query.any_size,
            version: reads.version,
            config_next: reads.config_next,
            endpoints_next: reads.endpoints_next,
        };
        let states = replies.states.iter_mut();
        let mut states = states.enumerate().filter(|(_, m)| m.key == key);
        if let Some((at, built)) = states.find(|(_, m)| m.at + REUSE_STATE > now) {
            built.reads = reads;
            return at;
        }
        let (state, topics_omitted) = self.build_state(query, now).unwrap_or_default();
        let parts = count_parts(state.len());
        if parts.is_none() {
            warn!(self.log, "store content is too large for a reply to peers"; "version" => reads.version,
                "bytes" => state.len());
        }
        replies.built_count += 1;
        replies.keep(BuiltState {
            key,
            at: now,
            id: replies.built_count,
            reads,
            state,
            topics_omitted,
            site_size: 1 + self.directory.count(now),
            parts,
        })
    }

    /// Builds the state for a query and returns whether large topics were left out of it. An
    /// instance that also queries the list of instances learns from that where else to query large
    /// topics.
    fn build_state(&self, query: &StateQuery, now: Time) -> Option<(Vec<u8>, bool)> {
        let any_size = query.any_size || !query.instances || !query.topics;
        if any_size || !self.directory.is_partial() {
            let all = self.snapshot(query, now).compress()?;
            if any_size || all.len() <= MAX_DIRECT_BYTES || self.directory.is_single_group() {
                return Some((all, false));
            }
        }
        let instances = StateQuery {
            topics: false,
            ..query.clone()
        };
        let state = self.snapshot(&instances, now).compress()?;
        Some((state, true))
    }

    fn snapshot(&self, query: &StateQuery, now: Time) -> StoreSnapshot {
        let topics = if query.topics {
            self.reads.snapshots()
        } else {
            Vec::new()
        };
        let instances = if query.instances {
            self.listed_instances(&query.zone, now)
        } else {
            Vec::new()
        };
        StoreSnapshot { topics, instances }
    }

    /// Returns the instances listed to a peer in `zone`, including this one.
    fn listed_instances(&self, zone: &str, now: Time) -> Vec<PeerAddress> {
        self.directory.sweep(now);
        let mut listed = self.directory.peers_for_zone(zone);
        if let Ok(address) = self.socket.local_addr() {
            listed.push(PeerRecord {
                name: self.member.name.clone(),
                address,
                zone: self.directory.zone().to_owned(),
                millicores: self.directory.millicores(),
            });
        }
        listed.iter().map(write_address).collect()
    }
}
