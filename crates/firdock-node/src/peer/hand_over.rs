//! Handing a request over to a peer and streaming its answer back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::{EndpointId, InstanceId, Outcome, Reason, RequestId};
use firdock_policy::action::HandOverCause;
use firdock_policy::event::{HandOverEvent, HandOverRefusal};
use firdock_policy::{Event, Verdict};
use firdock_wire::Body;
use firdock_wire::message::{self, Cause, Header};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::dial::Dialer;
use super::link::Link;
use crate::exchange::{AnswerHead, AnswerPart, Exchange};
use crate::input::Input;
use crate::telemetry::TraceContext;

/// A request to be handed over.
#[derive(Debug)]
pub struct HandOverOrder {
    /// Request.
    pub exchange: Arc<Exchange>,
    /// Receiving peer.
    pub peer: InstanceId,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Reason for the hand-over.
    pub cause: HandOverCause,
    /// Endpoints that the request was already dispatched to.
    pub tried: Vec<EndpointId>,
    /// Queue of inputs to the scheduler.
    pub inputs: mpsc::Sender<Input>,
    /// Maximum time that the caller may leave parts of the answer unread.
    pub caller_stall: Duration,
}

impl HandOverOrder {
    fn id(&self) -> RequestId {
        self.exchange.id
    }

    async fn send_event(&self, event: HandOverEvent) {
        let _ = self.inputs.send(Input::Event(Event::HandOver(event))).await;
    }

    async fn report_refused(&self, verdict: Option<Verdict>, tried: Vec<EndpointId>) {
        let refusal = HandOverRefusal {
            id: self.id(),
            verdict,
            tried,
        };
        self.send_event(HandOverEvent::Refused(refusal)).await;
    }

    async fn forward(&self, part: AnswerPart) -> bool {
        let sending = timeout(self.caller_stall, self.exchange.reply.send(part)).await;
        matches!(sending, Ok(Ok(())))
    }
}

/// Hands a request over. Returns the result as recorded in the trace.
pub async fn hand_over(dialer: Dialer, order: HandOverOrder, trace: TraceContext) -> &'static str {
    let Ok(mut link) = dialer.dial(&order.peer, order.address).await else {
        order.report_refused(None, Vec::new()).await;
        return "unreachable";
    };
    // From here on, the peer may have received the request.
    if link
        .send(Body::HandOver(write_hand_over(&order, trace)))
        .await
        .is_err()
    {
        order.send_event(HandOverEvent::Broke(order.id())).await;
        return "broke";
    }
    loop {
        let Ok(Some(body)) = link.receive().await else {
            order.send_event(HandOverEvent::Broke(order.id())).await;
            return "broke";
        };
        if let Some(result) = handle_message(&order, body).await {
            return result;
        }
    }
}

/// Handles a message of the answer. Returns the result of the hand-over if it ended.
async fn handle_message(order: &HandOverOrder, body: Body) -> Option<&'static str> {
    let id = order.id();
    match body {
        Body::AnswerHead(head) => {
            order.send_event(HandOverEvent::Started(id)).await;
            let forwarded = order.forward(AnswerPart::Head(read_head(head))).await;
            if forwarded {
                None
            } else {
                report_caller_left(order).await
            }
        }
        Body::AnswerData(data) => {
            let forwarded = order
                .forward(AnswerPart::Data(Bytes::from(data.data)))
                .await;
            if forwarded {
                None
            } else {
                report_caller_left(order).await
            }
        }
        Body::AnswerEnd(_) => {
            order.exchange.reply.mark_complete();
            order.send_event(HandOverEvent::Ended(id)).await;
            let _ = order.forward(AnswerPart::End).await;
            Some("answered")
        }
        Body::Refusal(refusal) => {
            let verdict = read_verdict(Outcome::NotRun, &refusal.reason, refusal.retry_seconds);
            order.report_refused(Some(verdict), refusal.tried).await;
            Some("refused")
        }
        Body::UnknownOutcome(unknown) => {
            let verdict = read_verdict(Outcome::Unknown, &unknown.reason, unknown.retry_seconds);
            order.send_event(HandOverEvent::Unknown(id, verdict)).await;
            Some("unknown")
        }
        _ => {
            order.send_event(HandOverEvent::Broke(id)).await;
            Some("broke")
        }
    }
}

async fn report_caller_left(order: &HandOverOrder) -> Option<&'static str> {
    let _ = order
        .inputs
        .send(Input::Event(Event::CallerLeft(order.id())))
        .await;
    Some("caller-left")
}

fn write_hand_over(order: &HandOverOrder, trace: TraceContext) -> message::HandOver {
    let payload = &order.exchange.payload;
    let cause = match order.cause {
        HandOverCause::KeyOwner => Cause::KeyOwner,
        HandOverCause::Shed => Cause::Shed,
        HandOverCause::Stopping => Cause::Stopping,
    };
    message::HandOver {
        request_id: order.id().as_bytes().to_vec(),
        service: payload.service.clone(),
        account: payload.account.clone(),
        cause: cause.into(),
        method: payload.method.as_str().to_owned(),
        target: payload.target.clone(),
        headers: write_headers(&payload.headers),
        body: payload.body.to_vec(),
        idempotency_key: payload.key.clone().unwrap_or_default(),
        traceparent: trace.header(),
        tried: order.tried.clone(),
    }
}

/// Encodes headers.
pub(super) fn write_headers(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Decodes headers; malformed ones are dropped.
pub(super) fn read_headers(headers: Vec<Header>) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn read_head(head: message::AnswerHead) -> AnswerHead {
    let code = u16::try_from(head.status).unwrap_or_default();
    let status = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY);
    AnswerHead {
        status,
        headers: read_headers(head.headers),
        unframed: head.unframed,
    }
}

/// Decodes a reason; an unknown one is treated as a lost peer.
#[must_use]
pub fn read_reason(text: &str) -> Reason {
    let text = serde_json::Value::String(text.to_owned());
    serde_json::from_value::<Reason>(text).unwrap_or(Reason::PeerLost)
}

/// Decodes a verdict; an unknown reason is treated as a lost peer.
fn read_verdict(outcome: Outcome, reason: &str, retry_seconds: u32) -> Verdict {
    let reason = read_reason(reason);
    Verdict {
        outcome,
        reason,
        retry_after: (retry_seconds > 0).then(|| Duration::from_secs(u64::from(retry_seconds))),
    }
}

/// Sends a part of an answer, which [`handle_message`] receives at the other side. Returns whether it was the
/// last part.
pub(super) async fn send_part(link: &mut Link, part: AnswerPart) -> Result<bool, super::LinkError> {
    let (body, last) = match part {
        AnswerPart::Head(head) => {
            let status = u32::from(head.status.as_u16());
            let headers = write_headers(&head.headers);
            let unframed = head.unframed;
            let head = message::AnswerHead {
                status,
                headers,
                unframed,
            };
            (Body::AnswerHead(head), false)
        }
        AnswerPart::Data(data) => (
            Body::AnswerData(message::AnswerData {
                data: data.to_vec(),
            }),
            false,
        ),
        AnswerPart::End => (Body::AnswerEnd(message::AnswerEnd {}), true),
        AnswerPart::Cut => (Body::AnswerCut(message::AnswerCut {}), true),
        // It does not count as the last part, so that the scheduler is notified when the queue
        // ends.
        AnswerPart::CallerStalled => (Body::AnswerCut(message::AnswerCut {}), false),
        AnswerPart::Refusal(verdict, tried) => {
            let (reason, retry_seconds) = write_verdict(verdict);
            (
                Body::Refusal(message::Refusal {
                    reason,
                    retry_seconds,
                    tried,
                }),
                true,
            )
        }
        AnswerPart::Verdict(verdict) => {
            let (reason, retry_seconds) = write_verdict(verdict);
            (
                Body::UnknownOutcome(message::UnknownOutcome {
                    reason,
                    retry_seconds,
                }),
                true,
            )
        }
    };
    link.send(body).await?;
    Ok(last)
}

fn write_verdict(verdict: Verdict) -> (String, u32) {
    (
        verdict.reason.as_str().to_owned(),
        verdict
            .retry_after
            .map_or(0, |after| after.as_secs_f64().ceil() as u32),
    )
}
