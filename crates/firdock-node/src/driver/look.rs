//! Looks at endpoints whose connections ended early.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{EndpointId, StartId};
use firdock_policy::Event;
use firdock_policy::event::{Found, Look};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Driver;
use crate::endpoint::Backends;
use crate::input::Input;

impl<B: Backends> Driver<B> {
    /// Looks whether an endpoint's address takes connections, and tells the scheduler.
    pub(super) fn look(&self, endpoint: &EndpointId, start: StartId) {
        let Some(place) = self.parts.site.view().place(endpoint) else {
            // The list has lost it, which is told by itself.
            return;
        };
        let (inputs, limit) = (self.parts.inputs.clone(), self.parts.limits.connect);
        self.parts.runtime.spawn(async move {
            let found = look(place.address, limit).await;
            let event = Event::Looked(Look { start, found });
            let _ = inputs.send(Input::Event(event)).await;
        });
    }
}

/// Tells by a connect whether an endpoint is there: only a refusal says that its process has ended.
async fn look(address: SocketAddr, limit: Duration) -> Found {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_open)) => Found::Open,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Found::Ended,
        Ok(Err(_)) | Err(_) => Found::Silent,
    }
}
