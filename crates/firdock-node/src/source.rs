//! Sources of resources: where the configuration in force and the endpoints come from.
//!
//! Firdock's own source is the platform's log with its fold (`crate::config`); another platform's
//! source is an adapter that reads it in its own way and tells what it read here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::{ContentId, PoolId};
use firdock_policy::rollout::RolloutRecord;
use firdock_policy::suspect::SuspectReport;
use firdock_policy::{Event, Time};
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::input::Input;
use crate::peer::{
    AppliedRecords, DueReads, Millicores, PeerDirectory, PeerRecord, ReadRole, ReadState,
    SharedReads, Topic, TopicRecords,
};
use crate::telemetry::{LogKind, LogLimiter, Metrics};

/// Follows a platform's configuration for as long as the instance runs.
pub trait ResourceSource: Send + 'static {
    /// Reads the configuration again and again and tells `sink` what it found.
    fn follow(self, sink: SourceSink) -> impl Future<Output = ()> + Send;
}

/// The instance was stopped, so nobody takes what is read.
#[derive(Debug, Clone, Copy)]
pub struct Stopped;

/// A call to the platform's store that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// What was asked of the store.
    pub call: &'static str,
    /// Topic, by the store's name.
    pub topic: &'static str,
    /// Why it was made.
    pub reason: &'static str,
    /// Whether it failed.
    pub failed: bool,
}

/// What is to be kept in the platform's store: states of roll-outs, the newest of each pool, and requests
/// in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingRecords {
    by_pool: BTreeMap<PoolId, RolloutRecord>,
    quarantined: BTreeMap<ContentId, (Time, SuspectReport)>,
    released: BTreeSet<ContentId>,
}

impl PendingRecords {
    /// Adds a state, in place of an earlier one of its pool.
    pub fn add(&mut self, record: RolloutRecord) {
        self.by_pool.insert(record.pool.clone(), record);
    }

    /// Adds a request in quarantine, as it was told at a time, in place of an earlier word on it.
    pub fn quarantine(&mut self, now: Time, told: SuspectReport) {
        self.released.remove(&told.content.id);
        self.quarantined.insert(told.content.id, (now, told));
    }

    /// Takes it that a request is in quarantine no more.
    pub fn release(&mut self, content: ContentId) {
        self.quarantined.remove(&content);
        self.released.insert(content);
    }

    /// Goes over the requests that are in quarantine no more.
    pub fn released(&self) -> impl Iterator<Item = &ContentId> {
        self.released.iter()
    }

    /// Goes over the requests in quarantine, with when they were told.
    pub fn quarantined(&self) -> impl Iterator<Item = &(Time, SuspectReport)> {
        self.quarantined.values()
    }

    /// Goes over the states, by pool.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.by_pool.values()
    }
}

/// Takes what a source reads.
#[derive(Debug, Clone)]
pub struct SourceSink {
    pub(crate) records: watch::Receiver<PendingRecords>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) peers: Arc<PeerDirectory>,
    pub(crate) reads: Arc<SharedReads>,
    pub(crate) changes: mpsc::Sender<AppliedRecords>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log_limiter: Arc<LogLimiter>,
    pub(crate) log: Logger,
}

impl SourceSink {
    /// Gives the present time, by which reads are dated.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Puts a catalog in force; one of an older version is passed over.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn set_catalog(&self, catalog: Catalog) -> Result<(), Stopped> {
        self.send(Event::Config(Arc::new(catalog))).await
    }

    /// Tells what the last read found, so that this instance and its peers know how fresh it is; a
    /// time of zero stands for what was not read.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn record_read(&self, reads: ReadState) -> Result<(), Stopped> {
        self.reads.record_read(self.clock.now(), reads);
        self.refresh(reads).await
    }

    /// Tells what was taken from peers' words, likewise.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn record_from_peers(&self, reads: ReadState) -> Result<(), Stopped> {
        self.reads.record_from_peers(reads);
        self.refresh(reads).await
    }

    async fn refresh(&self, reads: ReadState) -> Result<(), Stopped> {
        if reads.config_at == Time::ZERO || reads.version == 0 {
            return Ok(());
        }
        self.send(Event::ConfigConfirmed(reads.config_at)).await
    }

    /// Counts a call to the store, and writes a line about it.
    pub fn record_store_call(&self, call: StoreCall) {
        self.metrics.count_store_call(call);
        if self
            .log_limiter
            .allow(&self.log, self.clock.now(), LogKind::StoreCall)
        {
            info!(self.log, "store called"; "call" => call.call, "topic" => call.topic,
                "reason" => call.reason, "failed" => call.failed);
        }
    }

    /// Counts an entry of an endpoint that names none to use; tells whether a line may be written of it.
    #[must_use]
    pub fn record_refused_entry(&self) -> bool {
        self.metrics.count_refused_entry();
        self.log_limiter
            .allow(&self.log, self.clock.now(), LogKind::RefusedEntry)
    }

    /// Gives what is known to be the newest.
    #[must_use]
    pub fn known(&self) -> ReadState {
        self.reads.own()
    }

    /// Gives when the list of endpoints was first read after its last outage, if a read of it that
    /// began at `at` succeeded now.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.reads.steady_since(at)
    }

    /// Tells that a read failed, and for how long nothing is to be read again.
    pub fn record_failure(&self, pause: Duration) {
        self.reads.record_failure(self.clock.now(), pause);
    }

    /// Waits until this instance has to read again, or a peer told something; tells what.
    ///
    /// It has to after `pause` if it reads for its peers, and later if another one does.
    pub async fn due(&self, pause: Duration) -> DueReads {
        let read_turn = || self.peers.read_turn(self.clock.now());
        self.reads.due(self.clock, pause, read_turn).await
    }

    /// Gives the records that peers read and told, in order.
    #[must_use]
    pub fn take_peer_records(&self) -> Vec<TopicRecords> {
        self.reads.take_peer_records()
    }

    /// Notes that changes that a peer told do not follow on what is known here.
    pub fn record_gap(&self, topic: Topic) {
        self.reads.record_gap(self.clock.now(), topic);
    }

    /// Keeps records that were taken here, and tells the other instances what changed by them.
    ///
    /// `read_here` tells whether this instance read them itself.
    pub fn apply_records(&self, records: &TopicRecords, read_locally: bool) {
        if let Some(records) = self.reads.apply_records(records) {
            // A peer that does not hear of them asks for them.
            let _ = self.changes.try_send(AppliedRecords {
                records,
                read_locally,
            });
        }
    }

    /// Gives the states of roll-outs that are to be kept, as they change.
    #[must_use]
    pub fn records(&self) -> watch::Receiver<PendingRecords> {
        self.records.clone()
    }

    /// Tells whether this instance leads the site, so that it is the one that writes to the store.
    #[must_use]
    pub fn is_site_lead(&self) -> bool {
        self.peers.read_turn(self.clock.now()).role == ReadRole::SiteLead
    }

    /// Tells what the store has of a roll-out.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_rollout_record(&self, record: RolloutRecord) -> Result<(), Stopped> {
        self.send(Event::Recorded(record)).await
    }

    /// Tells of requests in quarantine that the store has.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_quarantined(&self, told: Vec<SuspectReport>) -> Result<(), Stopped> {
        self.send(Event::SuspectsReported(told)).await
    }

    /// Tells that an operator lets a request go again, for all that ended until a Unix time.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_released(&self, content: ContentId, until: Duration) -> Result<(), Stopped> {
        let until = until.saturating_sub(self.clock.unix_zero());
        self.send(Event::Released(content, until)).await
    }

    /// Tells of another instance and where it takes heartbeats.
    pub fn add_peer(&self, peer: PeerRecord) {
        self.peers.add_listed(peer, self.clock.now());
    }

    /// Tells how many instances are listed, this one among them.
    pub fn set_site_size(&self, count: usize) {
        self.peers.set_site_size(count, self.clock.now());
    }

    /// Tells whether a peer told that this instance is listed at an address.
    #[must_use]
    pub fn peers_list_address(&self, address: SocketAddr) -> bool {
        self.peers.listed_address() == Some(address)
    }

    /// Gives this instance's availability zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        self.peers.zone()
    }

    /// Gives the processor that this instance has, in thousandths of a core.
    #[must_use]
    pub fn millicores(&self) -> Millicores {
        self.peers.millicores()
    }

    /// Tells that the platform's list of instances was read, and all in it were told.
    pub fn mark_listed(&self) {
        self.peers.mark_listed();
    }

    /// Tells whether the other instances were told of, by the platform's list or by one of them.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.peers.is_listed()
    }

    /// Tells whether this instance just started, and still waits for what its peers tell.
    #[must_use]
    pub fn awaits_peers(&self) -> bool {
        self.reads.awaits_reply(self.clock.now())
    }

    /// Tells whether any other instance has been heard from.
    #[must_use]
    pub fn hears_peers(&self) -> bool {
        self.peers.any_live(self.clock.now())
    }

    async fn send(&self, event: Event) -> Result<(), Stopped> {
        let sent = self.inputs.send(Input::Event(event)).await;
        sent.map_err(|_closed| Stopped)
    }
}
