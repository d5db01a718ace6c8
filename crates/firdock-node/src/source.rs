//! Sources of resources: where the configuration in force and the endpoints come from.
//!
//! Firdock's own source is the platform's log with its fold (`crate::config`); another platform's
//! source is an adapter that reads it in its own way and tells what it read here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::InstanceId;
use firdock_core::resource::Catalog;
use firdock_policy::{Event, Time};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::input::Input;
use crate::peer::{Due, EntryChanges, PeerBook, Reads, SharedReads};

/// Follows a platform's configuration for as long as the instance runs.
pub trait ResourceSource: Send + 'static {
    /// Reads the configuration again and again and tells `sink` what it found.
    fn follow(self, sink: SourceSink) -> impl Future<Output = ()> + Send;
}

/// The instance was stopped, so nobody takes what is read.
#[derive(Debug, Clone, Copy)]
pub struct Stopped;

/// Takes what a source reads.
#[derive(Debug, Clone)]
pub struct SourceSink {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) peers: Arc<PeerBook>,
    pub(crate) reads: Arc<SharedReads>,
    pub(crate) changes: mpsc::Sender<EntryChanges>,
    pub(crate) clock: Clock,
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
    pub async fn set(&self, catalog: Catalog) -> Result<(), Stopped> {
        self.send(Event::Config(Arc::new(catalog))).await
    }

    /// Tells what the last read found, so that this instance and its peers know how fresh it is; a
    /// time of zero stands for what was not read.
    ///
    /// # Errors
    ///
    /// Fails if the instance was stopped.
    pub async fn note(&self, reads: Reads) -> Result<(), Stopped> {
        self.reads.note(self.clock.now(), reads);
        if reads.config_at == Time::ZERO {
            return Ok(());
        }
        self.send(Event::Fresh(reads.config_at)).await
    }

    /// Gives when the list of endpoints was first read after its last outage, if a read of it that
    /// began at `at` succeeded now.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.reads.steady_since(at)
    }

    /// Tells that a read failed.
    pub fn note_failed(&self) {
        self.reads.note_failed(self.clock.now());
    }

    /// Waits until this instance has to read again, and tells what.
    ///
    /// It has to after `pause` if it reads for its peers, later if another one does, and at once if
    /// a peer has something newer.
    pub async fn due(&self, pause: Duration) -> Due {
        let reader = || self.peers.reader(self.clock.now());
        self.reads.due(self.clock, pause, reader).await
    }

    /// Gives the changes in the list of endpoints that peers read and told, in order.
    #[must_use]
    pub fn take_told(&self) -> Vec<EntryChanges> {
        self.reads.take_told()
    }

    /// Notes that changes that a peer told were taken.
    pub fn note_told(&self, endpoints: u64, read_at: Time) {
        self.reads.note_told(endpoints, read_at);
    }

    /// Notes that changes that a peer told do not follow on what is known here.
    pub fn note_gap(&self) {
        self.reads.note_gap();
    }

    /// Tells the other instances of changes in the list of endpoints that were taken here.
    pub fn tell_changes(&self, changes: EntryChanges) {
        // A peer that does not hear of them reads the list by itself.
        let _ = self.changes.try_send(changes);
    }

    /// Tells of another instance and where it takes heartbeats.
    pub fn know_peer(&self, name: InstanceId, address: SocketAddr) {
        self.peers.know(name, address, self.clock.now());
    }

    /// Tells that the platform's list of instances was read, and all in it were told.
    pub fn note_listed(&self) {
        self.peers.note_listed();
    }

    /// Tells whether any other instance has been heard from.
    #[must_use]
    pub fn hears_peers(&self) -> bool {
        self.peers.hears_any(self.clock.now())
    }

    async fn send(&self, event: Event) -> Result<(), Stopped> {
        let sent = self.inputs.send(Input::Event(event)).await;
        sent.map_err(|_closed| Stopped)
    }
}
