//! Server for peers' connections: heartbeats, request hand-over, key transfer and state transfer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::InstanceId;
use firdock_policy::{Event, Origin};
use firdock_wire::Body;
use firdock_wire::message;
use hyper::Method;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::timeout;
use uuid::Uuid;

use super::dial::Dialer;
use super::hand_over::{read_headers, send_part};
use super::heartbeat::read_status;
use super::keys::read_transfer;
use super::link::{Link, LinkError};
use super::state::send_state;
use crate::clock::Clock;
use crate::config::PeerStatus;
use crate::exchange::{AnswerBudget, AnswerReceiver, BodyBudget, CallTerms, Exchange, Payload};
use crate::http::Acceptor;
use crate::ingress::{BodyHasher, ModelCall, new_request, occupied_bytes};
use crate::input::Input;
use crate::telemetry::TraceContext;

/// Time without messages after which a peer's connection is considered lost.
const LINK_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent connections from peers.
const MAX_LINKS: usize = 4_096;

/// Serves connections from peers.
#[derive(Debug, Clone)]
pub struct PeerServer {
    /// Name, key and shared state of this instance.
    pub dialer: Dialer,
    /// Queue of inputs to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Bounds the size of answers that peers have not read yet.
    pub answer_budget: AnswerBudget,
    /// Counts the requests that peers hand over.
    pub body_budget: BodyBudget,
    /// Computes the identities of the requests that peers hand over.
    pub hasher: BodyHasher,
}

/// Serves peers until `stop` turns true.
pub async fn serve_peers(listener: TcpListener, server: PeerServer, stop: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(MAX_LINKS));
    let acceptor = Acceptor::new(listener).with_log(&server.log, "instance.peers", server.clock);
    accept_peers(&acceptor, &slots, stop, |stream| {
        let server = server.clone();
        async move {
            if let Err(e) = server.serve_connection(stream).await {
                warn!(server.log, "peer cut off"; "error" => e.to_string());
            }
        }
    })
    .await;
}

/// Accepts connections from peers and serves each in a task of its own, until `stop` turns true.
/// Those beyond the slots are closed.
pub(super) async fn accept_peers<F>(
    acceptor: &Acceptor,
    slots: &Arc<Semaphore>,
    mut stop: watch::Receiver<bool>,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            stream = acceptor.accept() => stream,
            _ = stop.wait_for(|s| *s) => return,
        };
        let Ok(slot) = Arc::clone(slots).try_acquire_owned() else {
            continue;
        };
        let serving = serve(stream);
        tokio::spawn(async move {
            serving.await;
            drop(slot);
        });
    }
}

impl PeerServer {
    async fn read_order(&self, order: message::HandOver) -> Option<ReceivedRequest> {
        let id = Uuid::from_slice(&order.request_id).ok()?;
        let method = Method::from_bytes(order.method.as_bytes()).ok()?;
        let body = Bytes::from(order.body);
        let path = order.target.split('?').next().unwrap_or_default();
        let model = if ModelCall::is_path(path) {
            Some(ModelCall::parse(path, &body).ok()?)
        } else {
            None
        };
        let mut payload = Payload {
            service: order.service,
            account: order.account,
            access: None,
            method,
            target: order.target,
            headers: read_headers(order.headers),
            body,
            memory: Arc::default(),
            model,
            key: Some(order.idempotency_key).filter(|k| !k.is_empty()),
            terms: CallTerms::default(),
        };
        let bytes = occupied_bytes(&payload);
        payload.memory = Arc::new(self.body_budget.hold(&payload.account, bytes));
        let trace = TraceContext::parse_or_start(Some(&order.traceparent));
        let identity = self.hasher.identify(&payload).await;
        let (exchange, parts) = Exchange::new(id, payload, identity, trace, &self.answer_budget);
        Some((exchange, parts, order.tried))
    }

    async fn serve_connection(&self, stream: TcpStream) -> Result<(), LinkError> {
        let is_peer = |name: &str| self.dialer.hub().lock().is_peer(name);
        let mut link =
            Link::accept(stream, self.dialer.own_name(), self.dialer.key(), is_peer).await?;
        match receive_in_time(&mut link).await? {
            Some(Body::Heartbeat(heartbeat)) => self.receive_heartbeats(link, heartbeat).await,
            Some(Body::HandOver(order)) => self.serve_hand_over(link, order).await,
            Some(Body::KeyTransfer(transfer)) => self.accept_transfer(link, transfer).await,
            Some(Body::StateRequest(_)) => {
                let state = Arc::clone(&self.dialer.hub().lock().state);
                send_state(&mut link, &state).await
            }
            Some(_) => Err(LinkError::Rejected {
                reason: "unexpected message",
            }),
            None => Ok(()),
        }
    }

    /// Accepts keys that a member transfers, and acknowledges them.
    async fn accept_transfer(
        &self,
        mut link: Link,
        transfer: message::KeyTransfer,
    ) -> Result<(), LinkError> {
        let Some(transfer) = read_transfer(transfer) else {
            return Err(LinkError::Rejected {
                reason: "malformed transfer",
            });
        };
        let event = Input::Event(Event::KeyTransfer(transfer));
        if self.inputs.send(event).await.is_err() {
            // The instance stops, so nothing holds the keys here.
            return Ok(());
        }
        link.send(Body::KeysAccepted(message::KeysAccepted {}))
            .await
    }

    /// Receives heartbeats until the connection fails.
    async fn receive_heartbeats(
        &self,
        mut link: Link,
        first: message::Heartbeat,
    ) -> Result<(), LinkError> {
        let mut next = Some(Body::Heartbeat(first));
        while let Some(Body::Heartbeat(heartbeat)) = next {
            self.record_status(&link.peer, &heartbeat);
            let update = read_status(&link.peer, heartbeat, self.clock.now());
            if self
                .inputs
                .send(Input::Event(Event::Peer(update)))
                .await
                .is_err()
            {
                return Ok(());
            }
            next = match receive_in_time(&mut link).await {
                Ok(body) => body,
                Err(e) => {
                    self.report_lost(&link.peer).await;
                    return Err(e);
                }
            };
        }
        self.report_lost(&link.peer).await;
        Ok(())
    }

    /// Records a peer's status, and wakes the log reader if the peer has read further in the log.
    fn record_status(&self, peer: &str, heartbeat: &message::Heartbeat) {
        let status = PeerStatus {
            zone: heartbeat.zone.clone(),
            version: heartbeat.version,
            draining: heartbeat.draining,
            heard: self.clock.now(),
        };
        let hub = self.dialer.hub();
        let behind = hub.update(|h| {
            h.note_peer(peer, status);
            h.state.next < heartbeat.log_next
        });
        if behind {
            hub.wake();
        }
    }

    async fn report_lost(&self, peer: &InstanceId) {
        let _ = self
            .inputs
            .send(Input::Event(Event::PeerLost(peer.clone())))
            .await;
    }

    /// Serves a request that a peer hands over and streams the answer back.
    async fn serve_hand_over(
        &self,
        mut link: Link,
        order: message::HandOver,
    ) -> Result<(), LinkError> {
        let Some((exchange, parts, tried)) = self.read_order(order).await else {
            return Err(LinkError::Rejected {
                reason: "malformed request",
            });
        };
        let id = exchange.id;
        let origin = Origin::Peer(link.peer.clone());
        let new = new_request(&exchange, origin, tried);
        if self
            .inputs
            .send(Input::Arrived(new, exchange))
            .await
            .is_err()
        {
            return Ok(());
        }
        let result = stream_back(&mut link, parts).await;
        if !matches!(result, Ok(true)) {
            let _ = self.inputs.send(Input::Event(Event::CallerLeft(id))).await;
        }
        result.map(|_| ())
    }
}

/// Receives a message that is expected soon. The timeout detects a connection that failed silently.
async fn receive_in_time(link: &mut Link) -> Result<Option<Body>, LinkError> {
    timeout(LINK_TIMEOUT, link.receive())
        .await
        .unwrap_or(Err(LinkError::TimedOut))
}

/// Streams the parts of an answer back. Returns whether the last one was sent.
async fn stream_back(link: &mut Link, mut parts: AnswerReceiver) -> Result<bool, LinkError> {
    loop {
        tokio::select! {
            part = parts.recv() => {
                let Some(part) = part else { return Ok(false) };
                if send_part(link, part).await? {
                    return Ok(true);
                }
            }
            // The peer sends nothing more, so anything received, or the end of the connection,
            // means that it abandoned the request.
            _ = link.receive() => return Ok(false),
        }
    }
}

type ReceivedRequest = (Arc<Exchange>, AnswerReceiver, Vec<String>);
