//! The native interface: bearer keys, OpenAI-compatible calls for models, plain calls for services.

use bytes::Bytes;
use firdock_core::{AccountId, Outcome};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};

use super::answer::{Problem, set_outcome_headers};
use super::body::AnswerBody;
use super::interface::{IncomingCall, Interface};
use super::key::MAX_KEY_BYTES;
use super::model::ModelCall;
use crate::exchange::{CallTerms, Payload};
use crate::http::strip_hop_by_hop;
use crate::site::SiteView;

/// Header that carries the caller's idempotency key.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Prefix of an `Authorization` header with a bearer key.
const BEARER: &str = "Bearer ";

/// Firdock's native interface for callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeInterface;

impl Interface for NativeInterface {
    /// Authenticates a call and finds its service.
    async fn read(&self, call: IncomingCall) -> Result<Payload, Problem> {
        let view = call.site.view();
        let account = authenticate(&view, &call.head.headers)?;
        let key = read_key(&call.head.headers)?;
        let body = call.body.read().await?;
        let head = call.head;
        let path = head.uri.path();
        let model = read_model(path, &body)?;
        let service = match &model {
            Some(call) => view.model_service(&call.model),
            None => view.plain_service(path),
        };
        let service = service.ok_or_else(no_service)?;
        if !service.accounts.is_empty() && !service.accounts.contains(&account) {
            let detail = "the account may not call this service";
            return Err(Problem::new(StatusCode::FORBIDDEN, "forbidden", detail));
        }
        let target = head.uri.path_and_query();
        let target = target.map_or("/", |t| t.as_str()).to_owned();
        Ok(Payload {
            service: service.name.clone(),
            account,
            method: head.method,
            target,
            headers: passed_headers(head.headers),
            body,
            model,
            key,
            terms: CallTerms::default(),
        })
    }

    /// Returns `None`: the native interface has no header for it; callers get the id that firdock assigned.
    fn caller_request_id(&self, _headers: &HeaderMap) -> Option<String> {
        None
    }

    fn refuse(&self, problem: &Problem, id: &str) -> Response<AnswerBody> {
        problem.response(id)
    }

    fn set_outcome_headers(&self, headers: &mut HeaderMap, outcome: Outcome, id: &str) {
        set_outcome_headers(headers, outcome, id);
    }
}

fn authenticate(view: &SiteView, headers: &HeaderMap) -> Result<AccountId, Problem> {
    let given = headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let key = given.and_then(|v| v.strip_prefix(BEARER));
    let account = key.and_then(|key| view.account(key.trim()));
    account.cloned().ok_or_else(|| {
        let detail = "a bearer key of a known account is needed";
        Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail)
    })
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|t| (1..=MAX_KEY_BYTES).contains(&t.len()));
    if let Some(text) = text {
        return Ok(Some(text.trim_matches('"').to_owned()));
    }
    let detail = format!("Idempotency-Key: 1 to {MAX_KEY_BYTES} visible characters");
    Err(Problem::new(StatusCode::BAD_REQUEST, "bad-key", detail))
}

fn read_model(path: &str, body: &Bytes) -> Result<Option<ModelCall>, Problem> {
    if !ModelCall::is_path(path) {
        return Ok(None);
    }
    ModelCall::parse(path, body)
        .map(Some)
        .map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "bad-call", e.to_string()))
}

fn no_service() -> Problem {
    let detail = "no service matches the model or path";
    Problem::new(StatusCode::NOT_FOUND, "no-service", detail)
}

/// Removes the headers that are not forwarded to endpoints, among them the caller's bearer key.
fn passed_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in [
        header::AUTHORIZATION,
        header::HOST,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove(super::handler::TRACE_HEADER);
    headers
}
