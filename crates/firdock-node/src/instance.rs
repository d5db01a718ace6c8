//! Putting the parts of an entry instance together, and stopping them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::event::Member;
use firdock_policy::{Event, PolicySettings, Scheduler};
use slog::{Logger, info, o};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use uuid::Uuid;

use crate::answers::Answers;
use crate::clock::Clock;
use crate::config::{DutySettings, FollowParts, Hub, follow, watch_list};
use crate::door::{Door, DoorLimits, OwnInterface};
use crate::driver::{Driver, DriverParts};
use crate::endpoint::run::RunLimits;
use crate::endpoint::{HttpEngine, HttpPlain, OwnBackends, Target, watch_reports};
use crate::http::{ServerOptions, listen, serve};
use crate::input::{INPUTS_WAITING, Input};
use crate::operator::{OperatorServer, serve_operators};
use crate::peer::{Dialer, PeerServer, SelfNews, ask_for_state, beat, serve_peers};
use crate::platform::{HttpInstances, HttpLog};
use crate::site::Site;
use crate::telemetry::{LineBudget, Metrics, silent};

/// Time in which the balancer notices that a stopping instance is not ready any more.
const BALANCER_TIME: Duration = Duration::from_millis(1_500);
/// Time for the leave record to be written before the threads end.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Pause between two looks at which endpoints there are.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(200);

/// Why an instance did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StartError {
    /// An address is missing, which checked settings never let by.
    #[snafu(display("{field} is not set"))]
    Unset {
        /// Field of the settings.
        field: &'static str,
    },
    /// An address cannot be listened on.
    #[snafu(display("listen on {address}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("start a thread"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// An entry instance that is to be started.
#[derive(Debug)]
pub struct Instance {
    settings: Settings,
    log: Logger,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Running {
    /// Address of the callers' door.
    pub callers: SocketAddr,
    /// Address of the resource API.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    hub: Arc<Hub>,
    member: Member,
    inputs: mpsc::Sender<Input>,
    drained: watch::Receiver<bool>,
    door: tokio::task::JoinHandle<()>,
    stop_door: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    stop_time: Duration,
    log: Logger,
}

impl Instance {
    /// Makes an instance from checked settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
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
    /// Fails if an address cannot be listened on or a thread cannot be started.
    pub fn start(self) -> Result<Running, StartError> {
        let s = &self.settings;
        let parts = Parts::new(&self)?;
        let door_socket = open(s.instance.callers, "instance.callers")?;
        let peer_socket = open(s.instance.peers, "instance.peers")?;
        let callers = door_socket.local_addr().unwrap_or_else(|_| zero_address());
        let peers = peer_socket.local_addr().unwrap_or_else(|_| zero_address());

        let (inputs, waiting) = mpsc::channel(INPUTS_WAITING);
        let (stop_door, door_stops) = watch::channel(false);
        let (stop_rest, rest_stops) = watch::channel(false);
        let (drained, drain_seen) = watch::channel(false);
        let (news, news_seen) = watch::channel(SelfNews::default());

        let mut threads = Vec::new();
        let driver = parts.driver(&inputs, news, drained);
        threads.push(spawn_driver(driver, waiting, rest_stops.clone())?);
        threads.extend(parts.platform_threads(&inputs)?);
        tokio::spawn(
            parts
                .clone()
                .watch_endpoints(inputs.clone(), rest_stops.clone()),
        );

        let heartbeat = s.peers.heartbeat();
        let beating = beat(
            parts.dialer.clone(),
            news_seen,
            heartbeat,
            rest_stops.clone(),
            self.log.clone(),
        );
        tokio::spawn(beating);
        let server = PeerServer {
            dialer: parts.dialer.clone(),
            inputs: inputs.clone(),
            clock: parts.clock,
            log: self.log.clone(),
        };
        let operators_stop = rest_stops.clone();
        tokio::spawn(serve_peers(peer_socket, server, rest_stops));

        let door = parts.door(inputs.clone());
        let options = ServerOptions::new(&s.limits);
        let door = serve(door_socket, options, door_stops, move |r| {
            door.clone().handle(r)
        });
        let door = tokio::spawn(door);
        let operators = parts.operators(operators_stop)?;
        info!(self.log, "started"; "callers" => callers.to_string(),
            "operators" => operators.to_string(), "peers" => peers.to_string());
        Ok(Running {
            callers,
            operators,
            peers,
            hub: parts.hub,
            member: parts.member,
            inputs,
            drained: drain_seen,
            door,
            stop_door,
            stop_rest,
            threads,
            stop_time: Duration::from_secs(s.limits.stop_seconds),
            log: self.log,
        })
    }
}

impl Running {
    /// Stops in order: readiness off, held requests to peers, streams finished, threads ended.
    pub async fn stop(mut self) {
        info!(self.log, "stopping");
        self.hub.update(|h| h.stopping = true);
        self.hub.wake();
        let _ = self.inputs.send(Input::Event(Event::Drain)).await;
        tokio::time::sleep(BALANCER_TIME).await;
        let finished = timeout(self.stop_time, self.drained.wait_for(|d| *d))
            .await
            .is_ok();
        if !finished {
            slog::warn!(self.log, "stopped before everything was finished");
        }
        self.stop_door.send_replace(true);
        let _ = timeout(self.stop_time, &mut self.door).await;
        self.wait_until_left().await;
        self.hub.close();
        self.stop_rest.send_replace(true);
        let threads = std::mem::take(&mut self.threads);
        let joining = tokio::task::spawn_blocking(move || {
            for thread in threads {
                let _ = thread.join();
            }
        });
        let _ = joining.await;
        info!(self.log, "stopped");
    }

    /// Waits a little for this instance's leave record to be in force.
    async fn wait_until_left(&self) {
        let (hub, me) = (Arc::clone(&self.hub), self.member.incarnation);
        let left = move || {
            let gone = |h: &crate::config::HubState| {
                let member = h.state.members.iter().any(|m| m.incarnation == me);
                (!member).then_some(())
            };
            hub.wait_for(LEAVE_TIME, gone)
        };
        let _ = tokio::task::spawn_blocking(left).await;
    }
}

/// What the parts of an instance share.
#[derive(Debug, Clone)]
struct Parts {
    settings: Arc<Settings>,
    member: Member,
    clock: Clock,
    hub: Arc<Hub>,
    site: Arc<Site>,
    answers: Answers,
    metrics: Arc<Metrics>,
    dialer: Dialer,
    log_client: HttpLog,
    instances: HttpInstances,
    engine: HttpEngine,
    log: Logger,
    lines: Arc<LineBudget>,
}

impl Parts {
    fn new(instance: &Instance) -> Result<Self, StartError> {
        let s = &instance.settings;
        let hub = Arc::new(Hub::default());
        let log_at = s.platform.log.context(UnsetSnafu {
            field: "platform.log",
        })?;
        let list_at = s.platform.instances.context(UnsetSnafu {
            field: "platform.instances",
        })?;
        let name = s.instance.name.clone();
        let connect = Duration::from_millis(s.endpoints.connect_millis);
        let silence = Duration::from_millis(s.endpoints.silence_millis);
        Ok(Self {
            settings: Arc::new(s.clone()),
            member: Member {
                name: name.clone(),
                incarnation: Uuid::now_v7(),
            },
            clock: Clock::new(),
            site: Arc::default(),
            answers: Answers::new(s.keys.answer_bytes),
            metrics: Arc::default(),
            dialer: Dialer::new(name, &s.peers.shared_key, Arc::clone(&hub)),
            hub,
            log_client: HttpLog::new(log_at, s.platform.call()),
            instances: HttpInstances::new(list_at, s.platform.call()),
            engine: HttpEngine::new(connect, silence),
            log: instance.log.clone(),
            lines: Arc::default(),
        })
    }

    fn driver(
        &self,
        inputs: &mpsc::Sender<Input>,
        news: watch::Sender<SelfNews>,
        drained: watch::Sender<bool>,
    ) -> Driver<OwnBackends<HttpEngine, HttpPlain>> {
        let settings = PolicySettings::new(&self.settings, self.member.incarnation);
        let e = &self.settings.endpoints;
        let plain = HttpPlain::new(Duration::from_millis(e.connect_millis));
        let parts = DriverParts {
            backends: OwnBackends::new(self.engine, plain, self.answers.clone()),
            dialer: self.dialer.clone(),
            site: Arc::clone(&self.site),
            answers: self.answers.clone(),
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
        Driver::new(Scheduler::new(settings), parts)
    }

    /// Starts the threads that follow the log and the instance list.
    fn platform_threads(
        &self,
        inputs: &mpsc::Sender<Input>,
    ) -> Result<[thread::JoinHandle<()>; 2], StartError> {
        let runtime = Handle::current();
        let dialer = self.dialer.clone();
        let parts = FollowParts {
            log_client: self.log_client.clone(),
            ask_peers: move || runtime.block_on(ask_for_state(&dialer)),
            hub: Arc::clone(&self.hub),
            inputs: inputs.clone(),
            clock: self.clock,
            log: self.log.clone(),
            pause: self.settings.platform.read(),
            member: self.member.clone(),
            duties: DutySettings {
                silence: self.settings.peers.stale_after(),
                retention: self.settings.platform.retention(),
            },
        };
        let log_thread = spawn("log", move || follow(parts))?;
        let (list, hub, inputs) = (
            self.instances.clone(),
            Arc::clone(&self.hub),
            inputs.clone(),
        );
        let log = self.log.clone();
        let pause = self.settings.platform.list();
        let watching = move || watch_list(&list, &hub, &inputs, pause, &log);
        Ok([log_thread, spawn("instances", watching)?])
    }

    fn door(&self, inputs: mpsc::Sender<Input>) -> Door<OwnInterface> {
        let limits = DoorLimits::new(&self.settings.limits);
        Door::new(
            OwnInterface,
            limits,
            Arc::clone(&self.site),
            inputs,
            self.clock,
            self.log.clone(),
        )
        .with_lines(Arc::clone(&self.lines))
    }

    fn operators(&self, stop: watch::Receiver<bool>) -> Result<SocketAddr, StartError> {
        let field = "instance.operators";
        let address = self
            .settings
            .instance
            .operators
            .context(UnsetSnafu { field })?;
        let server = OperatorServer {
            log_client: self.log_client.clone(),
            hub: Arc::clone(&self.hub),
            metrics: Arc::clone(&self.metrics),
            clock: self.clock,
            log: self.log.clone(),
            instance: self.settings.instance.name.clone(),
            zone: self.settings.instance.zone.clone(),
            watchers: crate::operator::Watchers::default(),
        };
        serve_operators(address, server, stop).context(ListenSnafu { address })
    }

    /// Keeps one task for each endpoint in force that reads its reports.
    async fn watch_endpoints(self, inputs: mpsc::Sender<Input>, mut stop: watch::Receiver<bool>) {
        let pause = Duration::from_millis(self.settings.endpoints.report_millis);
        let limit = Duration::from_millis(self.settings.endpoints.connect_millis);
        let mut tasks = std::collections::HashMap::new();
        loop {
            let view = self.site.view();
            let places: std::collections::HashMap<_, _> = view.places().collect();
            tasks.retain(|name: &String, (address, task)| {
                let keep = places.get(name).is_some_and(|p| p.address == *address);
                if !keep {
                    tokio::task::JoinHandle::abort(task);
                }
                keep
            });
            for (name, place) in places {
                tasks.entry(name.clone()).or_insert_with(|| {
                    let target = Target {
                        name: name.clone(),
                        address: place.address,
                    };
                    let watching = watch_reports(self.engine, target, pause, limit, inputs.clone());
                    (place.address, tokio::spawn(watching))
                });
            }
            let stopped = timeout(ENDPOINTS_PAUSE, stop.wait_for(|s| *s)).await;
            if stopped.is_ok() {
                break;
            }
        }
        for (_, task) in tasks.into_values() {
            task.abort();
        }
    }
}

/// Opens the listener of an address of the settings.
pub(crate) fn open(
    address: Option<SocketAddr>,
    field: &'static str,
) -> Result<tokio::net::TcpListener, StartError> {
    let address = address.context(UnsetSnafu { field })?;
    listen(address).context(ListenSnafu { address })
}

fn zero_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn spawn(
    name: &str,
    job: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, StartError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(job)
        .context(ThreadSnafu)
}

/// Runs the driver on a thread and runtime of its own, so that nothing else delays a decision.
///
/// A panic there is a broken promise, so the process ends instead of going on without it.
fn spawn_driver(
    driver: Driver<OwnBackends<HttpEngine, HttpPlain>>,
    waiting: mpsc::Receiver<Input>,
    stop: watch::Receiver<bool>,
) -> Result<thread::JoinHandle<()>, StartError> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .context(ThreadSnafu)?;
    spawn("scheduler", move || {
        let abort = AbortOnPanic;
        runtime.block_on(driver.run(waiting, stop));
        drop(abort);
    })
}

/// Ends the process if its thread panics.
pub(crate) struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            std::process::abort();
        }
    }
}
