//! Looks at endpoints whose connections ended early.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{EndpointId, StartId};
use firdock_policy::Event;
use firdock_policy::event::{Liveness, LivenessResult};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Driver;
use crate::endpoint::Dispatcher;
use crate::input::Input;

/// Connects after which an address that closes each of them at once is given up.
const TRIES: u32 = 3;
/// Time for which a connection has to stay open to count: a process that ends is gone in less.
const STAYS_OPEN: Duration = Duration::from_millis(20);

impl<B: Dispatcher> Driver<B> {
    /// Looks whether an endpoint's address takes connections, and tells the scheduler.
    pub(super) fn check_liveness(&self, endpoint: &EndpointId, start: StartId) {
        let Some(place) = self.parts.site.view().location(endpoint) else {
            // The list has lost it, which is told by itself.
            let found = Liveness::Silent;
            self.send(Event::LivenessChecked(LivenessResult { start, found }));
            return;
        };
        let (inputs, limit) = (self.parts.inputs.clone(), self.parts.limits.connect);
        self.parts.runtime.spawn(async move {
            let found = probe(place.address, limit).await;
            let event = Event::LivenessChecked(LivenessResult { start, found });
            let _ = inputs.send(Input::Event(event)).await;
        });
    }
}

/// Tells by a connect whether an endpoint is there: only a refusal says that its process has ended.
///
/// A process that ends closes its sockets one after the other, so that it may still take a connection of
/// which nothing comes any more: one that is closed again at once is no answer, and is tried anew.
async fn probe(address: SocketAddr, limit: Duration) -> Liveness {
    for _ in 0..TRIES {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                if timeout(STAYS_OPEN, closed(&stream)).await.is_err() {
                    return Liveness::Open;
                }
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Liveness::Ended,
            Ok(Err(_)) | Err(_) => return Liveness::Silent,
        }
    }
    Liveness::Silent
}

/// Waits until the far end closes a connection on which it has nothing to say.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    // Bytes, an end or an error: none of them is what a server does that waits for a request.
    let _ = stream.peek(&mut byte).await;
}
