//! Listeners, threads and errors of the start of an instance.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::thread;

use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};

use crate::driver::Driver;
use crate::endpoint::{DirectDispatcher, HttpEngine, HttpPlain};
use crate::http::listen;
use crate::input::Input;
use crate::telemetry::flush_before_abort;

/// Error of starting an instance.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StartError {
    /// An address is missing; the validation of settings rejects this before.
    #[snafu(display("{field} is not set"))]
    Unset {
        /// Field of the settings.
        field: &'static str,
    },
    /// Listening on an address failed.
    #[snafu(display("listen on {address} ({field})"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Field of the settings.
        field: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// Starting a thread failed.
    #[snafu(display("start a thread"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

impl StartError {
    /// Returns whether an address of the settings could not be listened on.
    #[must_use]
    pub fn is_address(&self) -> bool {
        matches!(self, Self::Listen { .. })
    }
}

/// Opens a listener on an address from the settings.
pub(crate) fn open(
    address: Option<SocketAddr>,
    field: &'static str,
) -> Result<TcpListener, StartError> {
    let address = address.context(UnsetSnafu { field })?;
    listen(address).context(ListenSnafu { address, field })
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

/// Runs the driver on a dedicated thread and runtime, so that no other task delays a decision.
///
/// A panic there means that an invariant is violated, so the process aborts instead of running on without a
/// scheduler.
pub(super) fn spawn_driver(
    driver: Driver<DirectDispatcher<HttpEngine, HttpPlain>>,
    waiting: mpsc::Receiver<Input>,
    stop: watch::Receiver<bool>,
) -> Result<thread::JoinHandle<()>, StartError> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .context(ThreadSnafu)?;
    spawn("scheduler", move || {
        runtime.block_on(AbortOnPanic::new(driver.run(waiting, stop)));
    })
}

/// A task whose panic aborts the process.
///
/// Only a panic of the task itself does. A task that is dropped while its thread unwinds from another panic
/// violated no invariant, and an abort would hide the cause.
pub(crate) struct AbortOnPanic<F>(Pin<Box<F>>);

impl<F> AbortOnPanic<F> {
    /// Wraps a future.
    pub(crate) fn new(task: F) -> Self {
        Self(Box::pin(task))
    }
}

impl<F: Future> Future for AbortOnPanic<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let guard = AbortGuard;
        let polled = self.0.as_mut().poll(cx);
        drop(guard);
        polled
    }
}

/// Aborts the process if it is dropped during a panic.
struct AbortGuard;

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            flush_before_abort();
            std::process::abort();
        }
    }
}
