//! Assembly of the components of an entry instance, and their orderly shutdown.

mod components;
mod ports;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::Event;
use firdock_policy::event::Member;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

pub(crate) use self::ports::{EdgePorts, Port, PortOpener};
pub use self::start::StartError;
pub(crate) use self::start::{AbortOnPanic, open};

use self::components::Components;
use self::start::spawn_driver;
use crate::clock::Clock;
use crate::config::Hub;
use crate::http::{Acceptor, ServerOptions, serve};
use crate::ingress::BodyHasher;
use crate::input::{INPUT_QUEUE_CAPACITY, Input};
use crate::peer::{PeerServer, SelfStatus, run_heartbeats, serve_peers};
use crate::telemetry::{discard_logger, log_uncounted_suspensions};

/// Time for the load balancer to notice that a stopping instance is not ready any more.
const BALANCER_TIME: Duration = Duration::from_millis(1_500);
/// Maximum wait for the leave record to be in force before the threads are stopped.
const LEAVE_TIME: Duration = Duration::from_secs(2);

/// An entry instance that is not started yet.
#[derive(Debug)]
pub struct Instance {
    settings: Settings,
    log: Logger,
}

/// A running entry instance.
#[derive(Debug)]
pub struct Running {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the resource API for operators.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    hub: Arc<Hub>,
    member: Member,
    inputs: mpsc::Sender<Input>,
    drained: watch::Receiver<bool>,
    ingress: tokio::task::JoinHandle<()>,
    stop_ingress: watch::Sender<bool>,
    stop_rest: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    stop_time: Duration,
    clock: Clock,
    log: Logger,
}

impl Instance {
    /// Creates an instance from checked settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            log: discard_logger(),
        }
    }

    /// Sets the logger.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Starts the instance on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or a thread cannot be started.
    pub fn start(self) -> Result<Running, StartError> {
        let s = &self.settings;
        let components = Components::new(s, &self.log)?;
        let ingress_socket = open(s.instance.callers, "instance.callers")?;
        let peer_socket = open(s.instance.peers, "instance.peers")?;
        let callers = ingress_socket
            .local_addr()
            .unwrap_or_else(|_| zero_address());
        let peers = peer_socket.local_addr().unwrap_or_else(|_| zero_address());

        let (inputs, waiting) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (stop_ingress, ingress_stops) = watch::channel(false);
        let (stop_rest, rest_stops) = watch::channel(false);
        let (drained, drain_seen) = watch::channel(false);
        let (self_status, self_status_seen) = watch::channel(SelfStatus::default());

        let mut threads = Vec::new();
        let driver = components.driver(&inputs, self_status, drained);
        threads.push(spawn_driver(driver, waiting, rest_stops.clone())?);
        threads.extend(components.platform_threads(&inputs)?);
        tokio::spawn(components.clone().publish_version(rest_stops.clone()));
        tokio::spawn(
            components
                .clone()
                .watch_endpoints(inputs.clone(), rest_stops.clone()),
        );

        let heartbeat = s.peers.heartbeat;
        let heartbeats = run_heartbeats(
            components.dialer.clone(),
            self_status_seen,
            heartbeat,
            components.clock,
            rest_stops.clone(),
            self.log.clone(),
        );
        tokio::spawn(heartbeats);
        let server = PeerServer {
            dialer: components.dialer.clone(),
            inputs: inputs.clone(),
            clock: components.clock,
            log: self.log.clone(),
            answer_budget: components.answer_budget.clone(),
            body_budget: components.body_budget.clone(),
            hasher: BodyHasher::default(),
        };
        let operators_stop = rest_stops.clone();
        tokio::spawn(serve_peers(peer_socket, server, rest_stops));

        let ingress = components.ingress(inputs.clone());
        let options = ServerOptions::new(&s.limits);
        let acceptor = Acceptor::new(ingress_socket);
        let acceptor = acceptor.with_log(&self.log, "instance.callers", components.clock);
        let ingress = serve(acceptor, options, ingress_stops, move |r| {
            ingress.clone().handle(r)
        });
        let ingress = tokio::spawn(ingress);
        let operators = components.operators(inputs.clone(), operators_stop)?;
        log_uncounted_suspensions(&self.log);
        info!(self.log, "started"; "callers" => callers.to_string(),
            "operators" => operators.to_string(), "peers" => peers.to_string());
        Ok(Running {
            callers,
            operators,
            peers,
            hub: components.hub,
            member: components.member,
            inputs,
            drained: drain_seen,
            ingress,
            stop_ingress,
            stop_rest,
            threads,
            stop_time: s.limits.stop_time,
            clock: components.clock,
            log: self.log,
        })
    }
}

impl Running {
    /// Stops in order: reports not ready, hands held requests over to peers, finishes running answers, and
    /// ends the threads.
    pub async fn stop(mut self) {
        info!(self.log, "stopping");
        self.hub.update(|h| h.stopping = true);
        self.hub.wake();
        let _ = self.inputs.send(Input::Event(Event::Drain)).await;
        let noticed = self.clock.now() + BALANCER_TIME;
        self.clock.sleep_until(noticed).await;
        let finished = tokio::select! {
            _ = self.drained.wait_for(|d| *d) => true,
            () = self.clock.sleep_until(noticed + self.stop_time) => false,
        };
        if !finished {
            slog::warn!(self.log, "stopped before everything was finished");
            let _ = self.inputs.send(Input::Event(Event::DrainExpired)).await;
        }
        self.stop_ingress.send_replace(true);
        let _ = timeout(self.stop_time, &mut self.ingress).await;
        self.wait_for_leave_record().await;
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

    /// Waits for this instance's leave record to be in force, for a limited time.
    async fn wait_for_leave_record(&self) {
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

fn zero_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
