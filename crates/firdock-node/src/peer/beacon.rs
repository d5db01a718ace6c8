//! Heartbeats by datagram, between instances that know each other by address alone.
//!
//! A datagram that is lost costs nothing, for the next one tells the same totals; a link that was
//! cut silently cannot hang. Each tells of the other instances that its sender knows, so that one
//! known address is enough to find all (see `docs/design/peers.md`).

mod answer;
mod due;
mod meet;
mod take;
mod usage;

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::Offset;
use firdock_policy::event::{AccountWork, Member, PoolDemand};
use firdock_policy::rollout::{Evidence, Stage};
use firdock_policy::table::suspects::Revision;
use firdock_policy::usage::UseAggregator;
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{Beacon, datagram};
use slog::{Logger, debug, info};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use self::answer::ReplyQueue;
use self::due::PeersDue;
use self::meet::Meeting;
use self::usage::ToldUse;
use super::book::{PeerDirectory, PeerRecord, ReadRole};
use super::datagram::{seal, write_address, write_reads, write_uses};
use super::heartbeat::{SelfStatus, write_demand, write_work};
use super::known::records_body;
use super::parts::PartialReplies;
use super::reads::SharedReads;
use super::rollouts::{write_seen, write_words};
use super::topic::TopicRecords;
use crate::clock::Clock;
use crate::input::Input;

/// Longest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Instances told of in one beacon; over several, chance tells of all.
const MAX_TOLD: usize = 16;
/// Ticks between two beacons that tell of other instances: these come and go seldom, and the bytes
/// between availability zones are paid for.
const TELL_EVERY: usize = 5;
/// Ticks after which the instances heard are taken for all, though none were listed.
const LIST_TICKS: usize = 10;

/// Records that this instance took, for its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecords {
    /// The records.
    pub records: TopicRecords,
    /// Whether it read them itself; what a peer told is passed on by those that lead alone.
    pub read_locally: bool,
}

/// What the lead of a group tells of it.
#[derive(Debug, Default)]
struct LeadWord {
    /// Instances of the group that it hears.
    group_live: usize,
    /// Instances of all groups that their leads hear.
    site_live: usize,
    /// The same of those that it knows of, heard or not.
    group_size: usize,
    site_size: usize,
    /// Demand of the group.
    group_demand: Vec<PoolDemand>,
    /// What the group saw of roll-outs.
    group_seen: Vec<Evidence>,
    /// What endpoints did for accounts by what the group placed.
    group_work: Vec<AccountWork>,
}

/// What sending and taking beacons needs.
#[derive(Debug)]
pub struct BeaconService {
    /// Socket for both.
    pub socket: Arc<UdpSocket>,
    /// This instance and this start of it.
    pub member: Member,
    /// Key that all instances share.
    pub key: Arc<[u8]>,
    /// The other instances.
    pub directory: Arc<PeerDirectory>,
    /// What this instance read of the platform's store, with what peers told of theirs.
    pub reads: Arc<SharedReads>,
    /// What this instance tells of itself.
    pub self_status: watch::Receiver<SelfStatus>,
    /// Changes in the platform's store that this instance took, for its peers.
    pub changes: mpsc::Receiver<AppliedRecords>,
    /// Instances that are asked first at the start.
    pub seeds: Vec<SocketAddr>,
    /// Counts of what all instances let pass of limits, where this one leads.
    pub sums: Mutex<UseAggregator>,
    /// Answers of which parts came.
    pub partial_replies: Mutex<PartialReplies>,
    /// Way to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Pause between two beacons.
    pub interval: Duration,
    /// Link of this instance, in Mbit/s; 0 where that is not known.
    pub link_mbits: f64,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
}

impl BeaconService {
    /// Sends and takes beacons until `stop` turns true; a last one tells that this instance ends.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut known = None;
        let mut decides = None;
        let mut self_status = self.self_status.clone();
        let mut steps = Steps::default();
        let mut tick = 0;
        let mut answers = ReplyQueue::default();
        let mut meeting = Meeting::new(
            self.clock.now(),
            self.reads.asks_peers_first(),
            self.seeds.clone(),
            &self.member.name,
        );
        loop {
            let now = self.clock.now();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => {
                        let question = self.take(&buffer[..len], from).await;
                        if question.is_some_and(|question| answers.ask(from, question)) {
                            self.tell_queued(from).await;
                        }
                    }
                    Err(e) => debug!(self.log, "heartbeat not taken"; "error" => e.to_string()),
                },
                _ = ticks.tick() => {
                    tick += 1;
                    decides = self.tell_decides(decides).await;
                    self.send(tick).await;
                    if tick >= LIST_TICKS || self.directory.is_listed() {
                        known = self.count(known).await;
                    }
                }
                Some(taken) = self.changes.recv() => self.tell_changes(&taken).await,
                () = self.directory.wait_until_listed() => {
                    known = self.count(known).await;
                    self.send_at_once().await;
                }
                () = sleep_until_due(meeting.next(now, &self.reads, &self.directory), now) => {
                    self.ask_seed(&mut meeting).await;
                }
                () = sleep_until_due(answers.next(&self.reads, &self.directory), now) => {
                    self.answer_next(&mut answers).await;
                }
                Some(new) = new_steps(&mut self_status, &steps) => {
                    let own = new.suspected.own != steps.suspected.own;
                    steps = new;
                    self.send_step(own).await;
                }
                () = self.reads.wait_for_change() => {}
                () = stopped(&mut stop) => break,
            }
        }
        self.send_at_once().await;
    }

    /// Tells the scheduler how many instances are known of, when that changed.
    async fn count(&self, before: Option<usize>) -> Option<usize> {
        let known = Some(self.directory.sweep(self.clock.now()));
        if let Some(count) = known.filter(|_| known != before) {
            info!(self.log, "instances known"; "count" => count, "before" => before);
            self.tell(Event::PeersKnown(count)).await;
        }
        known
    }

    /// Sends the beacons that are due at a tick.
    async fn send(&self, tick: usize) {
        let now = self.clock.now();
        let due = PeersDue::at(tick, &self.directory, now);
        let heard = if tick.is_multiple_of(TELL_EVERY) {
            self.directory.live_peers(now)
        } else {
            Vec::new()
        };
        let (for_group, for_leads) = self.count_use(tick, now).await;
        self.send_all(&due.same_group, &heard, &for_group).await;
        self.send_all(&due.leads, &heard, &for_leads).await;
        self.send_far(&due.far).await;
    }

    /// Sends the beacons to instances far away that lead nothing, which need to know little of this one:
    /// the leads of their groups tell them the rest, and bytes between zones are paid for.
    async fn send_far(&self, peers: &[PeerRecord]) {
        if peers.is_empty() {
            return;
        }
        let beacon = if self.directory.is_single_group() {
            self.beacon(&[], &ToldUse::Nothing)
        } else {
            self.short_beacon()
        };
        self.send_sealed(peers, beacon).await;
    }

    /// Sends beacons at a start or an end, which those that need to know hear of at once.
    async fn send_at_once(&self) {
        let due = PeersDue::at_once(&self.directory, self.clock.now());
        self.send_all(&due.same_group, &[], &ToldUse::Nothing).await;
        self.send_all(&due.leads, &[], &ToldUse::Nothing).await;
    }

    /// Tells the scheduler whether this instance decides on roll-outs, when that changed: it leads the
    /// site, as far as it hears.
    async fn tell_decides(&self, before: Option<bool>) -> Option<bool> {
        let decides = self.directory.read_turn(self.clock.now()).role == ReadRole::SiteLead;
        if before != Some(decides) {
            self.tell(Event::Decides(decides)).await;
        }
        Some(decides)
    }

    /// Sends beacons where a roll-out went on or an endpoint ended under a request, if this instance saw
    /// that itself or tells its group: a version that was found bad, or such a request, should get nothing
    /// any more, wherever that is not known yet.
    async fn send_step(&self, own: bool) {
        if own || self.directory.is_reporter(self.clock.now()) {
            self.send_at_once().await;
        }
    }

    fn partial_replies(&self) -> MutexGuard<'_, PartialReplies> {
        self.partial_replies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a beacon that tells of `heard` and of what was used; where nobody gets it, none is made.
    async fn send_all(&self, peers: &[PeerRecord], heard: &[PeerRecord], used: &ToldUse) {
        if peers.is_empty() {
            return;
        }
        let beacon = self.beacon(heard, used);
        self.send_sealed(peers, beacon).await;
    }

    /// Sends a beacon to an instance that was not heard before: what it may have missed goes with it.
    async fn send_first(&self, peer: &PeerRecord) {
        let full = self.self_status.borrow().in_full();
        let beacon = Beacon {
            heartbeat: Some(full.message(self.clock.now(), 0)),
            ..self.beacon(&[], &ToldUse::Nothing)
        };
        self.send_sealed(std::slice::from_ref(peer), beacon).await;
    }

    async fn send_sealed(&self, peers: &[PeerRecord], beacon: Beacon) {
        let sealed = seal(&self.key, datagram::Body::Beacon(beacon));
        for peer in peers {
            self.send_to(&sealed, &peer.name, peer.address).await;
        }
    }

    /// Tells changes in the platform's store to the peers that rely on this instance for them.
    async fn tell_changes(&self, taken: &AppliedRecords) {
        let now = self.clock.now();
        if !taken.read_locally && !self.directory.is_lead(now) {
            return;
        }
        // What is too long for a datagram is asked for, or read.
        let Some(body) = records_body(&self.member, &taken.records) else {
            return;
        };
        let leads = self.directory.group_leads(now);
        let sealed = seal(&self.key, body);
        for (peer, _) in self
            .directory
            .pick(&leads, |relation| relation.same_group || relation.lead)
        {
            self.send_to(&sealed, &peer.name, peer.address).await;
        }
    }

    async fn send_to(&self, sealed: &[u8], name: &str, address: SocketAddr) {
        if let Err(e) = self.socket.send_to(sealed, address).await {
            debug!(self.log, "heartbeat not sent"; "peer" => name, "error" => e.to_string());
        }
    }

    fn beacon(&self, peers: &[PeerRecord], used: &ToldUse) -> Beacon {
        let self_status = self.self_status.borrow();
        let now = self.clock.now();
        let lead = self.lead_word(now, &self_status);
        let leads = !self.directory.is_single_group() && self.directory.is_reporter(now);
        let heartbeat = if leads {
            self_status.as_lead().message(now, 0)
        } else {
            self_status.message(now, 0)
        };
        let start = usize::from(rand::random::<u16>()) % peers.len().max(1);
        let told = peers.iter().cycle().skip(start).take(peers.len());
        let mut beacon = Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(heartbeat),
            used: write_uses(&self_status.used),
            peers: told.take(MAX_TOLD).map(write_address).collect(),
            reads: Some(write_reads(self.reads.own())),
            group_heard: lead.group_live as u32,
            site_heard: lead.site_live as u32,
            group_known: lead.group_size as u32,
            site_known: lead.site_size as u32,
            group_demand: write_demand(&lead.group_demand),
            power: self.directory.millicores(),
            rollouts: write_words(&self_status.rollouts.statuses),
            rollout_seen: write_seen(&self_status.rollouts.own),
            group_rollout_seen: write_seen(&lead.group_seen),
            group_work: write_work(&lead.group_work),
            ..Beacon::default()
        };
        used.write(&mut beacon);
        beacon
    }

    /// Makes a beacon that tells that this instance is there, what it knows of the store and its demand.
    fn short_beacon(&self) -> Beacon {
        let self_status = self.self_status.borrow();
        Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(self_status.short_message()),
            reads: Some(write_reads(self.reads.own())),
            power: self.directory.millicores(),
            ..Beacon::default()
        }
    }

    /// Gives what this instance tells of its group, nothing where it does not lead one or is to stop.
    fn lead_word(&self, now: Time, self_status: &SelfStatus) -> LeadWord {
        if self.directory.is_single_group()
            || self_status.draining
            || !self.directory.is_reporter(now)
        {
            return LeadWord::default();
        }
        LeadWord {
            group_live: self.directory.group_live(now),
            site_live: self.directory.site_live(now),
            group_size: self.directory.group_size(),
            site_size: self.directory.site_size(now),
            group_demand: self.directory.group_demand(now, &self_status.demand),
            group_seen: self_status.rollouts.group.clone(),
            group_work: self_status.work.clone(),
        }
    }

    async fn tell(&self, event: Event) {
        self.pass(Input::Event(event)).await;
    }

    async fn pass(&self, input: Input) {
        // Without a scheduler the instance is stopping, and this task with it.
        let _ = self.inputs.send(input).await;
    }
}

/// What is told at once when it changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Steps {
    /// How far roll-outs are, by their orders.
    stages: Vec<(Offset, Stage)>,
    /// How often what is known of requests under which endpoints ended has changed.
    suspected: Revision,
}

impl Steps {
    fn new(self_status: &SelfStatus) -> Self {
        Self {
            stages: self_status.stages(),
            suspected: self_status.suspected,
        }
    }
}

/// Waits until things are not any more as they were `told`; gives how they are.
async fn new_steps(self_status: &mut watch::Receiver<SelfStatus>, told: &Steps) -> Option<Steps> {
    let self_status = self_status
        .wait_for(|self_status| Steps::new(self_status) != *told)
        .await;
    self_status.ok().map(|self_status| Steps::new(&self_status))
}

/// Waits until `due`; for ever where nothing is.
async fn sleep_until_due(due: Option<Time>, now: Time) {
    match due {
        Some(due) => sleep(due.saturating_sub(now)).await,
        None => pending().await,
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that whoever would stop this is gone, which ends it as well.
    let _ = stop.wait_for(|s| *s).await;
}

/// Opens the socket for beacons.
///
/// # Errors
///
/// Returns the operating system's error, such as an address in use.
pub async fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
