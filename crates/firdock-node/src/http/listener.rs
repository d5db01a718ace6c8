//! Listening sockets with a large backlog, for bursts of connections, and the loop that accepts from them.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, o, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

use crate::clock::Clock;
use crate::telemetry::{LogKind, LogLimiter, discard_logger};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 4_096;
/// Pause after a failed accept. What fails for lack of descriptors or memory fails again at once, and the listener stays
/// readable meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the operating system's error, such as an address in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections, with a pause and a log line when that fails.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    clock: Clock,
    log: Logger,
    /// Each listener has its own, so that the failures of one leave no lines of another out.
    limiter: LogLimiter,
}

impl From<TcpListener> for Acceptor {
    fn from(listener: TcpListener) -> Self {
        Self::new(listener)
    }
}

impl Acceptor {
    /// Creates an acceptor that logs nothing.
    #[must_use]
    pub fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            clock: Clock::new(),
            log: discard_logger(),
            limiter: LogLimiter::default(),
        }
    }

    /// Sets the logger for failures, with the field of the settings that has the address, and the clock that limits their
    /// lines.
    #[must_use]
    pub fn with_log(mut self, log: &Logger, port: &'static str, clock: Clock) -> Self {
        self.log = log.new(o!("port" => port));
        self.clock = clock;
        self
    }

    /// Waits for the next connection.
    ///
    /// A connection that its client has given up is passed over. Any other failure is repeated after a pause.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(e) if is_given_up(&e) => {}
                Err(e) => {
                    self.log_failure(&e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn log_failure(&self, error: &io::Error) {
        let now = self.clock.now();
        if self.limiter.allow(&self.log, now, LogKind::FailedAccept) {
            warn!(self.log, "could not accept a connection"; "error" => error.to_string());
        }
    }
}

/// Whether an error of an accept is of one connection, which is gone from the backlog with it.
fn is_given_up(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    )
}
