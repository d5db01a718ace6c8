//! Checks the liveness of endpoints whose connections ended early.

use std::time::Duration;

use firdock_core::{EndpointId, InstanceId, RequestId, StartId};
use firdock_policy::Event;
use firdock_policy::event::{LinkProbe, Liveness, LivenessResult};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Driver;
use crate::endpoint::{Dispatcher, Target};
use crate::input::Input;
use crate::peer::TunnelError;
use crate::site::EndpointLocation;

/// Number of connection attempts before an address that closes each connection at once is given up.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// A connection must stay open for this long to count as proof of life. A terminating process, which may accept it
/// while its memory is freed, closes it sooner.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);

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
        let (inputs, dispatcher) = (self.parts.inputs.clone(), self.parts.dispatcher.clone());
        self.parts.runtime.spawn(async move {
            let found = probe(&dispatcher, location).await;
            let event = Event::LivenessChecked(LivenessResult { start, found });
            let _ = inputs.send(Input::Event(event)).await;
        });
    }

    /// Checks the same by way of a peer, on behalf of a request whose answer came through it.
    pub(super) fn check_liveness_through(
        &self,
        endpoint: &EndpointId,
        start: StartId,
        (peer, id): (InstanceId, RequestId),
    ) {
        let Some(location) = self.parts.site.view().location(endpoint) else {
            let found = Liveness::Silent;
            self.queue_event(Event::LivenessCheckedThrough(LivenessResult {
                start,
                found,
            }));
            return;
        };
        let target = Target {
            name: endpoint.clone(),
            address: location.address,
        };
        let (inputs, dispatcher) = (self.parts.inputs.clone(), self.parts.dispatcher.clone());
        self.parts.runtime.spawn(async move {
            let found = probe_through(&dispatcher, &peer, &target, id).await;
            let event = Event::LivenessCheckedThrough(LivenessResult { start, found });
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
            let connected = dispatcher.connect(location).await.is_ok();
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
async fn probe<B: Dispatcher>(dispatcher: &B, location: EndpointLocation) -> Liveness {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match dispatcher.connect(location).await {
            Ok(stream) => {
                if timeout(MIN_OPEN_TIME, wait_until_closed(&stream))
                    .await
                    .is_err()
                {
                    return Liveness::Open;
                }
            }
            Err(e) if e.is_refused() => return Liveness::Ended,
            // It stopped listening before it accepted the connection.
            Err(e) if e.is_reset() => {}
            Err(_) => return Liveness::Silent,
        }
    }
    Liveness::Silent
}

/// Checks by way of a peer whether an endpoint is alive, by the same rule.
async fn probe_through<B: Dispatcher>(
    dispatcher: &B,
    peer: &InstanceId,
    target: &Target,
    id: RequestId,
) -> Liveness {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match dispatcher.connect_through(peer, target, id).await {
            Ok(mut stream) => {
                let mut byte = [0];
                let reading = timeout(MIN_OPEN_TIME, stream.read(&mut byte));
                if reading.await.is_err() {
                    return Liveness::Open;
                }
            }
            Err(TunnelError::Unreachable { refused: true, .. }) => return Liveness::Ended,
            Err(_) => return Liveness::Silent,
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
