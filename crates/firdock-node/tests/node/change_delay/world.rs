//! Instances that share one store, in virtual time: heartbeats, forwarded records, and calls to the store that take
//! time, fail or hang.

use std::time::Duration;

use firdock_node::peer::{
    BeaconTargets, PeerDirectory, PeerInfo, PeerProcess, PeerRecord, ReadRole, ReadState,
    SharedReads,
};
use uuid::Uuid;

/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(10);
/// Interval between two heartbeats, as the deployments set it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads, likewise.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Time limit of a call to the store, likewise.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// Number of availability zones.
const ZONES: usize = 4;

/// What is wrong with an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Its process stands still and goes on where it was.
    Frozen,
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

struct Call {
    began: Duration,
    ends: Duration,
    succeeds: bool,
}

struct Instance {
    process: PeerProcess,
    zone: String,
    directory: PeerDirectory,
    reads: SharedReads,
    trouble: Option<Trouble>,
    /// When it was last in trouble.
    troubled_at: Duration,
    wakes_at: Duration,
    call: Option<Call>,
    tick: usize,
}

impl Instance {
    fn runs(&self) -> bool {
        !matches!(self.trouble, Some(Trouble::Frozen | Trouble::Killed))
    }

    fn hears_peers(&self) -> bool {
        self.runs() && self.trouble != Some(Trouble::CutFromPeers)
    }

    fn info(&self) -> PeerInfo<'_> {
        PeerInfo {
            name: &self.process.name,
            zone: &self.zone,
            millicores: 0,
        }
    }

    /// Takes the state of a peer, whose clock equals this one's.
    fn take(&mut self, now: Duration, state: ReadState) {
        if state.version > self.version() || self.reads.own().config_at == Duration::ZERO {
            self.reads.record_from_peers(state);
            self.wakes_at = now;
        }
    }

    fn version(&self) -> u64 {
        self.reads.own().version
    }
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
}

impl World {
    /// Starts a site of `size` instances that have known each other and version 1 for long.
    pub fn new(size: usize) -> Self {
        let start = Duration::from_secs(5_000);
        let instances = (0..size).map(|n| instance(n, start)).collect();
        let mut world = Self {
            instances,
            now: start,
            store: StoreState::Sound,
            store_troubled_at: Duration::ZERO,
            confirmed: vec![start],
            calls: 0,
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

    /// Makes everyone know this instance, and its clock.
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
                .record_heartbeat(info, address(n), self.now);
            receiver
                .reads
                .take_clock(&process.name, process.incarnation, self.now, self.now);
        }
    }

    /// Puts an instance in trouble.
    pub fn disturb(&mut self, n: usize, trouble: Trouble) {
        self.instances[n].trouble = Some(trouble);
        self.instances[n].troubled_at = self.now;
    }

    /// Ends the trouble of an instance.
    pub fn restore(&mut self, n: usize) {
        let trouble = self.instances[n].trouble.take();
        self.instances[n].troubled_at = self.now;
        if trouble == Some(Trouble::Killed) {
            let process = instance(n, self.now);
            let known = std::mem::replace(&mut self.instances[n], process);
            let started = &mut self.instances[n];
            started.reads = SharedReads::default().with_asks_peers_first(true);
            started.directory = known.directory;
            started.troubled_at = self.now;
            self.introduce(n);
            self.fetch_state(n);
        }
    }

    /// Lets a starting instance take the state of a peer.
    fn fetch_state(&mut self, n: usize) {
        let state = self.instances.iter().filter(|i| i.hears_peers());
        let state = state.map(|i| i.reads.own()).find(|own| own.version > 0);
        if let Some(state) = state {
            self.instances[n].take(self.now, state);
        }
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
            for n in 0..self.instances.len() {
                self.step(n);
            }
            longest = longest.max(self.overdue());
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
        let due = BeaconTargets::at(sender.tick, &sender.directory, self.now);
        let targets = due.same_group.into_iter().chain(due.leads).chain(due.far);
        let targets: Vec<usize> = targets.map(|p| index(&p)).collect();
        for target in targets {
            self.deliver_heartbeat(n, target);
        }
    }

    fn deliver_heartbeat(&mut self, from: usize, to: usize) {
        if !self.instances[to].hears_peers() {
            return;
        }
        let sender = &self.instances[from];
        let state = sender.reads.own();
        let receiver = &self.instances[to];
        receiver
            .directory
            .record_heartbeat(sender.info(), address(from), self.now);
        if state.version == 0 {
            return;
        }
        let merged = receiver
            .reads
            .merge_report(self.now, &sender.process, state);
        if merged.ask_state {
            self.instances[to].take(self.now, state);
        }
    }

    fn finish_call(&mut self, n: usize) {
        let now = self.now;
        let instance = &mut self.instances[n];
        let Some(call) = instance.call.take_if(|call| call.ends <= now) else {
            return;
        };
        instance.wakes_at = now;
        if !call.succeeds {
            let last_sent = call.began.max(now.saturating_sub(READ_INTERVAL));
            instance.reads.record_failure(last_sent, RETRY_PAUSE);
            return;
        }
        let before = instance.version();
        let state = ReadState {
            version: self.confirmed.len() as u64,
            config_at: call.began,
            endpoints_at: call.began,
            ..ReadState::default()
        };
        instance.reads.record_read(now, state);
        if before < state.version {
            self.forward(n, state, true);
        }
    }

    /// Forwards a change to the instances that rely on this one for it.
    fn forward(&mut self, n: usize, state: ReadState, read_locally: bool) {
        let sender = &self.instances[n];
        if !sender.hears_peers() || !read_locally && !sender.directory.is_lead(self.now) {
            return;
        }
        let leads = sender.directory.group_leads(self.now);
        let selected = sender.directory.select(&leads, |r| r.same_group || r.lead);
        let targets: Vec<usize> = selected.iter().map(|(peer, _)| index(peer)).collect();
        for target in targets {
            let receiver = &mut self.instances[target];
            if receiver.hears_peers() && receiver.version() < state.version {
                receiver.take(self.now, state);
                self.forward(target, state, false);
            }
        }
    }

    fn wake(&mut self, n: usize) {
        let instance = &self.instances[n];
        let read_turn = instance.directory.read_turn(self.now);
        let (due, next) = instance.reads.due_at(self.now, READ_INTERVAL, read_turn);
        if due.config.is_none() {
            self.instances[n].wakes_at = next.max(self.now + STEP);
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
            began: self.now,
            ends: self.now + time,
            succeeds,
        });
    }
}

fn instance(n: usize, now: Duration) -> Instance {
    let process = PeerProcess {
        name: format!("front-{n:04}"),
        incarnation: Uuid::new_v4(),
    };
    let zone = format!("zone-{}", n % ZONES);
    let reads = SharedReads::default();
    let state = ReadState {
        version: 1,
        config_at: now,
        endpoints_at: now,
        ..ReadState::default()
    };
    reads.record_read(now, state);
    Instance {
        directory: PeerDirectory::new(process.name.clone(), zone.clone()),
        process,
        zone,
        reads,
        trouble: None,
        troubled_at: Duration::ZERO,
        wakes_at: now,
        call: None,
        tick: n,
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
