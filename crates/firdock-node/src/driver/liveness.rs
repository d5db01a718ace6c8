//! Checks the liveness of endpoints whose connections ended early.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{EndpointId, StartId};
use firdock_policy::Event;
use firdock_policy::event::{LinkProbe, Liveness, LivenessResult};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::input::Input;

/// Number of connection attempts before an address that closes each connection at once is given up.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// A connection must stay open for this long to count as proof of life. A terminating process
/// closes it sooner.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);

impl<B: Dispatcher> Driver<B> {
    /// Checks whether an endpoint's address accepts connections and reports the result to the
    /// scheduler.
    pub(super) fn check_liveness(&self, endpoint: &EndpointId, start: StartId) {
        let Some(location) = self.parts.site.view().location(endpoint) else {
            // The endpoint is no longer listed, which is handled separately.
            let found = Liveness::Silent;
            self.queue_event(Event::LivenessChecked(LivenessResult { start, found }));
            return;
        };
        let (inputs, limit) = (self.parts.inputs.clone(), self.parts.limits.connect);
        self.parts.runtime.spawn(async move {
            let found = probe(location.address, limit).await;
            let event = Event::LivenessChecked(LivenessResult { start, found });
            let _ = inputs.send(Input::Event(event)).await;
        });
    }

    /// Probes the instance's own link to an endpoint and reports the result to the scheduler.
    pub(super) fn probe_link(&self, endpoint: &EndpointId, start: StartId) {
        let Some(location) = self.parts.site.view().location(endpoint) else {
            // The endpoint is no longer listed.
            return;
        };
        let (inputs, dispatcher) = (self.parts.inputs.clone(), self.parts.dispatcher.clone());
        self.parts.runtime.spawn(async move {
            let connected = dispatcher.probe(location).await;
            let event = Event::LinkProbed(LinkProbe { start, connected });
            let _ = inputs.send(Input::Event(event)).await;
        });
    }
}

/// Checks by connecting whether an endpoint is alive. Only a refused connection proves that its
/// process has exited.
///
/// A terminating process closes its sockets one by one and may still accept a connection that it
/// never serves. A connection that is closed at once is therefore inconclusive and is retried.
async fn probe(address: SocketAddr, limit: Duration) -> Liveness {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                if timeout(MIN_OPEN_TIME, wait_until_closed(&stream))
                    .await
                    .is_err()
                {
                    return Liveness::Open;
                }
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Liveness::Ended,
            Ok(Err(_)) | Err(_) => return Liveness::Silent,
        }
    }
    Liveness::Silent
}

/// Waits until the peer closes a connection on which neither side sends anything.
async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    // Data, an end or an error: a server that waits for a request does none of these.
    let _ = stream.peek(&mut byte).await;
}
