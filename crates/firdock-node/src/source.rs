//! Interface for sources of resources, from which the configuration in force and the endpoints are read.
//!
//! Firdock's own source is the platform's log (`crate::config`). The source for another platform is an
//! adapter that reads the platform's store and passes the results to a [`SourceSink`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::{ContentId, Offset, PoolId};
use firdock_policy::event::RenewedEntry;
use firdock_policy::rollout::RolloutRecord;
use firdock_policy::suspect::SuspectReport;
use firdock_policy::table::build_history::ServedBuild;
use firdock_policy::{Event, Time};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::input::Input;
use crate::peer::{
    AppliedRecords, DueReads, Millicores, PeerDirectory, PeerRecord, ReadRole, ReadState,
    SharedReads, Topic, TopicRecords,
};
use crate::streams::SharedStreams;
use crate::telemetry::{LogKind, LogLimiter, Metrics};

/// Follows a platform's configuration for as long as the instance runs.
pub trait ResourceSource: Send + 'static {
    /// Reads the configuration repeatedly and passes the results to `sink`.
    fn follow(self, sink: SourceSink) -> impl Future<Output = ()> + Send;
}

/// Error: the instance was stopped, so nothing receives the results of reads.
#[derive(Debug, Clone, Copy)]
pub struct Stopped;

/// A completed call to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// Operation.
    pub call: &'static str,
    /// Topic, under the store's name for it.
    pub topic: &'static str,
    /// Why the call was made.
    pub reason: &'static str,
    /// Whether it failed.
    pub failed: bool,
}

/// Records to be written to the platform's store: the newest roll-out state of each pool, quarantined requests, and
/// the builds that serve.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingRecords {
    by_pool: BTreeMap<PoolId, RolloutRecord>,
    quarantined: BTreeMap<ContentId, (Time, SuspectReport)>,
    released: BTreeSet<ContentId>,
    builds: Option<Vec<ServedBuild>>,
}

impl PendingRecords {
    /// Adds the state of a roll-out, which replaces an earlier one of the same pool.
    pub fn add(&mut self, record: RolloutRecord) {
        self.by_pool.insert(record.pool.clone(), record);
    }

    /// Adds a quarantined request, reported at `now`, which replaces an earlier report on it.
    pub fn quarantine(&mut self, now: Time, report: SuspectReport) {
        self.released.remove(&report.content.id);
        self.quarantined.insert(report.content.id, (now, report));
    }

    /// Records that a request was released from quarantine.
    pub fn release(&mut self, content: ContentId) {
        self.quarantined.remove(&content);
        self.released.insert(content);
    }

    /// Sets the builds that serve or served lately.
    pub fn set_builds(&mut self, builds: Vec<ServedBuild>) {
        self.builds = Some(builds);
    }

    /// Returns the builds that serve or served lately; `None` until those of before the start are known.
    #[must_use]
    pub fn builds(&self) -> Option<&[ServedBuild]> {
        self.builds.as_deref()
    }

    /// Iterates over the requests that were released from quarantine.
    pub fn released(&self) -> impl Iterator<Item = &ContentId> {
        self.released.iter()
    }

    /// Iterates over the quarantined requests, with the times of their reports.
    pub fn quarantined(&self) -> impl Iterator<Item = &(Time, SuspectReport)> {
        self.quarantined.values()
    }

    /// Iterates over the states of roll-outs, in the order of pools.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.by_pool.values()
    }
}

/// Receives what a source reads, for the scheduler and the peers.
#[derive(Debug, Clone)]
pub struct SourceSink {
    pub(crate) records: watch::Receiver<PendingRecords>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) peers: Arc<PeerDirectory>,
    pub(crate) reads: Arc<SharedReads>,
    pub(crate) streams: SharedStreams,
    pub(crate) changes: mpsc::Sender<AppliedRecords>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log_limiter: Arc<LogLimiter>,
    pub(crate) log: Logger,
}

impl SourceSink {
    /// Returns the current time, for the times of reads.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Puts a catalog in force; a catalog of an older version is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn set_catalog(&self, catalog: Catalog) -> Result<(), Stopped> {
        self.send(Event::Config(Arc::new(catalog))).await
    }

    /// Records the result of a read of the store, from which this instance and its peers know how fresh their
    /// state is. A time of zero means that the topic was not read.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn record_read(&self, reads: ReadState) -> Result<(), Stopped> {
        self.reads.record_read(self.clock.now(), reads);
        self.refresh(reads).await
    }

    /// Records the content known from peers' records, with estimates of when it was read. The peers' heartbeats
    /// confirm it.
    pub fn record_from_peers(&self, reads: ReadState) {
        self.reads.record_from_peers(reads);
    }

    async fn refresh(&self, reads: ReadState) -> Result<(), Stopped> {
        if reads.config_at == Time::ZERO || reads.version == 0 {
            return Ok(());
        }
        self.send(Event::ConfigConfirmed(reads.config_at)).await
    }

    /// Counts a call to the store and logs it.
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

    /// Logs a read whose topic ended before the offset up to which it is known here.
    pub fn log_outdated_read(&self, topic: Topic, end: Offset, known: Offset) {
        warn!(self.log, "store read older than the known state"; "topic" => topic.as_str(),
            "end" => end, "known" => known);
    }

    /// Logs a listing of a topic that is said to end at `end`, while its records prove it up to `known` only.
    pub fn log_unproved_end(&self, topic: Topic, end: Offset, known: Offset) {
        warn!(self.log, "no record proves the end of a topic"; "topic" => topic.as_str(),
            "end" => end, "known" => known);
    }

    /// Counts parts of a manifest that were not taken as they stand.
    pub fn count_bad_parts(&self, count: usize) {
        self.metrics.count_bad_parts(count);
    }

    /// Counts and logs a listing of a topic that is only a part of it, with the numbers of its items and of those that
    /// are used.
    pub fn record_partial_listing(&self, topic: Topic, items: usize, used: usize) {
        self.metrics.count_partial_listing();
        warn!(self.log, "part of a topic listed"; "topic" => topic.as_str(),
            "items" => items, "used" => used);
    }

    /// Logs records without a readable key that were passed over in a batch that begins at `from`.
    pub fn log_unreadable_records(&self, topic: Topic, count: usize, from: Offset) {
        warn!(self.log, "records without a key passed over"; "topic" => topic.as_str(),
            "count" => count, "from" => from);
    }

    /// Counts an entry of an endpoint that describes no usable endpoint; returns whether it may be logged.
    #[must_use]
    pub fn record_refused_entry(&self) -> bool {
        self.metrics.count_refused_entry();
        self.log_limiter
            .allow(&self.log, self.clock.now(), LogKind::RefusedEntry)
    }

    /// Returns the newest state of reads that is known here.
    #[must_use]
    pub fn known(&self) -> ReadState {
        self.reads.own()
    }

    /// Returns the time of the first read of the list of endpoints after its last outage, given that a read
    /// that began at `at` has just succeeded.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.reads.steady_since(at)
    }

    /// Records that a read whose last call was sent at `at` failed, and the pause from then to the next one.
    pub fn record_failure(&self, at: Time, pause: Duration) {
        self.reads.record_failure(at, pause);
    }

    /// Returns whether this instance is one of many that read the store in turns while no peer reports.
    #[must_use]
    pub fn takes_turns(&self) -> bool {
        self.peers.read_turn(self.clock.now()).role == ReadRole::Member
    }

    /// Waits until this instance has to read again or a peer sent something, and returns which.
    ///
    /// An instance that reads for its peers has to read after `pause`; the others have to read later.
    pub async fn due(&self, pause: Duration) -> DueReads {
        let read_turn = || self.peers.read_turn(self.clock.now());
        self.reads.due(self.clock, pause, read_turn).await
    }

    /// Takes the records that peers have read and sent, in order.
    #[must_use]
    pub fn take_peer_records(&self) -> Vec<TopicRecords> {
        self.reads.take_peer_records()
    }

    /// Records that changes sent by a peer do not continue from the state that is known here.
    pub fn record_gap(&self, topic: Topic) {
        self.reads.record_gap(self.clock.now(), topic);
    }

    /// Stores records that were applied here, and sends the changes to the other instances.
    ///
    /// `read_locally` says whether this instance read them from the store itself.
    pub fn apply_records(&self, records: &TopicRecords, read_locally: bool) {
        if let Some(records) = self.reads.apply_records(records) {
            // If the queue is full, the peers that miss the changes request them.
            let _ = self.changes.try_send(AppliedRecords {
                records,
                read_locally,
            });
        }
    }

    /// Returns a watch channel of the records that are to be written to the store.
    #[must_use]
    pub fn records(&self) -> watch::Receiver<PendingRecords> {
        self.records.clone()
    }

    /// Returns whether this instance is the site's lead, which is the one that writes to the store.
    #[must_use]
    pub fn is_site_lead(&self) -> bool {
        self.peers.read_turn(self.clock.now()).role == ReadRole::SiteLead
    }

    /// Returns whether this instance leads its group, the members of which report to it what they begin.
    #[must_use]
    pub fn is_group_lead(&self) -> bool {
        self.peers.is_lead(self.clock.now())
    }

    /// Returns the number of groups, as far as their leads are known.
    #[must_use]
    pub fn group_count(&self) -> usize {
        self.peers.group_count(self.clock.now())
    }

    /// Sends the scheduler the state of a roll-out as recorded in the store.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_rollout_record(&self, record: RolloutRecord) -> Result<(), Stopped> {
        self.send(Event::Recorded(record)).await
    }

    /// Sends the scheduler the quarantined requests that are recorded in the store.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_quarantined(&self, reports: Vec<SuspectReport>) -> Result<(), Stopped> {
        self.send(Event::SuspectsReported(reports)).await
    }

    /// Sends the scheduler an operator's release of a request from quarantine. It covers the exits of
    /// endpoints up to the Unix time `until`.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_released(&self, content: ContentId, until: Duration) -> Result<(), Stopped> {
        let until = until.saturating_sub(self.clock.unix_zero());
        self.send(Event::Released(content, until)).await
    }

    /// Sends the scheduler the builds that served before this instance started, as recorded in the store.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_builds(&self, builds: Vec<ServedBuild>) -> Result<(), Stopped> {
        self.send(Event::BuildsRecorded(builds)).await
    }

    /// Sends the scheduler the entries that endpoints renewed.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn send_renewed(&self, entries: Vec<RenewedEntry>) -> Result<(), Stopped> {
        self.send(Event::EntriesRenewed(entries)).await
    }

    /// Returns the streams that callers may continue, with the lookups of those that no instance knows.
    #[must_use]
    pub fn streams(&self) -> SharedStreams {
        Arc::clone(&self.streams)
    }

    /// Returns the Unix time at zero of this process's clock.
    #[must_use]
    pub fn unix_zero(&self) -> Duration {
        self.clock.unix_zero()
    }

    /// Adds another instance with its address for heartbeats.
    pub fn add_peer(&self, peer: PeerRecord) {
        self.peers.add_listed(peer, self.clock.now());
    }

    /// Sets the number of listed instances, including this one.
    pub fn set_site_size(&self, count: usize) {
        self.peers.set_site_size(count, self.clock.now());
    }

    /// Returns whether a peer reported that this instance is listed with `address`.
    #[must_use]
    pub fn peers_list_address(&self, address: SocketAddr) -> bool {
        self.peers.listed_address() == Some(address)
    }

    /// Returns this instance's availability zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        self.peers.zone()
    }

    /// Returns the CPU capacity of this instance, in thousandths of a core.
    #[must_use]
    pub fn millicores(&self) -> Millicores {
        self.peers.millicores()
    }

    /// Records that the platform's list of instances was read and that all of its entries were added.
    pub fn mark_listed(&self) {
        self.peers.mark_listed();
    }

    /// Returns whether the list of instances is known, from the platform or from a peer.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.peers.is_listed()
    }

    /// Returns whether this instance has just started and still waits for the state of its peers.
    #[must_use]
    pub fn awaits_peers(&self) -> bool {
        self.reads.awaits_reply(self.clock.now())
    }

    /// Returns whether any other instance is live.
    #[must_use]
    pub fn hears_peers(&self) -> bool {
        self.peers.any_live(self.clock.now())
    }

    async fn send(&self, event: Event) -> Result<(), Stopped> {
        let sent = self.inputs.send(Input::Event(event)).await;
        sent.map_err(|_closed| Stopped)
    }
}
