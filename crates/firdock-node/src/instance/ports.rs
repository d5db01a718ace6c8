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
/// Maximum time for which a start waits for an address that the machine does not have. Interfaces are set up by then,
/// and a wrong address is told however long a stop may take.
const MAX_ABSENT_WAIT: Duration = Duration::from_mins(1);
/// End of a wait without a bound.
const NEVER: Time = Duration::MAX;

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
        let limits = WaitLimits::new(opener.clock.now(), settings.limits.stop_time);
        let (ready, peers, datagrams) = tokio::try_join!(
            opener.open(ready, limits, async |address| listen(address)),
            opener.open(peers, limits, async |address| listen(address)),
            opener.open(peers.for_datagrams(), limits, bind_beacon_socket),
        )?;
        let callers = opener.open(callers, limits, async |address| listen(address));
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

    /// Opens a port that the instance needs, and tries again within the limits if it may become free.
    async fn open<T>(
        &self,
        port: Port,
        limits: WaitLimits,
        bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
    ) -> Result<T, StartError> {
        let Port { address, field, .. } = port;
        let opened = self.retry(port, bind, |e| limits.end(e)).await;
        opened.context(ListenSnafu { address, field })
    }

    /// Opens a listener that the instance can serve without, however long that takes.
    pub async fn open_eventually(&self, port: Port) -> TcpListener {
        loop {
            let bind = async |address| listen(address);
            if let Ok(listener) = self.retry(port, bind, |_| NEVER).await {
                return listener;
            }
        }
    }

    /// Tries again until the end that follows from the error.
    async fn retry<T>(
        &self,
        port: Port,
        bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
        end: impl Fn(&io::Error) -> Time,
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
                Err(e) => {
                    let left = end(&e).saturating_sub(now);
                    if left.is_zero() {
                        return Err(e);
                    }
                    if waits_since.is_none() {
                        let bounded_millis = (end(&e) < NEVER).then(|| millis(left));
                        warn!(self.log, "waiting for an address"; "field" => port.field,
                            "address" => port.address.to_string(), "protocol" => port.protocol,
                            "at_most_millis" => bounded_millis, "error" => e.to_string());
                        waits_since = Some(now);
                    }
                    self.clock.sleep_until(now + RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// How long a start waits for addresses, by what they lack.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    began: Time,
    for_stop: Duration,
}

impl WaitLimits {
    /// Creates the limits of a start after a process that may take `stop_time` to stop.
    fn new(began: Time, stop_time: Duration) -> Self {
        Self {
            began,
            for_stop: stop_time.saturating_add(WAIT_MARGIN),
        }
    }

    /// Returns when to give up after an error: at once if the address needs other settings.
    fn end(&self, error: &io::Error) -> Time {
        let limit = match Errno::from_io_error(error) {
            Some(Errno::ADDRINUSE | Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                self.for_stop
            }
            Some(Errno::ADDRNOTAVAIL) => self.for_stop.min(MAX_ABSENT_WAIT),
            _ => Duration::ZERO,
        };
        self.began.saturating_add(limit)
    }
}
