//! Heartbeats by datagram, between instances that know each other by address alone.
//!
//! A datagram that is lost costs nothing, for the next one tells the same totals; a link that was
//! cut silently cannot hang. Each tells of the other instances that its sender knows, so that one
//! known address is enough to find all (see `docs/design/peers.md`).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_policy::event::{GroupDemand, Member, PeerNews, PeerUse};
use firdock_policy::{Event, Time};
use firdock_wire::PROTOCOL;
use firdock_wire::message::{Beacon, ClockAnswer, ClockQuestion, datagram};
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};
use uuid::Uuid;

use super::book::PeerBook;
use super::changes::EntryChanges;
use super::datagram::{
    open, read_reads, read_relayed, read_uses, seal, write_address, write_reads, write_relayed,
    write_uses,
};
use super::heartbeat::{SelfNews, peer_news, read_demand, write_demand};
use super::reads::{Reads, SharedReads};
use super::relay::{HeardUse, UseRelay};
use crate::clock::{Clock, millis};
use crate::input::Input;
use crate::placement::{PlacementInput, read_reply, read_report};

/// Longest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Instances told of in one beacon; over several, chance tells of all.
const MAX_TOLD: usize = 16;
/// Ticks between two beacons that tell of other instances: these come and go seldom, and the bytes
/// between availability zones are paid for.
const TELL_EVERY: usize = 5;
/// Ticks after which the instances heard are taken for all, though none were listed.
const LIST_TICKS: usize = 10;

/// Near peers that get a beacon at each tick; with more of them, each gets one at every few ticks.
const NEAR_PEERS_A_TICK: usize = 16;
/// Peers in other availability zones that get a beacon at each tick, likewise: leads tell for their
/// groups, and bytes between zones are paid for.
const FAR_PEERS_A_TICK: usize = 2;
/// Ticks after the start in which they get as many as near ones: all instances may have started at
/// one moment, and a first word may be lost.
const MEETING_TICKS: usize = 25;
/// Most ticks between two beacons to one of them: far fewer than after which it would be forgotten.
const MAX_FAR_PACE: usize = 50;

/// An instance and where it takes heartbeats.
type Addressed = (InstanceId, SocketAddr);

/// Peers that get a beacon at a tick.
#[derive(Debug, Default)]
struct PeersDue {
    /// Those of the own group.
    near: Vec<Addressed>,
    /// The leads of other groups, where this instance leads its own.
    leads: Vec<Addressed>,
    /// All others.
    far: Vec<Addressed>,
}

/// What sending and taking beacons needs.
#[derive(Debug)]
pub struct Beacons {
    /// Socket for both.
    pub socket: Arc<UdpSocket>,
    /// This instance and this start of it.
    pub member: Member,
    /// Key that all instances share.
    pub key: Arc<[u8]>,
    /// The other instances.
    pub book: Arc<PeerBook>,
    /// What this instance read of the platform's store, with what peers told of theirs.
    pub reads: Arc<SharedReads>,
    /// What this instance tells of itself.
    pub news: watch::Receiver<SelfNews>,
    /// Changes in the platform's list that this instance took, for its peers.
    pub changes: mpsc::Receiver<EntryChanges>,
    /// What other instances let pass, to be passed on where this one leads.
    pub relay: UseRelay,
    /// Way to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Pause between two beacons.
    pub pause: Duration,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
}

impl Beacons {
    /// Sends and takes beacons until `stop` turns true; a last one tells that this instance ends.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(self.pause);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut known = None;
        let mut tick = 0;
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => self.take(&buffer[..len], from).await,
                    Err(e) => debug!(self.log, "heartbeat not taken"; "error" => e.to_string()),
                },
                _ = ticks.tick() => {
                    tick += 1;
                    self.send(tick).await;
                    if tick >= LIST_TICKS || self.book.was_listed() {
                        known = self.count(known).await;
                    }
                }
                Some(changes) = self.changes.recv() => self.tell_changes(&changes).await,
                () = self.book.first_listed() => {
                    known = self.count(known).await;
                    self.send(0).await;
                }
                () = stopped(&mut stop) => break,
            }
        }
        self.send(0).await;
    }

    /// Tells the scheduler how many instances are known of, when that changed.
    async fn count(&self, before: Option<usize>) -> Option<usize> {
        let known = Some(self.book.sweep(self.clock.now()));
        if let Some(count) = known.filter(|_| known != before) {
            info!(self.log, "instances known"; "count" => count, "before" => before);
            self.tell(Event::PeersKnown(count)).await;
        }
        known
    }

    /// Sends the beacons that are due at a tick; at tick 0, to all.
    async fn send(&self, tick: usize) {
        let now = self.clock.now();
        let due = self.peers_due(tick, now);
        let heard = if tick.is_multiple_of(TELL_EVERY) {
            self.book.heard(now)
        } else {
            Vec::new()
        };
        let (for_group, for_leads) = self.relayed(now);
        self.send_all(&due.near, self.beacon(&heard, &for_group))
            .await;
        self.send_all(&due.leads, self.beacon(&heard, &for_leads))
            .await;
        self.send_all(&due.far, self.beacon(&heard, &[])).await;
    }

    /// Gives what this instance passes on of others' use of limits, to its group and to other leads.
    fn relayed(&self, now: Time) -> (Vec<PeerUse>, Vec<PeerUse>) {
        if self.book.is_small() || !self.book.leads(now) {
            self.relay.clear();
            return (Vec::new(), Vec::new());
        }
        (self.relay.take_for_group(), self.relay.take_for_leads())
    }

    async fn send_all(&self, peers: &[Addressed], beacon: Beacon) {
        if peers.is_empty() {
            return;
        }
        let sealed = seal(&self.key, datagram::Body::Beacon(beacon));
        for (name, address) in peers {
            self.send_to(&sealed, name, *address).await;
        }
    }

    /// Gives the peers that get a beacon at a tick: of many, every few ticks a part of them; the
    /// leads of groups get one at each.
    fn peers_due(&self, tick: usize, now: Time) -> PeersDue {
        let peers = self.book.addresses();
        let leads = self.book.leads_of_all(now);
        let i_lead = self.book.tells(now);
        let far_a_tick = if tick < MEETING_TICKS {
            NEAR_PEERS_A_TICK
        } else {
            FAR_PEERS_A_TICK
        };
        let far_pace = (peers.len() / far_a_tick).clamp(1, MAX_FAR_PACE);
        let near_pace = (peers.len() / NEAR_PEERS_A_TICK).max(1);
        let mut due = PeersDue::default();
        for (at, (name, address)) in peers.into_iter().enumerate() {
            let turn = |pace: usize| tick == 0 || (tick + at + 1).is_multiple_of(pace);
            let lead = leads.contains(&name);
            let near = self.book.is_near(&name);
            if near && (i_lead || lead || turn(near_pace)) {
                due.near.push((name, address));
            } else if !near && i_lead && lead {
                due.leads.push((name, address));
            } else if !near && turn(far_pace) {
                due.far.push((name, address));
            }
        }
        due
    }

    /// Tells changes in the platform's list to the peers that rely on this instance for them.
    async fn tell_changes(&self, changes: &EntryChanges) {
        let now = self.clock.now();
        if !changes.is_short() || !self.book.leads(now) {
            return;
        }
        let leads = self.book.leads_of_all(now);
        let body = datagram::Body::EntryChanges(changes.message(&self.member));
        let sealed = seal(&self.key, body);
        for (name, address) in self.book.addresses() {
            if self.book.is_near(&name) || leads.contains(&name) {
                self.send_to(&sealed, &name, address).await;
            }
        }
    }

    async fn send_to(&self, sealed: &[u8], name: &str, address: SocketAddr) {
        if let Err(e) = self.socket.send_to(sealed, address).await {
            debug!(self.log, "heartbeat not sent"; "peer" => name, "error" => e.to_string());
        }
    }

    fn beacon(&self, peers: &[Addressed], relayed: &[PeerUse]) -> Beacon {
        let news = self.news.borrow();
        let now = self.clock.now();
        let tells = !self.book.is_small() && !news.draining && self.book.tells(now);
        let (group_heard, site_heard) = if tells {
            (self.book.group_heard(now), self.book.site_heard(now))
        } else {
            (0, 0)
        };
        let group_demand = if tells {
            self.book.group_demand(now, &news.demand)
        } else {
            Vec::new()
        };
        let start = usize::from(rand::random::<u16>()) % peers.len().max(1);
        let told = peers.iter().cycle().skip(start).take(peers.len());
        Beacon {
            protocol: PROTOCOL,
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            heartbeat: Some(news.message(0)),
            used: write_uses(&news.used),
            peers: told.take(MAX_TOLD).map(write_address).collect(),
            reads: Some(write_reads(self.reads.own())),
            relayed: write_relayed(relayed),
            group_heard: group_heard as u32,
            site_heard: site_heard as u32,
            group_demand: write_demand(&group_demand),
        }
    }

    async fn take(&self, sealed: &[u8], from: SocketAddr) {
        match open(&self.key, sealed) {
            Some(datagram::Body::Beacon(beacon)) => self.take_beacon(beacon, from).await,
            Some(datagram::Body::ClockQuestion(question)) => {
                let answer = datagram::Body::ClockAnswer(self.clock_answer(question));
                self.send_to(&seal(&self.key, answer), "", from).await;
            }
            Some(datagram::Body::ClockAnswer(answer)) => {
                let incarnation = Uuid::from_slice(&answer.incarnation).unwrap_or_default();
                let asked = Duration::from_millis(answer.asked);
                let clock = Duration::from_millis(answer.clock);
                let peer = &answer.instance;
                self.reads.take_clock(peer, incarnation, asked, clock);
            }
            Some(datagram::Body::EntryChanges(told)) => {
                let (peer, incarnation, changes) = EntryChanges::read(told);
                self.reads.hear_changes(&peer, incarnation, changes);
            }
            Some(datagram::Body::PlacementReport(told)) => {
                let report = Box::new(read_report(told));
                self.pass(Input::Placement(PlacementInput::Report(report, from)))
                    .await;
            }
            Some(datagram::Body::PlacementReply(told)) => {
                let reply = PlacementInput::Reply(read_reply(told));
                self.pass(Input::Placement(reply)).await;
            }
            None => warn!(self.log, "heartbeat of a stranger"; "from" => from.to_string()),
        }
    }

    fn clock_answer(&self, question: ClockQuestion) -> ClockAnswer {
        ClockAnswer {
            instance: self.member.name.clone(),
            incarnation: self.member.incarnation.as_bytes().to_vec(),
            asked: question.asked,
            clock: millis(self.clock.now()),
        }
    }

    async fn take_beacon(&self, beacon: Beacon, from: SocketAddr) {
        if beacon.protocol != PROTOCOL || beacon.instance == self.member.name {
            return;
        }
        let now = self.clock.now();
        if self.note(&beacon, from, now) {
            // It may not know of this one, and its turn among many would come late.
            let known = vec![(beacon.instance.clone(), from)];
            self.send_all(&known, self.beacon(&[], &[])).await;
        }
        let zone = beacon.heartbeat.as_ref().map_or("", |b| &b.zone);
        self.take_group(&beacon, zone, now).await;
        let heartbeat = beacon.heartbeat.unwrap_or_default();
        let mut news = peer_news(&beacon.instance, heartbeat);
        news.incarnation = Uuid::from_slice(&beacon.incarnation).unwrap_or_default();
        if let Some(reads) = beacon.reads {
            self.take_reads(&news, read_reads(reads), from).await;
        }
        self.book.note_demand(&news.name, news.demand.clone());
        news.used = read_uses(beacon.used);
        let word = PeerUse {
            name: news.name.clone(),
            incarnation: news.incarnation,
            used: news.used.clone(),
        };
        if self.book.is_own_zone(&news.zone) {
            self.relay.hear(&word, HeardUse::FromMember);
        }
        self.tell(Event::Peer(news)).await;
        for word in read_relayed(beacon.relayed) {
            self.relay.hear(&word, HeardUse::FromLead);
            self.tell(Event::PeerUsed(word)).await;
        }
    }

    /// Takes what a lead tells of its group: of another one, its demand and how many it hears, to tell
    /// the own group; of the own one, how many are heard on the whole site.
    async fn take_group(&self, beacon: &Beacon, zone: &str, now: Time) {
        // One that stops is sent nothing any more, so that it hears hardly anyone.
        let draining = beacon.heartbeat.as_ref().is_some_and(|b| b.draining);
        if beacon.group_heard == 0 || draining {
            return;
        }
        if self.book.is_own_zone(zone) {
            self.tell(Event::Reach(beacon.site_heard as usize)).await;
        } else {
            self.book.note_group(zone, beacon.group_heard as usize, now);
            let group = GroupDemand {
                zone: zone.to_owned(),
                demand: read_demand(beacon.group_demand.clone()),
            };
            self.tell(Event::GroupDemand(group)).await;
        }
        if self.book.tells(now) {
            let count = self.book.site_heard(now);
            self.tell(Event::Reach(count)).await;
        }
    }

    /// Takes what a peer read; its clock is asked for where that is not known yet.
    async fn take_reads(&self, news: &PeerNews, told: Reads, from: SocketAddr) {
        let heard = self.reads.hear(&news.name, news.incarnation, told);
        if let Some(at) = heard.fresh {
            self.tell(Event::Fresh(at)).await;
        }
        if heard.ask_clock {
            let asked = millis(self.clock.now());
            let question = datagram::Body::ClockQuestion(ClockQuestion { asked });
            self.send_to(&seal(&self.key, question), &news.name, from)
                .await;
        }
    }

    /// Notes the sender and the instances that it tells of; tells whether the sender is new.
    fn note(&self, beacon: &Beacon, from: SocketAddr, now: Time) -> bool {
        let heartbeat = beacon.heartbeat.as_ref();
        let new = if heartbeat.is_some_and(|b| b.draining) {
            self.book.forget(&beacon.instance, now);
            false
        } else {
            let zone = heartbeat.map_or("", |b| &b.zone);
            self.book.hear(&beacon.instance, zone, from, now)
        };
        for peer in beacon.peers.iter().take(MAX_TOLD) {
            if let Ok(address) = peer.address.parse() {
                self.book.know(peer.instance.clone(), address, now);
            }
        }
        new
    }

    async fn tell(&self, event: Event) {
        self.pass(Input::Event(event)).await;
    }

    async fn pass(&self, input: Input) {
        // Without a scheduler the instance is stopping, and this task with it.
        let _ = self.inputs.send(input).await;
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
pub async fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
