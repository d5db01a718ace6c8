//! An entry instance at the edge of a platform. It connects the scheduler with the platform's
//! interface, its endpoints and its source of resources, each of them behind a trait.
//!
//! Everything runs on one thread. An edge instance gets a fraction of a core, where more threads
//! would only add context switches (measurements in `docs/design/platform.md`).

mod parts;

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::transfer::{BufferPool, pool_bytes};
use firdock_policy::{Event, Time};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use self::parts::{DriverOutputs, EdgeParts};
use crate::clock::{Clock, millis};
use crate::driver::Driver;
use crate::endpoint::Dispatcher;
use crate::endpoint::relay::Dialect;
use crate::http::{Connector, ServerOptions, SocketBuffers, TcpConnector, serve};
use crate::ingress::{IngressPhase, IngressState, Interface};
use crate::input::{INPUT_QUEUE_CAPACITY, Input};
use crate::instance::{AbortOnPanic, EdgePorts, PortOpener, StartError};
use crate::peer::{OpenTunnels, SelfStatus};
use crate::source::{PendingRecords, ResourceSource};
use crate::telemetry::{LogLimiter, discard_logger, log_uncounted_suspensions};

/// Time after the stop request during which calls are still accepted. The load balancer checks
/// readiness once a second and removes an instance after two failures, and connections passed on
/// just before that bring one more call each.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2_800);
/// Time reserved for writing the last answers before the platform kills the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);
/// Part of the reserve within which callers get the final answers to requests that cannot be finished.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);
/// Capacity of the queue of store changes to forward to peers. Peers request further ones
/// themselves.
const CHANGE_QUEUE_CAPACITY: usize = 64;

/// Configuration of an edge instance before its start.
#[derive(Debug)]
pub struct EdgeInstance<I, D, S, C = TcpConnector> {
    settings: Settings,
    interface: I,
    dialect: D,
    source: S,
    connector: C,
    clock: Clock,
    log: Logger,
}

/// A running edge instance.
#[derive(Debug)]
pub struct RunningEdge {
    ingress: IngressState,
    inputs: mpsc::Sender<Input>,
    drained: watch::Receiver<bool>,
    serving: JoinHandle<()>,
    stop_ingress: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    tunnels: OpenTunnels,
    stop_time: Duration,
    clock: Clock,
    log: Logger,
    log_limiter: Arc<LogLimiter>,
}

impl<I: Interface, D: Dialect, S: ResourceSource> EdgeInstance<I, D, S> {
    /// Creates an instance from checked settings and the platform's adapters.
    #[must_use]
    pub fn new(settings: Settings, interface: I, dialect: D, source: S) -> Self {
        Self {
            settings,
            interface,
            dialect,
            source,
            connector: TcpConnector,
            clock: Clock::new(),
            log: discard_logger(),
        }
    }
}

impl<I: Interface, D: Dialect, S: ResourceSource, C: Connector> EdgeInstance<I, D, S, C> {
    /// Sets the way by which connections to endpoints are established.
    #[must_use]
    pub fn with_connector<N: Connector>(self, connector: N) -> EdgeInstance<I, D, S, N> {
        EdgeInstance {
            settings: self.settings,
            interface: self.interface,
            dialect: self.dialect,
            source: self.source,
            connector,
            clock: self.clock,
            log: self.log,
        }
    }

    /// Sets the clock by which the instance decides.
    #[must_use]
    pub fn with_clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the logger.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Starts the instance on the current runtime, once the addresses that it needs are free. Nothing
    /// else is started before, so the wait may be cancelled.
    ///
    /// # Errors
    ///
    /// Fails if an address is missing, cannot be bound, or is still held by another process at the end
    /// of the wait.
    pub async fn start(self) -> Result<RunningEdge, StartError> {
        let opener = PortOpener::new(self.clock, self.log.clone());
        let EdgePorts {
            callers,
            ready,
            peers,
            datagrams,
        } = EdgePorts::open(&self.settings, &opener).await?;
        let parts = EdgeParts::new(&self.settings, self.clock, self.log.clone());
        let buffers = self.bound_buffers(&callers, &parts);
        let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (stop_ingress, ingress_stop_receiver) = watch::channel(false);
        let (stop_rest, rest_stop_receiver) = watch::channel(false);
        let (drained, drained_receiver) = watch::channel(false);
        let (self_status, self_status_receiver) = watch::channel(SelfStatus::default());
        let (records, record_receiver) = watch::channel(PendingRecords::default());
        let (changes, change_receiver) = mpsc::channel(CHANGE_QUEUE_CAPACITY);

        parts.serve_readiness(ready, &rest_stop_receiver);
        parts.serve_metrics(opener, &rest_stop_receiver)?;
        let socket = Arc::new(datagrams);
        parts.start_beacons(
            &socket,
            &inputs,
            self_status_receiver,
            change_receiver,
            rest_stop_receiver.clone(),
        );
        let tunnel_server = parts.tunnel_server(self.connector.clone());
        tokio::spawn(tunnel_server.run(peers, rest_stop_receiver.clone()));
        let outputs = DriverOutputs {
            self_status,
            records,
            drained,
        };
        let driver = parts
            .driver(self.dialect, self.connector, &inputs, outputs)
            .with_placement(parts.placement(socket));
        tokio::spawn(run_or_abort(driver, input_receiver, rest_stop_receiver));
        tokio::spawn(
            self.source
                .follow(parts.sink(&inputs, changes, record_receiver)),
        );

        let ingress = parts.ingress(self.interface, inputs.clone());
        let options = ServerOptions::new(&self.settings.limits).with_buffers(buffers);
        let handle = move |r| ingress.clone().handle(r);
        let callers = parts.acceptor(callers, "instance.callers");
        let serving = tokio::spawn(serve(callers, options, ingress_stop_receiver, handle));
        log_uncounted_suspensions(&self.log);
        info!(self.log, "started"; "zone" => &self.settings.instance.zone,
            "incarnation" => parts.member.incarnation.to_string());
        Ok(RunningEdge {
            ingress: parts.ingress,
            inputs,
            drained: drained_receiver,
            serving,
            stop_ingress,
            stop_rest,
            tunnels: parts.tunnels.clone(),
            stop_time: self.settings.limits.stop_time,
            clock: self.clock,
            log: self.log,
            log_limiter: parts.log_limiter,
        })
    }
}

impl<I, D, S, C> EdgeInstance<I, D, S, C> {
    /// Bounds the kernel's buffers of callers' connections, and logs the budgets of memory.
    fn bound_buffers(&self, callers: &TcpListener, parts: &EdgeParts) -> SocketBuffers {
        let (limits, memory) = (&self.settings.limits, self.settings.instance.memory_bytes());
        let pool_bytes = pool_bytes(memory);
        info!(self.log, "memory"; "memory_bytes" => memory, "held_bytes" => limits.held_bytes,
            "answer_bytes" => limits.answer_bytes, "buffer_bytes" => pool_bytes, "connections" => limits.connections);
        let budgets = limits.held_bytes + limits.answer_bytes + pool_bytes;
        if memory.is_some_and(|bytes| budgets > bytes) {
            warn!(self.log, "budgets exceed the memory"; "budget_bytes" => budgets);
        }
        let pool = BufferPool::new(pool_bytes);
        parts.answer_metrics().set_pool(pool.clone());
        SocketBuffers::new(pool).with_listener(callers, &self.log)
    }
}

/// Runs the driver. A panic there is a violated invariant and aborts the process.
async fn run_or_abort<B: Dispatcher>(
    driver: Driver<B>,
    inputs: mpsc::Receiver<Input>,
    stop: watch::Receiver<bool>,
) {
    AbortOnPanic::new(driver.run(inputs, stop)).await;
}

impl RunningEdge {
    /// Stops gracefully: reports not ready at once, accepts calls until the load balancer has
    /// noticed, and lets running requests and connections passed on for peers finish here, all within
    /// the time that the platform allows.
    pub async fn stop(self) {
        let (began, now) = (Instant::now(), self.clock.now());
        let longest = self.stop_time.saturating_sub(SHUTDOWN_RESERVE);
        let end = now + longest;
        info!(self.log, "stopping"; "millis" => millis(self.stop_time));
        self.ingress.set(IngressPhase::Closing);
        let _ = self.inputs.send(Input::Event(Event::Drain)).await;
        let serving_end = (now + SERVE_AFTER_STOP).min(end);
        wait_until(self.clock, serving_end, serving_end.saturating_sub(now)).await;
        self.ingress.set(IngressPhase::Closed);
        self.stop_ingress.send_replace(true);
        let serving_and_tunnels = async {
            let _ = self.serving.await;
            self.tunnels.wait_until_closed().await;
        };
        let mut serving_and_tunnels = pin!(serving_and_tunnels);
        let waited = began.elapsed();
        let finished = tokio::select! {
            () = &mut serving_and_tunnels => true,
            () = wait_until(self.clock, end, longest.saturating_sub(waited)) => false,
        };
        if !finished {
            warn!(self.log, "stopped before everything was finished");
            let last_answers = async {
                let _ = self.inputs.send(Input::Event(Event::DrainExpired)).await;
                serving_and_tunnels.await;
            };
            // A caller who does not read keeps its connection open.
            let _ = timeout(LAST_ANSWERS_TIME, last_answers).await;
        }
        let drained = *self.drained.borrow();
        self.stop_rest.send_replace(true);
        tokio::task::yield_now().await;
        self.log_limiter.finish(&self.log);
        info!(self.log, "stopped"; "drained" => drained);
    }
}

/// Waits until a time by the instance's clock, and for no longer than `longest` by the runtime's. Whoever stops the instance
/// goes by a clock of its own, and this one may stand still meanwhile.
async fn wait_until(clock: Clock, at: Time, longest: Duration) {
    // The time limit is as good an end of the wait.
    let _ = timeout(longest, clock.sleep_until(at)).await;
}
