//! Construction of the components of an entry instance from their shared state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::event::Member;
use firdock_policy::{PolicySettings, Scheduler};
use slog::{Logger, o};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use uuid::Uuid;

use super::start::{ListenSnafu, StartError, UnsetSnafu, spawn};
use crate::answer_cache::AnswerCache;
use crate::clock::Clock;
use crate::config::{FollowParts, Hub, RecordSettings, follow, watch_list};
use crate::driver::{Driver, DriverParts};
use crate::endpoint::run::DispatchLimits;
use crate::endpoint::{DirectDispatcher, HttpEngine, HttpPlain, Target, poll_reports};
use crate::exchange::{AnswerBudget, BodyBudget};
use crate::ingress::{Ingress, IngressLimits, NativeInterface};
use crate::input::Input;
use crate::operator::{OperatorServer, Watchers, serve_operators};
use crate::peer::{Dialer, SelfStatus, fetch_state};
use crate::platform::{HttpInstances, HttpLog};
use crate::site::Site;
use crate::source::PendingRecords;
use crate::streams::SharedStreams;
use crate::telemetry::{LogLimiter, Metrics};

/// Interval between two checks of which endpoints are in force.
const ENDPOINT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State shared by the components of an instance.
#[derive(Debug, Clone)]
pub struct Components {
    settings: Arc<Settings>,
    pub member: Member,
    pub clock: Clock,
    pub hub: Arc<Hub>,
    site: Arc<Site>,
    answer_cache: AnswerCache,
    pub answer_budget: AnswerBudget,
    pub body_budget: BodyBudget,
    metrics: Arc<Metrics>,
    pub dialer: Dialer,
    log_client: HttpLog,
    instances: HttpInstances,
    engine: HttpEngine,
    log: Logger,
    log_limiter: Arc<LogLimiter>,
}

impl Components {
    /// Creates the shared state, with a new incarnation id for this start of the process.
    pub fn new(s: &Settings, log: &Logger) -> Result<Self, StartError> {
        let hub = Arc::new(Hub::default());
        let log_at = s.platform.log.context(UnsetSnafu {
            field: "platform.log",
        })?;
        let list_at = s.platform.instances.context(UnsetSnafu {
            field: "platform.instances",
        })?;
        let name = s.instance.name.clone();
        let connect = s.endpoints.connect_timeout;
        let silence = s.endpoints.silence_timeout;
        let clock = Clock::new();
        let metrics: Arc<Metrics> = Arc::default();
        metrics.record_start(clock.unix_zero() + clock.now());
        let log_limiter: Arc<LogLimiter> = Arc::default();
        let body_budget = BodyBudget::new(
            s.limits.held_bytes,
            s.limits.body_wait,
            clock,
            metrics.body_metrics(),
        );
        let answer_budget = AnswerBudget::new(
            s.limits.answer_bytes,
            clock,
            metrics.answer_metrics(),
            log.clone(),
            Arc::clone(&log_limiter),
        );
        Ok(Self {
            settings: Arc::new(s.clone()),
            member: Member {
                name: name.clone(),
                incarnation: Uuid::now_v7(),
            },
            clock,
            site: Arc::default(),
            answer_budget,
            body_budget,
            answer_cache: AnswerCache::new(s.keys.answer_bytes),
            metrics,
            dialer: Dialer::new(name, &s.peers.shared_key, Arc::clone(&hub)),
            hub,
            log_client: HttpLog::new(log_at, s.platform.call_timeout),
            instances: HttpInstances::new(list_at, s.platform.call_timeout),
            engine: HttpEngine::new(connect, silence),
            log: log.clone(),
            log_limiter,
        })
    }

    /// Creates the driver, which owns the scheduler's tables.
    pub fn driver(
        &self,
        inputs: &mpsc::Sender<Input>,
        self_status: watch::Sender<SelfStatus>,
        drained: watch::Sender<bool>,
    ) -> Driver<DirectDispatcher<HttpEngine, HttpPlain>> {
        let settings = PolicySettings::new(&self.settings, self.member.incarnation);
        let e = &self.settings.endpoints;
        let connect = e.connect_timeout;
        let plain = HttpPlain::new(connect);
        let parts = DriverParts {
            dispatcher: DirectDispatcher::new(
                self.engine,
                plain,
                self.answer_cache.clone(),
                connect,
            ),
            dialer: self.dialer.clone(),
            site: Arc::clone(&self.site),
            answer_cache: self.answer_cache.clone(),
            answer_budget: self.answer_budget.clone(),
            body_budget: self.body_budget.clone(),
            metrics: Arc::clone(&self.metrics),
            limits: DispatchLimits::new(e),
            streams: SharedStreams::default(),
            clock: self.clock,
            log: self.log.new(o!("part" => "driver")),
            log_limiter: Arc::clone(&self.log_limiter),
            runtime: Handle::current(),
            inputs: inputs.clone(),
            self_status,
            // Only a platform's source orders roll-outs and stores their states; this instance has none.
            records: watch::channel(PendingRecords::default()).0,
            drained,
        };
        Driver::new(Scheduler::new(settings), parts)
    }

    /// Publishes each version that the scheduler takes over to the threads of the configuration, until `stop`
    /// becomes true.
    pub async fn publish_version(self, mut stop: watch::Receiver<bool>) {
        let mut version = self.site.version();
        loop {
            let in_force = *version.borrow_and_update();
            self.hub.update(|h| h.in_force = in_force);
            tokio::select! {
                _ = version.changed() => (),
                _ = stop.wait_for(|s| *s) => return,
            }
        }
    }

    /// Starts the threads that follow the log and the instance list.
    pub fn platform_threads(
        &self,
        inputs: &mpsc::Sender<Input>,
    ) -> Result<[JoinHandle<()>; 2], StartError> {
        let runtime = Handle::current();
        let dialer = self.dialer.clone();
        let parts = FollowParts {
            log_client: self.log_client.clone(),
            ask_peers: move || runtime.block_on(fetch_state(&dialer)),
            hub: Arc::clone(&self.hub),
            inputs: inputs.clone(),
            clock: self.clock,
            log: self.log.clone(),
            pause: self.settings.platform.read_interval,
            member: self.member.clone(),
            record_settings: RecordSettings {
                silence: self.settings.peers.stale_after(),
                retention: self.settings.platform.retention,
            },
        };
        let log_thread = spawn("log", move || follow(parts))?;
        let (list, hub, inputs) = (
            self.instances.clone(),
            Arc::clone(&self.hub),
            inputs.clone(),
        );
        let log = self.log.clone();
        let pause = self.settings.platform.list_interval;
        let watching = move || watch_list(&list, &hub, &inputs, pause, &log);
        Ok([log_thread, spawn("instances", watching)?])
    }

    /// Creates the ingress.
    pub fn ingress(&self, inputs: mpsc::Sender<Input>) -> Ingress<NativeInterface> {
        let limits = IngressLimits::new(&self.settings.limits);
        Ingress::new(
            NativeInterface,
            limits,
            Arc::clone(&self.site),
            inputs,
            self.clock,
            self.log.clone(),
        )
        .with_log_limiter(Arc::clone(&self.log_limiter))
        .with_answer_budget(self.answer_budget.clone())
        .with_body_budget(self.body_budget.clone())
    }

    /// Serves the resource API; returns its address.
    pub fn operators(
        &self,
        inputs: mpsc::Sender<Input>,
        stop: watch::Receiver<bool>,
    ) -> Result<SocketAddr, StartError> {
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
            watchers: Watchers::default(),
            inputs,
        };
        serve_operators(address, server, stop).context(ListenSnafu { address, field })
    }

    /// Runs one task for each endpoint in force that polls its reports.
    pub async fn watch_endpoints(
        self,
        inputs: mpsc::Sender<Input>,
        mut stop: watch::Receiver<bool>,
    ) {
        let pause = self.settings.endpoints.report_interval;
        let limit = self.settings.endpoints.connect_timeout;
        let mut tasks = HashMap::new();
        loop {
            let view = self.site.view();
            let places: HashMap<_, _> = view.locations().collect();
            tasks.retain(|name: &String, (address, task)| {
                let keep = places.get(name).is_some_and(|p| p.address == *address);
                if !keep {
                    tokio::task::JoinHandle::abort(task);
                }
                keep
            });
            for (name, location) in places {
                tasks.entry(name.clone()).or_insert_with(|| {
                    let target = Target {
                        name: name.clone(),
                        address: location.address,
                    };
                    let watching = poll_reports(self.engine, target, pause, limit, inputs.clone());
                    (location.address, tokio::spawn(watching))
                });
            }
            let stopped = timeout(ENDPOINT_CHECK_INTERVAL, stop.wait_for(|s| *s)).await;
            if stopped.is_ok() {
                break;
            }
        }
        for (_, task) in tasks.into_values() {
            task.abort();
        }
    }
}
