//! The native interface: bearer keys, OpenAI-compatible calls for models, plain calls for services.

use bytes::Bytes;
use firdock_core::{Outcome, credential};
use hyper::header::{self, HeaderName};
use hyper::{HeaderMap, Response, StatusCode};

use super::answer::{Problem, set_outcome_headers};
use super::body::AnswerBody;
use super::interface::{BodyOwner, IncomingCall, Interface};
use super::key::MAX_KEY_BYTES;
use super::model::ModelCall;
use super::request::copies;
use crate::exchange::{CallTerms, Payload};
use crate::http::strip_hop_by_hop;
use crate::site::{AccessRequest, Admission, Denial, RouteQuery};

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
        let hash = bearer(&call.head.headers).map(credential::hash_bearer);
        let known = hash.filter(|hash| call.site.view().account(hash).is_some());
        let hash = known.ok_or(Denial::Unauthorized)?;
        let sender = call.site.view().account(&hash).cloned();
        let sender = sender.ok_or(Denial::Unauthorized)?;
        let key = read_key(&call.head.headers)?;
        let head = call.head;
        let path = head.uri.path();
        let view = call.site.view();
        // The service of a model call is known only by its body.
        let plain = Some(path).filter(|p| !ModelCall::is_path(p));
        let owner = BodyOwner {
            account: &sender,
            rank: view.rank(&sender, plain.and_then(|p| view.plain_service(p))),
            copies: copies(ModelCall::is_path(path)),
            deadline: None,
        };
        let (body, memory) = call.body.read(owner).await?;
        let model = read_model(path, &body)?;
        let route = match &model {
            Some(call) => RouteQuery::Model(call.model.clone()),
            None => RouteQuery::Path(path.to_owned()),
        };
        // The body may have taken long, so that another configuration is in force.
        let view = call.site.view();
        let access = AccessRequest {
            route,
            key: Some(hash),
            revision: view.access_revision(),
        };
        let Admission { service, account } = view.admit(&access)?;
        let target = head.uri.path_and_query();
        let target = target.map_or("/", |t| t.as_str()).to_owned();
        Ok(Payload {
            service: service.name.clone(),
            account: account.to_owned(),
            access: Some(access),
            method: head.method,
            target,
            headers: passed_headers(head.headers),
            body,
            memory,
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

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let given = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    given.strip_prefix(BEARER).map(str::trim)
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
