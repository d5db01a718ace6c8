//! Keeps connections without requests to endpoints, whose close tells of the end of a process.

use std::time::Duration;

use firdock_core::EndpointId;
use firdock_policy::event::{WatchChange, WatchUpdate};
use firdock_policy::{Event, Time};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Driver;
use super::liveness::wait_until_closed;
use crate::clock::Clock;

use crate::endpoint::Dispatcher;
use crate::http::CallError;
use crate::input::Input;
use crate::site::EndpointLocation;

/// Time by which the second connection is younger than the first: endpoints close connections that are idle for long, one
/// after the other, while the end of a process closes both.
const STAGGER: Duration = Duration::from_secs(1);
/// Time within which the end of a process closes both connections.
const CLOSE_SPREAD: Duration = Duration::from_millis(100);

impl<B: Dispatcher> Driver<B> {
    /// Keeps two connections to an endpoint, and reports to the scheduler since when, and when the endpoint has closed both.
    pub(super) fn watch_endpoint(&self, endpoint: EndpointId) {
        let location = self.parts.site.view().location(&endpoint);
        let update = move |change| {
            let endpoint = endpoint.clone();
            Event::Watched(WatchUpdate { endpoint, change })
        };
        let Some(location) = location else {
            self.queue_event(update(WatchChange::Ended));
            return;
        };
        let (inputs, dispatcher) = (self.parts.inputs.clone(), self.parts.dispatcher.clone());
        let clock = self.parts.clock;
        self.parts.runtime.spawn(async move {
            let mut end = WatchChange::Ended;
            if let Ok((stream, opened)) = open(&dispatcher, location, clock).await {
                let opened = update(WatchChange::Opened(opened));
                let _ = inputs.send(Input::Event(opened)).await;
                keep(&dispatcher, location, stream).await;
                end = WatchChange::Closed;
            }
            let _ = inputs.send(Input::Event(update(end))).await;
        });
    }
}

/// Opens a connection; returns it with a time at which it was open.
async fn open<B: Dispatcher>(
    dispatcher: &B,
    location: EndpointLocation,
    clock: Clock,
) -> Result<(TcpStream, Time), CallError> {
    let stream = dispatcher.connect(location).await?;
    Ok((stream, clock.now()))
}

/// Keeps a connection and a younger one until both are closed at once. Where one alone is closed, the process lives on.
async fn keep<B: Dispatcher>(dispatcher: &B, location: EndpointLocation, first: TcpStream) {
    let mut kept = first;
    let mut pause = STAGGER;
    loop {
        if timeout(pause, wait_until_closed(&kept)).await.is_ok() {
            return;
        }
        pause = STAGGER;
        let Ok(younger) = dispatcher.connect(location).await else {
            continue;
        };
        if is_older_closed_alone(&kept, &younger).await {
            kept = younger;
            pause = Duration::ZERO;
        } else if timeout(CLOSE_SPREAD, wait_until_closed(&kept))
            .await
            .is_ok()
        {
            return;
        }
    }
}

/// Waits until one of two connections is closed. Returns whether it is the older one, and the other one stays open.
async fn is_older_closed_alone(older: &TcpStream, younger: &TcpStream) -> bool {
    tokio::select! {
        () = wait_until_closed(older) => {
            timeout(CLOSE_SPREAD, wait_until_closed(younger)).await.is_err()
        }
        () = wait_until_closed(younger) => false,
    }
}
