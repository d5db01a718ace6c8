//! Opening of the ports of an instance, which another process may still hold.
//!
//! The process before this one may drain for as long as its stop may take. A start that ended at the first address in
//! use would be repeated and fail again until then (`docs/design/platform.md`).

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::Time;
use rustix::io::Errno;
use slog::{Logger, info, warn};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::net::{TcpListener, UdpSocket};

use super::start::{ListenSnafu, StartError, UnsetSnafu};
use crate::clock::{Clock, millis};
use crate::http::listen;
use crate::peer::bind_beacon_socket;

/// Pause between two tries to open a port.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a start waits for its ports beyond the time that the process before it has to stop.
const WAIT_MARGIN: Duration = Duration::from_secs(2);
/// Maximum time for which a start waits for its ports, so that a wrong port is told however long a stop may take.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// An address to listen on, and the field of the settings that has it.
#[derive(Debug, Clone, Copy)]
pub struct Port {
    address: SocketAddr,
    field: &'static str,
    protocol: &'static str,
}

impl Port {
    /// Creates a port for connections from a field of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the field is not set.
    pub fn new(address: Option<SocketAddr>, field: &'static str) -> Result<Self, StartError> {
        let address = address.context(UnsetSnafu { field })?;
        Ok(Self {
            address,
            field,
            protocol: "tcp",
        })
    }

    /// Returns the port of the same address for datagrams.
    #[must_use]
    pub fn for_datagrams(self) -> Self {
        Self {
            protocol: "udp",
            ..self
        }
    }
}

/// The ports without which an instance at the edge cannot serve.
#[derive(Debug)]
pub struct EdgePorts {
    /// Connections of callers.
    pub callers: TcpListener,
    /// Readiness checks.
    pub ready: TcpListener,
    /// Connections that peers want passed on.
    pub peers: TcpListener,
    /// Heartbeats and placements.
    pub datagrams: UdpSocket,
}

impl EdgePorts {
    /// Opens the ports, and waits for those that are still held.
    ///
    /// The callers' port comes last: a connection to a port that is open waits in its backlog, while one that is
    /// refused can be made elsewhere.
    ///
    /// # Errors
    ///
    /// Fails if an address is missing, cannot be opened, or is still held at the end of the wait.
    pub async fn open(settings: &Settings, opener: &PortOpener) -> Result<Self, StartError> {
        let instance = &settings.instance;
        let callers = Port::new(instance.callers, "instance.callers")?;
        let ready = Port::new(instance.ready, "instance.ready")?;
        let peers = Port::new(instance.peers, "instance.peers")?;
        let stop_time = settings.limits.stop_time;
        let until = opener.clock.now() + wait_limit(stop_time);
        let (ready, peers, datagrams) = tokio::try_join!(
            opener.open(ready, until, async |address| listen(address)),
            opener.open(peers, until, async |address| listen(address)),
            opener.open(peers.for_datagrams(), until, bind_beacon_socket),
        )?;
        let callers = opener.open(callers, until, async |address| listen(address));
        Ok(Self {
            callers: callers.await?,
            ready,
            peers,
            datagrams,
        })
    }
}

/// Opens ports, and logs which ones are waited for.
#[derive(Debug, Clone)]
pub struct PortOpener {
    clock: Clock,
    log: Logger,
}

impl PortOpener {
    /// Creates an opener.
    #[must_use]
    pub fn new(clock: Clock, log: Logger) -> Self {
        Self { clock, log }
    }

    /// Opens a port that the instance needs, and tries again until `until` if it may become free.
    async fn open<T>(
        &self,
        port: Port,
        until: Time,
        bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
    ) -> Result<T, StartError> {
        let gives_up = |error: &io::Error, now| now >= until || !is_transient(error);
        let Port { address, field, .. } = port;
        let opened = self.retry(port, bind, gives_up).await;
        opened.context(ListenSnafu { address, field })
    }

    /// Opens a listener that the instance can serve without, however long that takes.
    pub async fn open_eventually(&self, port: Port) -> TcpListener {
        loop {
            let bind = async |address| listen(address);
            if let Ok(listener) = self.retry(port, bind, |_, _| false).await {
                return listener;
            }
        }
    }

    async fn retry<T>(
        &self,
        port: Port,
        bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
        gives_up: impl Fn(&io::Error, Time) -> bool,
    ) -> io::Result<T> {
        let mut waits_since = None;
        loop {
            let opened = bind(port.address).await;
            let now = self.clock.now();
            match opened {
                Ok(opened) => {
                    if let Some(since) = waits_since {
                        info!(self.log, "address opened"; "field" => port.field,
                            "address" => port.address.to_string(), "protocol" => port.protocol,
                            "waited_millis" => millis(now.saturating_sub(since)));
                    }
                    return Ok(opened);
                }
                Err(e) if gives_up(&e, now) => return Err(e),
                Err(e) => {
                    if waits_since.is_none() {
                        warn!(self.log, "waiting for an address"; "field" => port.field,
                            "address" => port.address.to_string(), "protocol" => port.protocol,
                            "error" => e.to_string());
                        waits_since = Some(now);
                    }
                    self.clock.sleep_until(now + RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Returns how long a start waits for ports of a process that may take `stop_time` to stop.
fn wait_limit(stop_time: Duration) -> Duration {
    stop_time.saturating_add(WAIT_MARGIN).min(MAX_WAIT)
}

/// Whether an address may be opened later although it cannot be now. One that is not this machine's, or not permitted,
/// needs other settings.
fn is_transient(error: &io::Error) -> bool {
    let lacking = [
        Errno::ADDRINUSE,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|e| lacking.contains(&e))
}
