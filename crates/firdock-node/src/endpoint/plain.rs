//! HTTP adapter for plain application servers.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_policy::event::BreakCause;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Request, Response, header};

use super::{
    DISPATCH_HEADER, EndpointBody, EndpointResponse, Framing, HeadNotice, LostSnafu,
    NOT_STARTED_HEADER, NOTICE_HEADERS, PlainAnswer, PlainClient, PlainRequest, RefusedSnafu,
    StartError, break_cause,
};
use crate::exchange::AnswerHead;
use crate::http::{CallError, ResponseBody, connect, strip_hop_by_hop};
use crate::ingress::REQUEST_ID_HEADER;

/// Adapter for plain servers.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlain {
    connect_timeout: Duration,
}

impl HttpPlain {
    /// Creates an adapter with a time limit for connecting.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout }
    }
}

impl PlainClient for HttpPlain {
    async fn call(
        &self,
        at: SocketAddr,
        plain_request: PlainRequest<'_>,
        idle_timeout: Duration,
    ) -> EndpointResponse<PlainAnswer> {
        let Some(request) = request(at, plain_request) else {
            return EndpointResponse::without_head(StartError::Refused);
        };
        let Ok(mut connection) = connect(at, self.connect_timeout).await else {
            return EndpointResponse::without_head(StartError::Unreachable);
        };
        let response = match connection.call(request, idle_timeout).await {
            Ok(response) => response,
            Err(CallError::Connect { .. } | CallError::ConnectTime { .. }) => {
                return EndpointResponse::without_head(StartError::Unreachable);
            }
            Err(e) => {
                let cause = break_cause(&e);
                return EndpointResponse::without_head(StartError::Lost { cause });
            }
        };
        let head = HeadNotice::read(response.status(), response.headers(), &NOTICE_HEADERS);
        let framing = response.body().framing();
        let result = check_response(plain_request, response).map(|response| {
            let (parts, body) = response.into_parts();
            let head = AnswerHead {
                status: parts.status,
                headers: parts.headers,
                unframed: framing == Framing::Connection,
            };
            PlainAnswer {
                head,
                body: EndpointBody::new(body),
                connection,
            }
        });
        EndpointResponse { head, result }
    }
}

/// Checks from its head whether a response belongs to the call.
fn check_response(
    plain_request: PlainRequest<'_>,
    mut response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, StartError> {
    if response.headers().contains_key(NOT_STARTED_HEADER) {
        return RefusedSnafu.fail();
    }
    let echoed = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok());
    if echoed.is_some_and(|id| id != plain_request.id.to_string()) {
        let cause = BreakCause::Foreign;
        return LostSnafu { cause }.fail();
    }
    strip_hop_by_hop(response.headers_mut());
    Ok(response)
}

fn request(at: SocketAddr, plain_request: PlainRequest<'_>) -> Option<Request<Full<bytes::Bytes>>> {
    let body = Full::new(plain_request.body.clone());
    let builder = Request::builder()
        .method(plain_request.method)
        .uri(plain_request.target);
    let mut request = builder.body(body).ok()?;
    let headers = request.headers_mut();
    headers.clone_from(plain_request.headers);
    headers.insert(header::HOST, HeaderValue::from_str(&at.to_string()).ok()?);
    let id = HeaderValue::from_str(&plain_request.id.to_string()).ok()?;
    headers.insert(REQUEST_ID_HEADER, id);
    headers.insert(DISPATCH_HEADER, HeaderValue::from(plain_request.dispatch));
    headers.insert(
        "traceparent",
        HeaderValue::from_str(&plain_request.trace.header()).ok()?,
    );
    Some(request)
}
