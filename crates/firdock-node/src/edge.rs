//! An entry instance at the edge of a platform: the scheduler between a platform's interface, its
//! endpoints and its source of resources, each behind a trait.
//!
//! All of it runs on one thread: an edge instance has a part of one core, on which threads only
//! cost switches (figures in `docs/design/platform.md`).

use std::sync::Arc;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::event::Member;
use firdock_policy::{Event, Mechanisms, PolicySettings, Scheduler};
use slog::{Logger, info, o, warn};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};
use uuid::Uuid;

use crate::answers::Answers;
use crate::clock::{Clock, millis};
use crate::config::Hub;
use crate::door::{Door, DoorLimits, DoorState, Interface, Opening};
use crate::driver::{Driver, DriverParts};
use crate::endpoint::relay::{Dialect, Relay};
use crate::endpoint::run::RunLimits;
use crate::http::{ServerOptions, serve};
use crate::input::{INPUTS_WAITING, Input};
use crate::instance::{AbortOnPanic, ListenSnafu, StartError, UnsetSnafu, open};
use crate::peer::{
    Beacons, Dialer, EntryChanges, PeerBook, SelfNews, SharedReads, UseRelay, open_beacons,
};
use crate::placement::{DatagramLink, Membership, Placement};
use crate::site::Site;
use crate::source::{ResourceSource, SourceSink};
use crate::status::{Readiness, metrics};
use crate::telemetry::{LineBudget, Metrics, silent};

/// Time after the order to stop in which calls are still served: the balancer asks once a second,
/// takes an instance out after two refusals, and connections it passed on just before bring one
/// more call each.
const SERVE_ON: Duration = Duration::from_millis(2_800);
/// Time kept free before the platform ends the process, for the last answers to be written.
const RESERVE: Duration = Duration::from_millis(700);
/// Broken dispatches in a row after which an endpoint is ejected: plain servers fail some of their
/// requests while they are well (one in seven at the users' sites), so that one says little.
const EJECT_AFTER: u32 = 3;
/// Changes of the list of endpoints that may wait to be told; more are read by each peer.
const CHANGES_WAITING: usize = 64;
/// Connections of the balancer and of whoever collects metrics.
const STATUS_CONNECTIONS: usize = 64;
/// Bytes in the head of a call for the instance's status.
const STATUS_HEAD_BYTES: usize = 16 << 10;

/// An edge instance that is to be started.
#[derive(Debug)]
pub struct EdgeInstance<I, D, S> {
    settings: Settings,
    interface: I,
    dialect: D,
    source: S,
    log: Logger,
}

/// A running edge instance.
#[derive(Debug)]
pub struct RunningEdge {
    door: DoorState,
    inputs: mpsc::Sender<Input>,
    drained: watch::Receiver<bool>,
    serving: JoinHandle<()>,
    stop_door: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    stop_time: Duration,
    log: Logger,
    lines: Arc<LineBudget>,
}

impl<I: Interface, D: Dialect, S: ResourceSource> EdgeInstance<I, D, S> {
    /// Makes an instance from checked settings and the platform's adapters.
    #[must_use]
    pub fn new(settings: Settings, interface: I, dialect: D, source: S) -> Self {
        Self {
            settings,
            interface,
            dialect,
            source,
            log: silent(),
        }
    }

    /// Sets the logger.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Starts the instance on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address is missing or cannot be listened on.
    pub async fn start(self) -> Result<RunningEdge, StartError> {
        let parts = Parts::new(&self.settings, self.log.clone());
        let (inputs, waiting) = mpsc::channel(INPUTS_WAITING);
        let (stop_door, door_stops) = watch::channel(false);
        let (stop_rest, rest_stops) = watch::channel(false);
        let (drained, drain_seen) = watch::channel(false);
        let (news, news_seen) = watch::channel(SelfNews::default());
        let (changes, changes_told) = mpsc::channel(CHANGES_WAITING);

        let callers = open(self.settings.instance.callers, "instance.callers")?;
        parts.serve_status(&rest_stops)?;
        let socket = parts.open_datagrams().await?;
        parts.start_beacons(
            &socket,
            &inputs,
            news_seen,
            changes_told,
            rest_stops.clone(),
        );
        let driver = parts
            .driver(self.dialect, &inputs, news, drained)
            .with_placement(parts.placement(socket));
        tokio::spawn(async move {
            // A panic there is a broken promise, so the process ends instead of going on.
            let abort = AbortOnPanic;
            driver.run(waiting, rest_stops).await;
            drop(abort);
        });
        tokio::spawn(self.source.follow(parts.sink(&inputs, changes)));

        let door = parts.door(self.interface, inputs.clone());
        let options = ServerOptions::new(&self.settings.limits);
        let handle = move |r| door.clone().handle(r);
        let serving = tokio::spawn(serve(callers, options, door_stops, handle));
        info!(self.log, "started"; "zone" => &self.settings.instance.zone,
            "incarnation" => parts.member.incarnation.to_string());
        Ok(RunningEdge {
            door: parts.door,
            inputs,
            drained: drain_seen,
            serving,
            stop_door,
            stop_rest,
            stop_time: Duration::from_secs(self.settings.limits.stop_seconds),
            log: self.log,
            lines: parts.lines,
        })
    }
}

impl RunningEdge {
    /// Stops in order: not ready at once, calls served on until the balancer knows, what runs
    /// ended in place, and all of it before the platform ends the process.
    pub async fn stop(self) {
        let now = Instant::now();
        let end = now + self.stop_time.saturating_sub(RESERVE);
        info!(self.log, "stopping"; "millis" => millis(self.stop_time));
        self.door.set(Opening::Closing);
        let _ = self.inputs.send(Input::Event(Event::Drain)).await;
        sleep_until((now + SERVE_ON).min(end)).await;
        self.door.set(Opening::Closed);
        self.stop_door.send_replace(true);
        let finished = timeout_at(end, self.serving).await.is_ok();
        if !finished {
            warn!(self.log, "stopped before everything was finished");
        }
        let drained = *self.drained.borrow();
        self.stop_rest.send_replace(true);
        tokio::task::yield_now().await;
        self.lines.finish(&self.log);
        info!(self.log, "stopped"; "drained" => drained);
    }
}

/// What the parts of an edge instance share.
#[derive(Debug)]
struct Parts {
    settings: Settings,
    member: Member,
    clock: Clock,
    site: Arc<Site>,
    door: DoorState,
    metrics: Arc<Metrics>,
    peers: Arc<PeerBook>,
    reads: Arc<SharedReads>,
    log: Logger,
    lines: Arc<LineBudget>,
}

impl Parts {
    fn new(settings: &Settings, log: Logger) -> Self {
        let name = settings.instance.name.clone();
        Self {
            settings: settings.clone(),
            member: Member {
                name: name.clone(),
                incarnation: Uuid::now_v7(),
            },
            clock: Clock::new(),
            site: Arc::default(),
            door: DoorState::default(),
            metrics: Arc::default(),
            peers: Arc::new(PeerBook::new(name, settings.instance.zone.clone())),
            reads: Arc::default(),
            log,
            lines: Arc::default(),
        }
    }

    fn sink(
        &self,
        inputs: &mpsc::Sender<Input>,
        changes: mpsc::Sender<EntryChanges>,
    ) -> SourceSink {
        SourceSink {
            inputs: inputs.clone(),
            changes,
            peers: Arc::clone(&self.peers),
            reads: Arc::clone(&self.reads),
            clock: self.clock,
        }
    }

    fn door<I: Interface>(&self, interface: I, inputs: mpsc::Sender<Input>) -> Door<I> {
        let limits = DoorLimits::new(&self.settings.limits);
        let site = Arc::clone(&self.site);
        Door::new(
            interface,
            limits,
            site,
            inputs,
            self.clock,
            self.log.clone(),
        )
        .with_state(self.door.clone())
        .with_lines(Arc::clone(&self.lines))
    }

    fn driver<D: Dialect>(
        &self,
        dialect: D,
        inputs: &mpsc::Sender<Input>,
        news: watch::Sender<SelfNews>,
        drained: watch::Sender<bool>,
    ) -> Driver<Relay<D>> {
        let e = &self.settings.endpoints;
        let connect = Duration::from_millis(e.connect_millis);
        let key = &self.settings.peers.shared_key;
        let hub = Arc::new(Hub::default());
        let parts = DriverParts {
            backends: Relay::new(dialect, connect),
            dialer: Dialer::new(self.member.name.clone(), key, hub),
            site: Arc::clone(&self.site),
            answers: Answers::new(self.settings.keys.answer_bytes),
            metrics: Arc::clone(&self.metrics),
            limits: RunLimits::new(e),
            clock: self.clock,
            log: self.log.new(o!("part" => "driver")),
            lines: Arc::clone(&self.lines),
            runtime: Handle::current(),
            inputs: inputs.clone(),
            news,
            drained,
        };
        Driver::new(Scheduler::new(self.policy()), parts)
    }

    fn policy(&self) -> PolicySettings {
        PolicySettings::new(&self.settings, self.member.incarnation)
            .with_mechanisms(Mechanisms::EDGE)
            .with_eject_after(EJECT_AFTER)
            .with_await_peers()
    }

    /// Makes both sides of the placement of requests on engines.
    fn placement(&self, socket: Arc<UdpSocket>) -> Placement {
        let log = self.log.new(o!("part" => "placement"));
        let link = DatagramLink::new(socket, self.key(), log.clone());
        let zone = self.settings.instance.zone.clone();
        let member = Membership::new(self.member.clone(), zone, Arc::clone(&self.peers), log);
        let tables = Scheduler::new(self.policy().with_coordination());
        Placement::new(member, tables, link)
    }

    fn key(&self) -> Arc<[u8]> {
        Arc::from(self.settings.peers.shared_key.as_bytes())
    }

    async fn open_datagrams(&self) -> Result<Arc<UdpSocket>, StartError> {
        let field = "instance.peers";
        let address = self.settings.instance.peers.context(UnsetSnafu { field })?;
        let socket = open_beacons(address)
            .await
            .context(ListenSnafu { address })?;
        Ok(Arc::new(socket))
    }

    fn start_beacons(
        &self,
        socket: &Arc<UdpSocket>,
        inputs: &mpsc::Sender<Input>,
        news: watch::Receiver<SelfNews>,
        changes: mpsc::Receiver<EntryChanges>,
        stop: watch::Receiver<bool>,
    ) {
        let beacons = Beacons {
            socket: Arc::clone(socket),
            member: self.member.clone(),
            key: self.key(),
            book: Arc::clone(&self.peers),
            reads: Arc::clone(&self.reads),
            news,
            changes,
            relay: UseRelay::default(),
            inputs: inputs.clone(),
            pause: self.settings.peers.heartbeat(),
            clock: self.clock,
            log: self.log.new(o!("part" => "peers")),
        };
        tokio::spawn(beacons.run(stop));
    }

    /// Serves readiness, and metrics where an address for them is set.
    fn serve_status(&self, stop: &watch::Receiver<bool>) -> Result<(), StartError> {
        let options = ServerOptions {
            connections: STATUS_CONNECTIONS,
            header_bytes: STATUS_HEAD_BYTES,
            header_time: Duration::from_millis(self.settings.limits.header_millis),
        };
        let ready = open(self.settings.instance.ready, "instance.ready")?;
        let readiness = Readiness {
            site: Arc::clone(&self.site),
            door: self.door.clone(),
            limit: self.settings.freshness.serve().unwrap_or(Duration::MAX),
            clock: self.clock,
        };
        let answer = move |_| std::future::ready(readiness.answer());
        tokio::spawn(serve(ready, options, stop.clone(), answer));
        if self.settings.instance.metrics.is_some() {
            let listener = open(self.settings.instance.metrics, "instance.metrics")?;
            let figures = Arc::clone(&self.metrics);
            let answer = move |_| std::future::ready(metrics(&figures));
            tokio::spawn(serve(listener, options, stop.clone(), answer));
        }
        Ok(())
    }
}
