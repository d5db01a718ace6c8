//! Checks the liveness of endpoints whose connections ended early.

use std::pin::pin;
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
/// Time after which an address that accepted a connection is asked for another one. The listening socket of a
/// terminating process may be closed last, and what it accepted may outlast [`MIN_OPEN_TIME`].
const RECHECK_AFTER: Duration = Duration::from_millis(50);

impl<B: Dispatcher> Driver<B> {
    /// Checks whether an endpoint's address accepts connections and reports the result to the
    /// scheduler.
    pub(super) fn check_liveness(&self, endpoint: &EndpointId, start: StartId) {
        let Some(location) = self.location_of(endpoint) else {
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
        let Some(location) = self.location_of(endpoint) else {
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

    /// Returns where an endpoint is; if its entry is gone, where a request was sent that is still under way or waits for the verdict on
    /// its end.
    fn location_of(&self, endpoint: &EndpointId) -> Option<EndpointLocation> {
        let listed = self.parts.site.view().location(endpoint);
        listed.or_else(|| {
            let targets = self.active.values().filter_map(|r| r.target.as_ref());
            let mut own = targets.filter(|(name, _)| name == endpoint);
            own.next().map(|(_, location)| *location)
        })
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
                let is_refused = async {
                    let again = dispatcher.connect(location).await;
                    again.is_err_and(|e| e.is_refused())
                };
                if let Some(found) = watch(wait_until_closed(&stream), is_refused).await {
                    return found;
                }
            }
            Err(e) if e.is_refused() => return Liveness::Ended,
            // It stopped listening before it accepted the connection.
            Err(e) if e.is_reset() => {}
            Err(_) => return Liveness::Silent,
        }
    }
    Liveness::ClosesAtOnce
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
                let is_refused = async {
                    let again = dispatcher.connect_through(peer, target, id).await;
                    again.is_err_and(|e| is_refused_by_endpoint(&e))
                };
                if let Some(found) = watch(stream.read(&mut byte), is_refused).await {
                    return found;
                }
            }
            Err(e) if is_refused_by_endpoint(&e) => return Liveness::Ended,
            Err(_) => return Liveness::Silent,
        }
    }
    Liveness::Silent
}

fn is_refused_by_endpoint(error: &TunnelError) -> bool {
    matches!(error, TunnelError::Unreachable { refused: true, .. })
}

/// Watches a connection that was accepted, and asks for another one meanwhile. Returns `None` if the first was closed and
/// nothing was refused, which proves nothing.
///
/// A process that was killed closes what it accepted. A refusal beside a connection that stays open therefore shows an
/// address that stopped listening, and no exit. An address that does not answer in time counts as accepting: its queue of
/// connections may be full.
async fn watch<T>(
    closed: impl Future<Output = T>,
    is_refused: impl Future<Output = bool>,
) -> Option<Liveness> {
    let mut closed = pin!(closed);
    if timeout(RECHECK_AFTER, &mut closed).await.is_ok() {
        return None;
    }
    let rest = MIN_OPEN_TIME.saturating_sub(RECHECK_AFTER);
    let (closed, is_refused) = tokio::join!(timeout(rest, closed), timeout(rest, is_refused));
    match (closed.is_err(), is_refused.unwrap_or(false)) {
        (true, true) => Some(Liveness::StoppedListening),
        (true, false) => Some(Liveness::Open),
        (false, true) => Some(Liveness::Ended),
        (false, false) => None,
    }
}

/// Waits until the peer closes a connection on which neither side sends anything.
pub(super) async fn wait_until_closed(stream: &TcpStream) {
    let mut byte = [0];
    // Data, an end or an error: a server that waits for a request does none of these.
    let _ = stream.peek(&mut byte).await;
}
