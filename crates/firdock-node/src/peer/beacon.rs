//! Exchange of heartbeats over UDP. Each datagram is called a beacon.
//!
//! Beacons carry running totals, so the next one makes up for a lost one, and there is no
//! connection that can hang after a silent network failure. A beacon also lists other instances
//! that its sender knows, so that one reachable address is enough to discover all instances (see
//! `docs/design/peers.md`).

mod bootstrap;
mod receive;
mod reply;
mod targets;
mod usage;

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::Offset;
use firdock_policy::event::{AccountWork, Member, PoolDemand};
use firdock_policy::rollout::{Evidence, Stage};
use firdock_policy::table::Revision;
use firdock_policy::usage::UseAggregator;
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{Beacon, datagram};
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use self::bootstrap::Bootstrap;
use self::reply::ReplyQueue;
pub use self::targets::BeaconTargets;
use self::usage::ReportedUse;
use super::datagram::{seal, write_address, write_reads, write_uses};
use super::directory::{PeerDirectory, PeerRecord, ReadRole};
use super::heartbeat::{SelfStatus, write_demand, write_work};
use super::parts::PartialReplies;
use super::reads::SharedReads;
use super::rollouts::{write_evidence, write_statuses};
use super::send_times::SendTimes;
use super::sharing::records_body;
use super::topic::TopicRecords;
use crate::clock::{Clock, millis};
use crate::input::Input;
use crate::streams::SharedStreams;
use crate::telemetry::{LogKind, LogLimiter, ReadLog};

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Maximum number of other instances listed in one beacon. The selection is random, so that all are
/// listed over several beacons.
const MAX_LISTED_PEERS: usize = 16;
/// Ticks between two beacons that list other instances. Membership changes rarely, and traffic
/// between availability zones is billed.
const LIST_PEERS_EVERY: usize = 5;
/// Ticks between two updates of the metrics on reads of the store.
const PUBLISH_READS_EVERY: usize = 5;
/// Ticks between two log lines on reads of the store.
const LOG_READS_EVERY: usize = 50;
/// Ticks after which the known instances are assumed to be complete even if no list was received.
const ASSUME_LISTED_TICKS: usize = 10;

/// Pause after a failed receive, since the next one may fail at once for as long as the cause lasts.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Store records that this instance applied, to be forwarded to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecords {
    /// Records.
    pub records: TopicRecords,
    /// Whether this instance read them from the store itself. Records received from a peer are
    /// forwarded by group leads only.
    pub read_locally: bool,
}

/// Group-wide totals that the lead of a group reports.
#[derive(Debug, Default)]
struct GroupTotals {
    /// Live instances of the group.
    group_live: usize,
    /// Live instances of all groups, as reported by their leads.
    site_live: usize,
    /// Known instances of the group and of all groups, whether live or not.
    group_size: usize,
    site_size: usize,
    /// Demand of the group, by pool.
    group_demand: Vec<PoolDemand>,
    /// Roll-out evidence that the group collected.
    group_evidence: Vec<Evidence>,
    /// Work that endpoints did for client accounts on requests that the group placed.
    group_work: Vec<AccountWork>,
}

/// Sends and receives beacons.
#[derive(Debug)]
pub struct BeaconService {
    /// UDP socket, used for both directions.
    pub socket: Arc<UdpSocket>,
    /// Name and incarnation of this instance.
    pub member: Member,
    /// Key shared by all instances.
    pub key: Arc<[u8]>,
    /// Other instances.
    pub directory: Arc<PeerDirectory>,
    /// Read state of the platform's store, from own reads and from peers' reports.
    pub reads: Arc<SharedReads>,
    /// Status that this instance reports to its peers.
    pub self_status: watch::Receiver<SelfStatus>,
    /// Store changes that this instance applied, to be forwarded to its peers.
    pub changes: mpsc::Receiver<AppliedRecords>,
    /// Addresses of the instances to query first at start.
    pub seeds: Vec<SocketAddr>,
    /// Aggregated use of account limits, maintained while this instance leads a group.
    pub sums: Mutex<UseAggregator>,
    /// Replies that were received in part.
    pub partial_replies: Mutex<PartialReplies>,
    /// Estimates of when peers sent their beacons.
    pub send_times: Mutex<SendTimes>,
    /// Writes when the topics of the store were last read.
    pub read_log: ReadLog,
    /// Limits the number of log lines.
    pub log_limiter: Arc<LogLimiter>,
    /// Streams that callers may continue.
    pub streams: SharedStreams,
    /// Queue of inputs to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Interval between two beacons.
    pub interval: Duration,
    /// Bandwidth of this instance's network link in Mbit/s; 0 if unknown.
    pub link_mbits: f64,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
}

impl BeaconService {
    /// Sends and receives beacons until `stop` turns true. A last beacon announces that this
    /// instance stops.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut known = None;
        let mut decides = None;
        let mut self_status = self.self_status.clone();
        let mut urgent = UrgentState::default();
        let mut tick = 0;
        let mut replies = ReplyQueue::default();
        let mut receive_at = None;
        let mut bootstrap = Bootstrap::new(
            self.clock.now(),
            self.reads.asks_peers_first(),
            self.seeds.clone(),
            &self.member.name,
        );
        loop {
            let now = self.clock.now();
            tokio::select! {
                received = receive(&self.socket, self.clock, receive_at, &mut buffer) => match received {
                    Ok((len, from)) => {
                        receive_at = None;
                        let query = self.handle_datagram(&buffer[..len], from).await;
                        if query.is_some_and(|query| replies.enqueue(from, query)) {
                            self.send_delay_notice(from).await;
                        }
                    }
                    Err(e) => {
                        if self.may_log(LogKind::FailedReceive) {
                            warn!(self.log, "could not receive a datagram"; "error" => e.to_string());
                        }
                        receive_at = Some(self.clock.now() + RECEIVE_PAUSE);
                    }
                },
                _ = ticks.tick() => {
                    tick += 1;
                    self.directory.record_activity(self.clock.now());
                    decides = self.report_decides(decides).await;
                    self.send(tick).await;
                    self.report_reads(tick);
                    if tick >= ASSUME_LISTED_TICKS || self.directory.is_listed() {
                        known = self.report_known_count(known).await;
                    }
                }
                Some(applied) = self.changes.recv() => self.forward_changes(&applied).await,
                () = self.directory.wait_until_listed() => {
                    known = self.report_known_count(known).await;
                    self.send_at_once().await;
                }
                () = sleep_until_due(self.clock, bootstrap.next(now, &self.reads, &self.directory)) => {
                    self.send_query(&mut bootstrap).await;
                }
                () = sleep_until_due(self.clock, replies.next(&self.reads, &self.directory)) => {
                    self.send_next_reply(&mut replies).await;
                }
                Some(new) = wait_for_urgent_change(&mut self_status, &urgent) => {
                    let own = new.suspected.own != urgent.suspected.own
                        || new.limits.own != urgent.limits.own
                        || new.unconfirmed != urgent.unconfirmed;
                    urgent = new;
                    self.send_state_change(own).await;
                }
                () = self.streams.wait_for_pending() => self.send_stream_messages().await,
                () = sleep_until_due(self.clock, self.streams.send_at()) => self.send_stream_messages().await,
                () = self.reads.wait_for_change() => self.confirm_arrivals().await,
                () = stopped(&mut stop) => break,
            }
        }
        self.send_at_once().await;
    }

    fn may_log(&self, kind: LogKind) -> bool {
        self.log_limiter.allow(&self.log, self.clock.now(), kind)
    }

    /// Publishes when the topics of the store were last read, and logs it every `LOG_READS_EVERY` ticks.
    fn report_reads(&self, tick: usize) {
        if !tick.is_multiple_of(PUBLISH_READS_EVERY) {
            return;
        }
        let now = self.clock.now();
        let topics = self.reads.status();
        self.read_log.publish(now, &topics);
        if tick.is_multiple_of(LOG_READS_EVERY) {
            self.read_log.write(now, &topics);
        }
    }

    /// Tells processes that have just started of the first read after that, which confirms to them what
    /// they were told.
    async fn confirm_arrivals(&self) {
        if !self.reads.take_confirmed_arrivals() {
            return;
        }
        let role = self.directory.read_turn(self.clock.now()).role;
        if matches!(role, ReadRole::SiteLead | ReadRole::GroupLead) {
            self.send_at_once().await;
        }
    }

    /// Reports the number of known instances to the scheduler if it changed.
    async fn report_known_count(&self, before: Option<usize>) -> Option<usize> {
        let known = Some(self.directory.sweep(self.clock.now()));
        if let Some(count) = known.filter(|_| known != before) {
            info!(self.log, "instances known"; "count" => count, "before" => before);
            self.send_event(Event::PeersKnown(count)).await;
        }
        known
    }

    /// Sends the beacons that are due at a tick.
    async fn send(&self, tick: usize) {
        let now = self.clock.now();
        let due = BeaconTargets::at(tick, &self.directory, now);
        let listed = if tick.is_multiple_of(LIST_PEERS_EVERY) {
            self.directory.live_peers(now)
        } else {
            Vec::new()
        };
        let (for_group, for_leads) = self.aggregate_use(tick, now).await;
        self.send_all(&due.same_group, &listed, &for_group).await;
        self.send_all(&due.leads, &listed, &for_leads).await;
        self.send_far(&due.far).await;
    }

    /// Sends short beacons to peers of other groups that are no leads. The leads of their groups
    /// forward the rest, and traffic between availability zones is billed.
    async fn send_far(&self, peers: &[PeerRecord]) {
        if peers.is_empty() {
            return;
        }
        let beacon = if self.directory.is_single_group() {
            self.beacon(&[], &ReportedUse::Nothing)
        } else {
            self.short_beacon()
        };
        self.send_sealed(peers, beacon).await;
    }

    /// Announces a start or a stop at once to the peers that depend on it.
    async fn send_at_once(&self) {
        let due = BeaconTargets::at_once(&self.directory, self.clock.now());
        self.send_all(&due.same_group, &[], &ReportedUse::Nothing)
            .await;
        self.send_all(&due.leads, &[], &ReportedUse::Nothing).await;
    }

    /// Tells the scheduler whether this instance decides on roll-outs, if that changed. The site
    /// lead decides, as far as this instance can tell from the live instances.
    async fn report_decides(&self, before: Option<bool>) -> Option<bool> {
        let decides = self.directory.read_turn(self.clock.now()).role == ReadRole::SiteLead;
        if before != Some(decides) {
            self.send_event(Event::Decides(decides)).await;
        }
        Some(decides)
    }

    /// Sends beacons after a roll-out changed its stage, an endpoint exited during a request, or an
    /// endpoint's rate limit began or ended, if this instance observed that itself or reports for
    /// its group. Peers that have not learned of it yet would still dispatch to a bad version,
    /// dispatch such a request again, or send more than the limit allows.
    async fn send_state_change(&self, own: bool) {
        if own || self.directory.is_reporter(self.clock.now()) {
            self.send_at_once().await;
        }
    }

    fn send_times(&self) -> MutexGuard<'_, SendTimes> {
        self.send_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn partial_replies(&self) -> MutexGuard<'_, PartialReplies> {
        self.partial_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a beacon that lists `listed` and includes the use of limits; builds none if there are
    /// no receivers.
    async fn send_all(
        &self,
        peers: &[PeerRecord],
        listed: &[PeerRecord],
        use_report: &ReportedUse,
    ) {
        if peers.is_empty() {
            return;
        }
        let beacon = self.beacon(listed, use_report);
        self.send_sealed(peers, beacon).await;
    }

    /// Sends a beacon to an instance on first contact, including the updates that it may have
    /// missed.
    async fn send_first_beacon(&self, peer: &PeerRecord) {
        let full = self.self_status.borrow().in_full();
        let beacon = Beacon {
            heartbeat: Some(full.message(self.clock.now(), 0)),
            ..self.beacon(&[], &ReportedUse::Nothing)
        };
        self.send_sealed(std::slice::from_ref(peer), beacon).await;
    }

    /// Sends a beacon, completed with the read state for each peer.
    async fn send_sealed(&self, peers: &[PeerRecord], beacon: Beacon) {
        let now = self.clock.now();
        for peer in peers {
            let (reads, echo) = self.reads.report_for(now, &peer.name);
            let beacon = Beacon {
                reads: Some(write_reads(reads)),
                read_echo: echo.map(|(process, echo)| echo.write(process)),
                ..beacon.clone()
            };
            let sealed = seal(&self.key, datagram::Body::Beacon(beacon));
            self.send_to(&sealed, &peer.name, peer.address).await;
        }
    }

    /// Forwards store changes to the peers that rely on this instance for them.
    async fn forward_changes(&self, applied: &AppliedRecords) {
        let now = self.clock.now();
        if !applied.read_locally && !self.directory.is_lead(now) {
            return;
        }
        // Peers query changes that exceed a datagram, or read them from the store.
        let Some(body) = records_body(&self.member, &applied.records) else {
            return;
        };
        let leads = self.directory.group_leads(now);
        let sealed = seal(&self.key, body);
        for (peer, _) in self
            .directory
            .select(&leads, |relation| relation.same_group || relation.lead)
        {
            self.send_to(&sealed, &peer.name, peer.address).await;
        }
    }

    pub(super) async fn send_to(&self, sealed: &[u8], name: &str, address: SocketAddr) {
        if let Err(e) = self.socket.send_to(sealed, address).await {
            debug!(self.log, "could not send a datagram"; "peer" => name, "error" => e.to_string());
        }
    }

    fn beacon(&self, peers: &[PeerRecord], use_report: &ReportedUse) -> Beacon {
        let self_status = self.self_status.borrow();
        let now = self.clock.now();
        let totals = self.group_totals(now, &self_status);
        let reports = !self.directory.is_single_group() && self.directory.is_reporter(now);
        let heartbeat = if reports {
            self_status.as_lead().message(now, 0)
        } else {
            self_status.message(now, 0)
        };
        let start = usize::from(rand::random::<u16>()) % peers.len().max(1);
        let listed = peers.iter().cycle().skip(start).take(peers.len());
        let mut beacon = Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(heartbeat),
            used: write_uses(&self_status.used),
            peers: listed.take(MAX_LISTED_PEERS).map(write_address).collect(),
            group_heard: totals.group_live as u32,
            site_heard: totals.site_live as u32,
            group_known: totals.group_size as u32,
            site_known: totals.site_size as u32,
            group_demand: write_demand(&totals.group_demand),
            power: self.directory.millicores(),
            rollouts: write_statuses(&self_status.rollouts.statuses),
            rollout_seen: write_evidence(&self_status.rollouts.own),
            group_rollout_seen: write_evidence(&totals.group_evidence),
            group_work: write_work(&totals.group_work),
            sent_at: millis(now),
            ..Beacon::default()
        };
        use_report.write(&mut beacon);
        beacon
    }

    /// Builds a beacon that contains only this instance's presence and demand.
    fn short_beacon(&self) -> Beacon {
        let self_status = self.self_status.borrow();
        Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(self_status.short_message()),
            power: self.directory.millicores(),
            ..Beacon::default()
        }
    }

    /// Returns the totals of this instance's group; empty if it does not report for a group or is
    /// draining.
    fn group_totals(&self, now: Time, self_status: &SelfStatus) -> GroupTotals {
        if self.directory.is_single_group()
            || self_status.draining
            || !self.directory.is_reporter(now)
        {
            return GroupTotals::default();
        }
        GroupTotals {
            group_live: self.directory.group_live(now),
            site_live: self.directory.site_live(now),
            group_size: self.directory.group_size(),
            site_size: self.directory.site_size(now),
            group_demand: self.directory.group_demand(now, &self_status.demand),
            group_evidence: self_status.rollouts.group.clone(),
            group_work: self_status.work.clone(),
        }
    }

    async fn send_event(&self, event: Event) {
        self.send_input(Input::Event(event)).await;
    }

    async fn send_input(&self, input: Input) {
        // Sending fails only if the scheduler ended, in which case this task is stopped as well.
        let _ = self.inputs.send(input).await;
    }
}

/// State whose changes are sent at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct UrgentState {
    /// Stage of each roll-out, by its order.
    stages: Vec<(Offset, Stage)>,
    /// Revision of the requests during which endpoints exited.
    suspected: Revision,
    /// Revision of the rate limits of endpoints.
    limits: Revision,
    /// Number of starts of endpoints that this instance could not confirm.
    unconfirmed: u64,
}

impl UrgentState {
    fn new(self_status: &SelfStatus) -> Self {
        Self {
            stages: self_status.stages(),
            suspected: self_status.suspected,
            limits: self_status.limits_revision,
            unconfirmed: self_status.unconfirmed_found,
        }
    }
}

/// Waits until the state differs from `previous` and returns the new state.
async fn wait_for_urgent_change(
    self_status: &mut watch::Receiver<SelfStatus>,
    previous: &UrgentState,
) -> Option<UrgentState> {
    let self_status = self_status
        .wait_for(|self_status| UrgentState::new(self_status) != *previous)
        .await;
    self_status
        .ok()
        .map(|self_status| UrgentState::new(&self_status))
}

/// Receives a datagram, not before `after`.
async fn receive(
    socket: &UdpSocket,
    clock: Clock,
    after: Option<Time>,
    buffer: &mut [u8],
) -> io::Result<(usize, SocketAddr)> {
    if let Some(after) = after {
        clock.sleep_until(after).await;
    }
    socket.recv_from(buffer).await
}

/// Waits until `due`, or forever if it is `None`.
async fn sleep_until_due(clock: Clock, due: Option<Time>) {
    match due {
        Some(due) => clock.sleep_until(due).await,
        None => pending().await,
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops this task as well.
    let _ = stop.wait_for(|s| *s).await;
}

/// Binds the UDP socket for beacons.
///
/// # Errors
///
/// Returns the error of the operating system, such as an address in use.
pub async fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
