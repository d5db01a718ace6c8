//! The components of an edge instance, created from the state they share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use firdock_core::settings::{Seed, Settings};
use firdock_policy::event::Member;
use firdock_policy::transfer::BufferPool;
use firdock_policy::{Mechanisms, PolicySettings, Scheduler};
use hyper::Request;
use hyper::body::Incoming;
use slog::{Logger, o, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use uuid::Uuid;

use crate::answer_cache::AnswerCache;
use crate::clock::Clock;
use crate::config::Hub;
use crate::driver::{Driver, DriverParts};
use crate::endpoint::relay::{Dialect, Relay};
use crate::endpoint::run::DispatchLimits;
use crate::exchange::{AnswerBudget, BodyBudget};
use crate::http::{Acceptor, Connector, ServerOptions, SocketBuffers, serve};
use crate::ingress::{Ingress, IngressLimits, IngressState, Interface};
use crate::input::Input;
use crate::instance::{Port, PortOpener, StartError};
use crate::peer::{
    AppliedRecords, BeaconService, Dialer, OpenTunnels, PeerDirectory, SelfStatus, SharedReads,
    TunnelClient, TunnelServer,
};
use crate::placement::{DatagramLink, Membership, Placement};
use crate::site::Site;
use crate::source::{PendingRecords, SourceSink};
use crate::status::{self, Readiness};
use crate::streams::{SharedStreams, Streams};
use crate::telemetry::{AnswerMetrics, LogLimiter, Metrics, ReadLog};

/// Number of consecutive broken dispatches after which an endpoint is ejected. Healthy plain
/// servers also fail some requests (one in seven in deployments), so a single failure is weak
/// evidence.
const EJECT_AFTER: u32 = 3;
/// Connection limit of the status listeners, which the load balancer and metrics collectors use.
const STATUS_CONNECTIONS: usize = 64;
/// Pool for larger socket buffers of these ports: their answers are short.
const STATUS_POOL_BYTES: usize = 0;
/// Maximum size of the head of a status request.
const STATUS_HEAD_BYTES: usize = 16 << 10;

/// State shared by the components of an edge instance.
#[derive(Debug)]
pub struct EdgeParts {
    settings: Settings,
    pub member: Member,
    clock: Clock,
    site: Arc<Site>,
    pub ingress: IngressState,
    answer_budget: AnswerBudget,
    body_budget: BodyBudget,
    metrics: Arc<Metrics>,
    peers: Arc<PeerDirectory>,
    reads: Arc<SharedReads>,
    streams: SharedStreams,
    log: Logger,
    pub log_limiter: Arc<LogLimiter>,
    pub tunnels: OpenTunnels,
}

/// Channels on which the driver publishes state.
#[derive(Debug)]
pub struct DriverOutputs {
    /// What peers are told about this instance.
    pub self_status: watch::Sender<SelfStatus>,
    /// Roll-out states to write to the platform's store.
    pub records: watch::Sender<PendingRecords>,
    /// Becomes true once a stopping instance has nothing left to do.
    pub drained: watch::Sender<bool>,
}

/// Returns the heartbeat addresses of the seeds, the instances that are asked first at the start.
/// Heartbeats use the same port on all instances.
fn seeds(settings: &Settings) -> impl Iterator<Item = SocketAddr> {
    let port = settings.instance.peers.map_or(0, |own| own.port());
    let seeds = settings.peers.seeds.iter().filter_map(Seed::ip);
    seeds.map(move |ip| SocketAddr::new(ip, port))
}

/// Returns the seeds except this instance.
fn other_seeds(settings: &Settings) -> Vec<SocketAddr> {
    let me = settings.instance.peers;
    seeds(settings).filter(|seed| Some(*seed) != me).collect()
}

fn log_unreadable_seeds(settings: &Settings, log: &Logger) {
    for seed in &settings.peers.seeds {
        if let Seed::Unreadable(text) = seed {
            warn!(log, "seed that is no address left out"; "seed" => text);
        }
    }
}

/// Whether this instance asks its peers before it reads the store at the start. Seeds do not: the
/// others ask them, and all instances may start at the same moment.
fn asks_peers_first(settings: &Settings) -> bool {
    let me = settings.instance.peers;
    let is_seed = seeds(settings).any(|seed| Some(seed) == me);
    !is_seed && seeds(settings).next().is_some()
}

impl EdgeParts {
    /// Creates the shared state for a new start of the process.
    pub fn new(settings: &Settings, clock: Clock, log: Logger) -> Self {
        let name = settings.instance.name.clone();
        let metrics: Arc<Metrics> = Arc::default();
        metrics.record_start(clock.unix_zero() + clock.now());
        let log_limiter: Arc<LogLimiter> = Arc::default();
        let body_budget = BodyBudget::new(
            settings.limits.held_bytes,
            settings.limits.body_wait,
            clock,
            metrics.body_metrics(),
        );
        let answer_budget = AnswerBudget::new(
            settings.limits.answer_bytes,
            clock,
            metrics.answer_metrics(),
            log.new(o!("part" => "answers")),
            Arc::clone(&log_limiter),
        );
        Self {
            settings: settings.clone(),
            member: Member {
                name: name.clone(),
                incarnation: Uuid::now_v7(),
            },
            clock,
            site: Arc::default(),
            ingress: IngressState::default(),
            answer_budget,
            body_budget,
            metrics,
            peers: Arc::new(
                PeerDirectory::new(name, settings.instance.zone.clone())
                    .with_millicores(settings.instance.millicores()),
            ),
            reads: Arc::new(
                SharedReads::default().with_asks_peers_first(asks_peers_first(settings)),
            ),
            streams: Arc::new(Streams::default().with_store()),
            log,
            log_limiter,
            tunnels: OpenTunnels::default(),
        }
    }

    /// Creates the sink through which the platform's source reports what it reads.
    pub fn sink(
        &self,
        inputs: &mpsc::Sender<Input>,
        changes: mpsc::Sender<AppliedRecords>,
        records: watch::Receiver<PendingRecords>,
    ) -> SourceSink {
        SourceSink {
            inputs: inputs.clone(),
            records,
            changes,
            peers: Arc::clone(&self.peers),
            reads: Arc::clone(&self.reads),
            streams: Arc::clone(&self.streams),
            clock: self.clock,
            metrics: Arc::clone(&self.metrics),
            log_limiter: Arc::clone(&self.log_limiter),
            log: self.log.new(o!("part" => "source")),
        }
    }

    /// Returns the metrics of answers and of the buffers that they take.
    pub fn answer_metrics(&self) -> AnswerMetrics {
        self.metrics.answer_metrics()
    }

    /// Creates the ingress for callers.
    pub fn ingress<I: Interface>(&self, interface: I, inputs: mpsc::Sender<Input>) -> Ingress<I> {
        let limits = IngressLimits::new(&self.settings.limits);
        let site = Arc::clone(&self.site);
        Ingress::new(
            interface,
            limits,
            site,
            inputs,
            self.clock,
            self.log.clone(),
        )
        .with_state(self.ingress.clone())
        .with_log_limiter(Arc::clone(&self.log_limiter))
        .with_answer_budget(self.answer_budget.clone())
        .with_body_budget(self.body_budget.clone())
        .with_streams(Arc::clone(&self.streams))
        .with_metrics(Arc::clone(&self.metrics))
    }

    /// Creates the driver, which owns the scheduler's tables.
    pub fn driver<D: Dialect, C: Connector>(
        &self,
        dialect: D,
        connector: C,
        inputs: &mpsc::Sender<Input>,
        outputs: DriverOutputs,
    ) -> Driver<Relay<D, C>> {
        let e = &self.settings.endpoints;
        let connect = e.connect_timeout;
        let key = &self.settings.peers.shared_key;
        let hub = Arc::new(Hub::default());
        let parts = DriverParts {
            dispatcher: Relay::new(dialect, connector, connect, self.tunnel_client()),
            dialer: Dialer::new(self.member.name.clone(), key, hub),
            site: Arc::clone(&self.site),
            answer_cache: AnswerCache::new(self.settings.keys.answer_bytes),
            answer_budget: self.answer_budget.clone(),
            body_budget: self.body_budget.clone(),
            metrics: Arc::clone(&self.metrics),
            limits: DispatchLimits::new(e),
            streams: Arc::clone(&self.streams),
            clock: self.clock,
            log: self.log.new(o!("part" => "driver")),
            log_limiter: Arc::clone(&self.log_limiter),
            runtime: Handle::current(),
            inputs: inputs.clone(),
            self_status: outputs.self_status,
            records: outputs.records,
            drained: outputs.drained,
        };
        Driver::new(Scheduler::new(self.policy()), parts)
    }

    fn policy(&self) -> PolicySettings {
        PolicySettings::new(&self.settings, self.member.incarnation)
            .with_mechanisms(Mechanisms::EDGE)
            .with_eject_after(EJECT_AFTER)
            .with_await_peers()
            .with_shared_permits()
            .with_routes_by_peers()
            .with_recorded_builds()
            .with_unix_zero(self.clock.unix_zero())
    }

    /// Creates the member and coordinator sides of placement.
    pub fn placement(&self, socket: Arc<UdpSocket>) -> Placement {
        let log = self.log.new(o!("part" => "placement"));
        let link = DatagramLink::new(socket, self.key(), log.clone());
        let zone = self.settings.instance.zone.clone();
        let member = Membership::new(self.member.clone(), zone, Arc::clone(&self.peers), log);
        let tables = Scheduler::new(self.policy().with_coordination());
        Placement::new(member, tables, link)
    }

    fn tunnel_client(&self) -> TunnelClient {
        let peers = Arc::clone(&self.peers);
        TunnelClient::new(self.member.name.clone(), self.key(), peers)
    }

    /// Creates the server that passes connections of peers on to endpoints.
    pub fn tunnel_server<C: Connector>(&self, connector: C) -> TunnelServer<C> {
        TunnelServer {
            name: self.member.name.clone(),
            key: self.key(),
            site: Arc::clone(&self.site),
            connector,
            clock: self.clock,
            log: self.log.new(o!("part" => "tunnels")),
            log_limiter: Arc::clone(&self.log_limiter),
            open: self.tunnels.clone(),
        }
    }

    fn key(&self) -> Arc<[u8]> {
        Arc::from(self.settings.peers.shared_key.as_bytes())
    }

    /// Starts sending and receiving heartbeats.
    pub fn start_beacons(
        &self,
        socket: &Arc<UdpSocket>,
        inputs: &mpsc::Sender<Input>,
        self_status: watch::Receiver<SelfStatus>,
        changes: mpsc::Receiver<AppliedRecords>,
        stop: watch::Receiver<bool>,
    ) {
        let log = self.log.new(o!("part" => "peers"));
        log_unreadable_seeds(&self.settings, &log);
        let beacons = BeaconService {
            socket: Arc::clone(socket),
            member: self.member.clone(),
            key: self.key(),
            directory: Arc::clone(&self.peers),
            reads: Arc::clone(&self.reads),
            self_status,
            changes,
            seeds: other_seeds(&self.settings),
            sums: Mutex::default(),
            partial_replies: Mutex::default(),
            send_times: Mutex::default(),
            read_log: ReadLog::new(
                Arc::clone(&self.metrics),
                Arc::clone(&self.log_limiter),
                log.clone(),
            ),
            log_limiter: Arc::clone(&self.log_limiter),
            streams: Arc::clone(&self.streams),
            inputs: inputs.clone(),
            interval: self.settings.peers.heartbeat,
            link_mbits: self.settings.instance.link_mbits,
            clock: self.clock,
            log,
        };
        tokio::spawn(beacons.run(stop));
    }

    /// Serves readiness.
    pub fn serve_readiness(&self, listener: TcpListener, stop: &watch::Receiver<bool>) {
        let readiness = Readiness {
            site: Arc::clone(&self.site),
            ingress: self.ingress.clone(),
            limit: self.settings.freshness.serve().unwrap_or(Duration::MAX),
            clock: self.clock,
        };
        let answer = move |_| std::future::ready(readiness.answer());
        let buffers = status_buffers(&listener, &self.log);
        let options = self.status_options().with_buffers(buffers);
        let acceptor = self.acceptor(listener, "instance.ready");
        tokio::spawn(serve(acceptor, options, stop.clone(), answer));
    }

    /// Serves metrics and the list of endpoints, if an address is set for them, as soon as that is free.
    pub fn serve_metrics(
        &self,
        opener: PortOpener,
        stop: &watch::Receiver<bool>,
    ) -> Result<(), StartError> {
        let address = self.settings.instance.metrics;
        if address.is_none() {
            return Ok(());
        }
        let port = Port::new(address, "instance.metrics")?;
        let metrics = Arc::clone(&self.metrics);
        let answer = move |r: Request<Incoming>| {
            std::future::ready(status::metrics_response(&metrics, r.uri().path()))
        };
        let (options, mut stop) = (self.status_options(), stop.clone());
        let (log, clock) = (self.log.clone(), self.clock);
        tokio::spawn(async move {
            let listener = tokio::select! {
                listener = opener.open_eventually(port) => listener,
                _ = stop.wait_for(|s| *s) => return,
            };
            let port_log = log.new(o!("port" => "instance.metrics"));
            let options = options.with_buffers(status_buffers(&listener, &port_log));
            let acceptor = Acceptor::new(listener).with_log(&log, "instance.metrics", clock);
            serve(acceptor, options, stop, answer).await;
        });
        Ok(())
    }

    /// Creates the acceptor of a listener that was opened for a field of the settings.
    pub fn acceptor(&self, listener: TcpListener, field: &'static str) -> Acceptor {
        Acceptor::new(listener).with_log(&self.log, field, self.clock)
    }

    fn status_options(&self) -> ServerOptions {
        ServerOptions {
            connections: STATUS_CONNECTIONS,
            header_bytes: STATUS_HEAD_BYTES,
            header_time: self.settings.limits.header_timeout,
            buffers: SocketBuffers::SYSTEM,
        }
    }
}

/// Bounds the buffers of a listener for operators.
fn status_buffers(listener: &TcpListener, log: &Logger) -> SocketBuffers {
    SocketBuffers::new(BufferPool::new(STATUS_POOL_BYTES)).with_listener(listener, log)
}
