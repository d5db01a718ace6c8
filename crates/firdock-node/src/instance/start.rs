//! What starting an instance needs: listeners, threads, and what may go wrong.

use std::net::SocketAddr;
use std::thread;

use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};

use crate::driver::Driver;
use crate::endpoint::{HttpEngine, HttpPlain, OwnBackends};
use crate::http::listen;
use crate::input::Input;

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

/// Opens the listener of an address of the settings.
pub(crate) fn open(
    address: Option<SocketAddr>,
    field: &'static str,
) -> Result<TcpListener, StartError> {
    let address = address.context(UnsetSnafu { field })?;
    listen(address).context(ListenSnafu { address })
}

/// Starts a named thread.
pub(super) fn spawn(
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
pub(super) fn spawn_driver(
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
