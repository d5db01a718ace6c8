//! Instances that share one store, in virtual time: heartbeats, forwarded records, and calls to the store that take
//! time, fail or hang. Each instance has a clock of its own.

mod clock;
mod instance;

use std::time::Duration;

use firdock_node::peer::{
    BeaconTargets, EchoedRead, PeerInfo, PeerRecord, ReadEcho, ReadRole, StateReply, Topic,
};

pub use self::clock::ClockFault;
use self::instance::{Call, Heartbeat, Instance, instance, on_wire, reads_on_wire, state};

/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(10);
/// Interval between two heartbeats, as the deployments set it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads, likewise.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Time limit of a call to the store, likewise.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Longest time by which a suspension delays the next look at what is due, beyond its own length.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// Reading of a clock when its process starts.
const CLOCK_START: Duration = Duration::from_hours(1);
/// Number of availability zones.
const ZONES: usize = 4;

/// What is wrong with an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Its process stands still and goes on where it was.
    Frozen,
    /// Its machine is suspended: its process stands still, its timers run out later by as much, and heartbeats wait in
    /// its socket.
    Suspended,
    /// It hears no peer, and none hears it; it reaches the store.
    CutFromPeers,
    /// The store does not answer it; it hears its peers.
    CutFromStore,
    /// Its process ends; a new one starts without state.
    Killed,
}

/// What the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    Sound,
    /// It refuses each call at once.
    Refuses,
    /// It answers no call.
    Silent,
}

/// All instances and the store.
pub struct World {
    instances: Vec<Instance>,
    pub now: Duration,
    pub store: StoreState,
    store_troubled_at: Duration,
    /// When each version was confirmed, from version 1 on.
    confirmed: Vec<Duration>,
    /// Number of calls to the store.
    pub calls: usize,
    /// Longest time since the confirmation of a change for which any instance, in touch or not, accepted keys by the
    /// version before.
    pub longest_served: Duration,
}

impl World {
    /// Starts a site of `size` instances that have known each other and version 1 for long.
    pub fn new(size: usize) -> Self {
        let start = Duration::from_secs(5_000);
        let instances = (0..size).map(|n| {
            // Clocks differ by more than whole milliseconds.
            let reading = CLOCK_START + Duration::from_micros(137_137 * n as u64);
            instance(n, start, reading)
        });
        let instances: Vec<Instance> = instances
            .inspect(|i| i.reads.record_read(i.clock.now(), state(1, i.clock.now())))
            .collect();
        let mut world = Self {
            instances,
            now: start,
            store: StoreState::Sound,
            store_troubled_at: Duration::ZERO,
            confirmed: vec![start],
            calls: 0,
            longest_served: Duration::ZERO,
        };
        for n in 0..size {
            world.introduce(n);
        }
        world
    }

    /// Returns the instances in the order in which they lead their groups: the lead of each group first.
    pub fn by_position(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.instances.len()).collect();
        order.sort_by_key(|n| n / ZONES);
        order
    }

    /// Returns the members of the group of an instance, by position.
    pub fn group_of(&self, n: usize) -> Vec<usize> {
        let single = self.instances[n].directory.is_single_group();
        let all = 0..self.instances.len();
        all.filter(|m| single || m % ZONES == n % ZONES).collect()
    }

    /// Makes everyone know this instance.
    fn introduce(&mut self, n: usize) {
        for other in 0..self.instances.len() {
            if other == n {
                continue;
            }
            let (process, zone) = (
                self.instances[n].process.clone(),
                self.instances[n].zone.clone(),
            );
            let receiver = &self.instances[other];
            let info = PeerInfo {
                name: &process.name,
                zone: &zone,
                millicores: 0,
            };
            receiver
                .directory
                .record_heartbeat(info, address(n), receiver.clock.now());
        }
    }

    /// Puts an instance in trouble.
    pub fn disturb(&mut self, n: usize, trouble: Trouble) {
        self.instances[n].trouble = Some(trouble);
        self.instances[n].troubled_at = self.now;
    }

    /// Bends the clock of an instance.
    pub fn bend(&mut self, n: usize, fault: ClockFault) {
        self.instances[n].clock.apply(fault);
        self.instances[n].is_sound = false;
    }

    /// Returns by how much any instance believes a topic to have been read later than it was by anyone.
    pub fn longest_error(&self) -> Duration {
        let running = self.instances.iter().filter(|i| i.runs());
        let errors = running.flat_map(|i| {
            Topic::ALL.map(|topic| {
                i.reads
                    .own()
                    .confirmed_at(topic)
                    .saturating_sub(i.last_read)
            })
        });
        errors.max().unwrap_or_default()
    }

    /// Returns the longest age at any instance that runs and whose clock is sound.
    pub fn longest_age(&self) -> Duration {
        let sound = self.instances.iter().filter(|i| i.runs() && i.is_sound);
        let ages = sound.map(|i| i.clock.now().saturating_sub(i.reads.own().config_at));
        ages.max().unwrap_or_default()
    }

    /// Ends the trouble of an instance.
    pub fn restore(&mut self, n: usize) {
        let trouble = self.instances[n].trouble.take();
        if trouble == Some(Trouble::Suspended) {
            self.resume(n);
        }
        self.instances[n].troubled_at = self.now;
        if trouble == Some(Trouble::Killed) {
            let process = instance(n, self.now, CLOCK_START);
            let known = std::mem::replace(&mut self.instances[n], process);
            let since_read = known.clock.now().saturating_sub(known.last_read);
            let started = &mut self.instances[n];
            started.last_read = CLOCK_START.saturating_sub(since_read);
            for peer in known.directory.peers_for_zone(&started.zone) {
                let zone = peer.zone.clone();
                let info = PeerInfo {
                    name: &peer.name,
                    zone: &zone,
                    millicores: 0,
                };
                started
                    .directory
                    .record_heartbeat(info, peer.address, CLOCK_START);
            }
            started.troubled_at = self.now;
            self.introduce(n);
            self.fetch_state(n);
        }
    }

    /// Lets a suspended instance go on: it reads the heartbeats that waited, and its timers run on.
    fn resume(&mut self, n: usize) {
        let instance = &mut self.instances[n];
        let length = self.now.saturating_sub(instance.troubled_at);
        instance.wakes_at = (instance.wakes_at + length).min(self.now + LONGEST_SLEEP);
        if let Some(call) = instance.call.as_mut().filter(|call| !call.succeeds) {
            call.ends += length;
        }
        for heartbeat in std::mem::take(&mut instance.waiting) {
            self.receive_heartbeat(n, &heartbeat);
        }
    }

    /// Lets a starting instance take the state of a peer.
    fn fetch_state(&mut self, n: usize) {
        let others = 0..self.instances.len();
        let knows = |m: &usize| {
            let peer = &self.instances[*m];
            *m != n && peer.hears_peers() && peer.version() > 0
        };
        if let Some(peer) = others.into_iter().find(knows) {
            self.answer_query(peer, n);
        }
    }

    /// Lets an instance answer the query of another one.
    fn answer_query(&mut self, from: usize, to: usize) {
        let sender = &self.instances[from];
        let reply = StateReply {
            sender: sender.process.clone(),
            query_sent_at: on_wire(self.instances[to].clock.now()),
            clock: on_wire(sender.clock.now()),
            reads: reads_on_wire(sender.reads.own()),
            topics: Topic::ALL.map(|topic| sender.records(topic, None)).to_vec(),
            instances: Vec::new(),
            topics_omitted: false,
            site_size: 0,
        };
        let receiver = &mut self.instances[to];
        let now = receiver.clock.now();
        receiver.reads.merge_reply(now, reply);
        receiver.apply_peer_records(self.now);
    }

    /// Sets what the store does from now on.
    pub fn set_store(&mut self, store: StoreState) {
        self.store = store;
        self.store_troubled_at = self.now;
    }

    /// Writes a change, which the store confirms at once.
    pub fn change(&mut self) {
        self.confirmed.push(self.now);
    }

    /// Runs for `time`, and returns the longest time since the confirmation of a change that an instance in touch did
    /// not have.
    pub fn run(&mut self, time: Duration) -> Duration {
        let until = self.now + time;
        let mut longest = Duration::ZERO;
        while self.now < until {
            self.now += STEP;
            for instance in &mut self.instances {
                instance.clock.advance(STEP);
            }
            for n in 0..self.instances.len() {
                self.step(n);
            }
            longest = longest.max(self.overdue());
            self.longest_served = self.longest_served.max(self.served_outdated());
        }
        longest
    }

    /// Returns the longest time since the confirmation of a change that an instance in touch does not have.
    fn overdue(&self) -> Duration {
        let in_touch = self.instances.iter().filter(|i| self.is_in_touch(i));
        let lacking = in_touch.filter_map(|i| self.confirmed.get(i.version() as usize));
        let first = lacking.min();
        first.map_or(Duration::ZERO, |confirmed| {
            self.now.saturating_sub(*confirmed)
        })
    }

    /// Returns the longest time since the confirmation of a change at an instance that does not have it and accepts
    /// keys.
    fn served_outdated(&self) -> Duration {
        let accepts = |i: &&Instance| {
            let age = i.clock.now().saturating_sub(i.reads.own().config_at);
            i.runs() && age < super::SERVED_WITHIN
        };
        let accepting = self.instances.iter().filter(accepts);
        let lacking = accepting.filter_map(|i| self.confirmed.get(i.version() as usize));
        let delays = lacking.map(|confirmed| self.now.saturating_sub(*confirmed));
        delays.max().unwrap_or_default()
    }

    /// Returns whether an instance has been in touch with the store for [`super::CONTACT`]. Its peers do not matter.
    fn is_in_touch(&self, instance: &Instance) -> bool {
        let steady = matches!(instance.trouble, None | Some(Trouble::CutFromPeers));
        let troubled_at = instance.troubled_at.max(self.store_troubled_at);
        steady && self.store == StoreState::Sound && troubled_at + super::CONTACT <= self.now
    }

    fn step(&mut self, n: usize) {
        if !self.instances[n].runs() {
            return;
        }
        let phase = HEARTBEAT_INTERVAL * (n % 20) as u32 / 20;
        let since = (self.now + phase).as_millis();
        if since.is_multiple_of(HEARTBEAT_INTERVAL.as_millis()) {
            self.send_heartbeats(n);
        }
        self.finish_call(n);
        if self.instances[n].call.is_none() && self.instances[n].wakes_at <= self.now {
            self.wake(n);
        }
    }

    fn send_heartbeats(&mut self, n: usize) {
        let sender = &mut self.instances[n];
        sender.tick += 1;
        if !sender.hears_peers() {
            return;
        }
        let due = BeaconTargets::at(sender.tick, &sender.directory, sender.clock.now());
        // Far instances get short heartbeats, without the sender's clock and echoes.
        let single_group = sender.directory.is_single_group();
        let full = due.same_group.into_iter().chain(due.leads);
        let full = full.map(|p| (index(&p), true));
        let far = due.far.into_iter().map(|p| (index(&p), single_group));
        let targets: Vec<(usize, bool)> = full.chain(far).collect();
        for (target, is_full) in targets {
            self.deliver_heartbeat(n, target, is_full);
        }
    }

    fn deliver_heartbeat(&mut self, from: usize, to: usize, is_full: bool) {
        let waits = self.instances[to].trouble == Some(Trouble::Suspended);
        if !waits && !self.instances[to].hears_peers() {
            return;
        }
        let sender = &self.instances[from];
        let heartbeat = Heartbeat {
            from,
            state: reads_on_wire(sender.reads.own()),
            sent_at: is_full.then(|| on_wire(sender.clock.now())),
            echo: is_full.then(|| self.echo(from, to)).flatten(),
        };
        if waits {
            self.instances[to].waiting.push(heartbeat);
        } else {
            self.receive_heartbeat(to, &heartbeat);
        }
    }

    fn receive_heartbeat(&mut self, to: usize, heartbeat: &Heartbeat) {
        let Heartbeat { from, state, .. } = *heartbeat;
        let (sender, receiver) = (&self.instances[from], &self.instances[to]);
        let now = receiver.clock.now();
        receiver
            .directory
            .record_heartbeat(sender.info(), address(from), now);
        if state.version == 0 {
            return;
        }
        if let Some(sent_at) = heartbeat.sent_at {
            receiver.reads.record_clock(now, &sender.process, sent_at);
        }
        let merged = receiver
            .reads
            .merge_report(now, &sender.process, state, heartbeat.echo);
        if merged.ask_state && self.instances[from].hears_peers() {
            self.answer_query(from, to);
        }
    }

    /// Returns the echo in a heartbeat.
    fn echo(&self, from: usize, to: usize) -> Option<ReadEcho> {
        let (sender, receiver) = (&self.instances[from], &self.instances[to].process);
        let now = sender.clock.now();
        let (process, echo) = sender.reads.report_for(now, &receiver.name).1?;
        let whole = |read: EchoedRead| EchoedRead {
            age: on_wire(read.age),
            ..read
        };
        (process == receiver.incarnation).then(|| ReadEcho {
            config: whole(echo.config),
            endpoints: whole(echo.endpoints),
        })
    }

    fn finish_call(&mut self, n: usize) {
        let now = self.now;
        let instance = &mut self.instances[n];
        let Some(call) = instance.call.take_if(|call| call.ends <= now) else {
            return;
        };
        instance.wakes_at = now;
        if !call.succeeds {
            instance.reads.record_failure(call.last_sent, RETRY_PAUSE);
            return;
        }
        let before = instance.version();
        let state = state(self.confirmed.len() as u64, call.began);
        instance.reads.record_read(instance.clock.now(), state);
        if before < state.version {
            self.forward(n, before, true);
        }
    }

    /// Forwards a change since version `known` to the instances that rely on this one for it.
    fn forward(&mut self, n: usize, known: u64, read_locally: bool) {
        let sender = &self.instances[n];
        let now = sender.clock.now();
        if !sender.hears_peers() || !read_locally && !sender.directory.is_lead(now) {
            return;
        }
        let leads = sender.directory.group_leads(now);
        let selected = sender.directory.select(&leads, |r| r.same_group || r.lead);
        let targets: Vec<usize> = selected.iter().map(|(peer, _)| index(peer)).collect();
        let changes = sender.records(Topic::Config, Some(known));
        for target in targets {
            let receiver = &mut self.instances[target];
            if receiver.hears_peers() && receiver.version() < changes.next {
                receiver.reads.merge_changes(changes.clone());
                receiver.apply_peer_records(self.now);
                self.forward(target, known, false);
            }
        }
    }

    fn wake(&mut self, n: usize) {
        let instance = &self.instances[n];
        let now = instance.clock.now();
        let read_turn = instance.directory.read_turn(now);
        let (due, next) = instance.reads.due_at(now, READ_INTERVAL, read_turn);
        if due.config.is_none() {
            let pause = next.saturating_sub(now).max(STEP);
            self.instances[n].wakes_at = self.now + pause;
            return;
        }
        self.calls += 1;
        let reached = instance.trouble != Some(Trouble::CutFromStore);
        // Members of large groups send no second call beside one that hangs.
        let hangs = if read_turn.role == ReadRole::Member {
            CALL_LIMIT
        } else {
            READ_INTERVAL * 2
        };
        let (time, succeeds) = match self.store {
            StoreState::Sound if reached => (ANSWER_TIME, true),
            StoreState::Refuses => (ANSWER_TIME, false),
            StoreState::Sound | StoreState::Silent => (hangs, false),
        };
        self.instances[n].call = Some(Call {
            began: now,
            last_sent: now + time.saturating_sub(READ_INTERVAL),
            ends: self.now + time,
            succeeds,
        });
        for instance in &mut self.instances {
            instance.last_read = instance.clock.now();
        }
    }
}

fn address(n: usize) -> std::net::SocketAddr {
    ([127, 0, (n / 250) as u8, (n % 250) as u8], 1).into()
}

fn index(peer: &PeerRecord) -> usize {
    let digits = peer.name.rsplit('-').next();
    digits
        .and_then(|d| d.parse().ok())
        .expect("the number of an instance")
}
