//! Routes of the resource API.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Kind, ResourceKey, parse_object};
use firdock_core::{ContentId, Findings};
use firdock_policy::Event;
use firdock_state::{Change, Entry, State};
use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_blocking;

use super::call::Call;
use super::reply::{self, Response};
use super::status::Status;
use super::watch::Watchers;
use super::{apply, apply::merged};
use crate::clock::Clock;
use crate::config::{Hub, write};
use crate::http::{Acceptor, ServerOptions, SocketBuffers, listen, serve};
use crate::input::Input;
use crate::platform::LogClient;
use crate::telemetry::Metrics;

/// Maximum number of connections: several times the number of watchers, so that health checks still get one.
const MAX_CONNECTIONS: usize = 256;
/// Maximum size of the head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum time to receive the head of a call, and of idle time between two calls on a connection.
const HEAD_TIME: Duration = Duration::from_mins(1);
/// Default wait of a watch, in seconds.
const DEFAULT_WAIT_SECS: u64 = 25;

/// Components that the resource API uses.
#[derive(Debug)]
pub struct OperatorServer<L> {
    /// Client of the platform's log.
    pub log_client: L,
    /// State of the configuration, shared between threads.
    pub hub: Arc<Hub>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Clock.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Name of this instance.
    pub instance: String,
    /// Availability zone of this instance.
    pub zone: String,
    /// Number of waiting watchers.
    pub watchers: Watchers,
    /// Channel to the scheduler.
    pub inputs: mpsc::Sender<Input>,
}

/// Starts serving on the current runtime until `stop` becomes true; returns the address.
///
/// A call may block on the log or wait for changes, so each one is handled on a blocking thread. The number of
/// watches is limited, so that a thread is always left for health checks.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn serve_operators<L: LogClient>(
    address: SocketAddr,
    server: OperatorServer<L>,
    stop: watch::Receiver<bool>,
) -> io::Result<SocketAddr> {
    let listener = listen(address)?;
    let bound = listener.local_addr()?;
    let acceptor = Acceptor::new(listener);
    let acceptor = acceptor.with_log(&server.log, "instance.operators", server.clock);
    let server = Arc::new(server);
    let options = ServerOptions {
        connections: MAX_CONNECTIONS,
        header_bytes: MAX_HEAD_BYTES,
        header_time: HEAD_TIME,
        buffers: SocketBuffers::SYSTEM,
    };
    let handle = move |request| answer(Arc::clone(&server), request);
    tokio::spawn(serve(acceptor, options, stop, handle));
    Ok(bound)
}

async fn answer<L: LogClient>(
    server: Arc<OperatorServer<L>>,
    request: Request<Incoming>,
) -> Response {
    let call = match Call::read(request).await {
        Ok(call) => call,
        Err(response) => return *response,
    };
    let answering = spawn_blocking(move || server.handle(&call)).await;
    answering.unwrap_or_else(|e| reply::error(500, "failed", &e.to_string()))
}

impl<L: LogClient> OperatorServer<L> {
    fn handle(&self, call: &Call) -> Response {
        let parts: Vec<&str> = call.path.split('/').filter(|p| !p.is_empty()).collect();
        let response = self.route(call, &parts);
        info!(self.log, "resource API";
            "method" => call.method.as_str(), "status" => response.status().as_u16());
        response
    }

    fn route(&self, call: &Call, parts: &[&str]) -> Response {
        match (call.method.as_str(), parts) {
            ("GET", ["healthz"]) => reply::text("ok\n"),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics(),
            ("GET", ["v1", "status"]) => reply::ok(&self.status()),
            ("GET", ["v1", "endpoints"]) => reply::ok(&self.metrics.endpoints().get()),
            ("GET", ["v1", "suspects"]) => reply::ok(&*self.metrics.suspects().get()),
            ("POST", ["v1", "suspects", content, "release"]) => self.release(content),
            ("GET", ["v1", "watch"]) => self.watch(call),
            ("POST", ["v1", "apply"]) => match call.text() {
                Ok(text) => apply::apply(&self.log_client, &self.hub, &self.log, text),
                Err(e) => e.answer(),
            },
            ("GET", ["v1", "resources"]) => reply::ok(&list(&self.state(), None)),
            (_, ["v1", "resources", kind, rest @ ..]) => match kind.parse::<Kind>() {
                Ok(kind) => self.resource(call, kind, rest),
                Err(e) => reply::error(404, "no-such-kind", &e.to_string()),
            },
            _ => reply::error(404, "no-such-path", "see docs/operators/resource-api.md"),
        }
    }

    fn resource(&self, call: &Call, kind: Kind, rest: &[&str]) -> Response {
        match (call.method.as_str(), rest) {
            ("GET", []) => reply::ok(&list(&self.state(), Some(kind))),
            ("GET", [name]) => self.get(&ResourceKey::new(kind, *name)),
            ("PUT", [name]) => self.put(call, ResourceKey::new(kind, *name)),
            ("DELETE", [name]) => self.delete(call, ResourceKey::new(kind, *name)),
            _ => reply::error(405, "no-such-method", "GET, PUT or DELETE"),
        }
    }

    fn state(&self) -> Arc<State> {
        Arc::clone(&self.hub.lock().state)
    }

    fn status(&self) -> Status {
        Status::new(
            &self.instance,
            &self.zone,
            self.clock.now(),
            &self.hub.lock(),
        )
    }

    fn ready(&self) -> Response {
        let hub = self.hub.lock();
        if hub.stopping {
            return reply::error(503, "stopping", "the instance is stopping");
        }
        if !hub.is_configured() {
            return reply::error(
                503,
                "no-configuration",
                "no configuration from the log or a peer is in force yet",
            );
        }
        reply::text("ready\n")
    }

    fn metrics(&self) -> Response {
        let read = self.hub.lock().log_read.unwrap_or_default();
        self.metrics
            .set_log_lag(self.clock.now().saturating_sub(read));
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        reply::with_type(kind, self.metrics.render())
    }

    fn watch(&self, call: &Call) -> Response {
        let after = call.number("after").unwrap_or(0);
        let wait = call.number("wait").unwrap_or(DEFAULT_WAIT_SECS);
        self.watchers
            .answer(&self.hub, after, Duration::from_secs(wait))
    }

    /// Releases a request from quarantine, here and, through this instance's reports, at all other instances.
    fn release(&self, content: &str) -> Response {
        let id: ContentId = match content.parse() {
            Ok(id) => id,
            Err(e) => return reply::error(422, "bad-input", &format!("{content}: {e}")),
        };
        if !self.metrics.suspects().get().contains_key(&id) {
            let detail = format!("no endpoint is known to have exited during request {id}");
            return reply::error(404, "not-found", &detail);
        }
        let event = Event::Released(id, self.clock.now());
        match self.inputs.blocking_send(Input::Event(event)) {
            Ok(()) => reply::ok(&json!({ "released": id })),
            Err(_stopped) => reply::error(503, "stopping", "the instance is stopping"),
        }
    }

    fn get(&self, key: &ResourceKey) -> Response {
        match self.state().entries.get(key) {
            Some(entry) => reply::ok(entry),
            None => not_found(key),
        }
    }

    fn put(&self, call: &Call, key: ResourceKey) -> Response {
        let text = match call.text() {
            Ok(text) => text,
            Err(e) => return e.answer(),
        };
        let state = self.state();
        let resource = match check_object(&state, &key, text) {
            Ok(resource) => resource,
            Err(found) => return reply::findings(&found),
        };
        let base = call
            .number("base")
            .unwrap_or_else(|| state.version_of(&key));
        let change = Change {
            key,
            base,
            resource: Some(resource),
        };
        reply::written(write(&self.log_client, &self.hub, &self.log, change))
    }

    fn delete(&self, call: &Call, key: ResourceKey) -> Response {
        let state = self.state();
        let present = state.version_of(&key);
        if present == 0 {
            return not_found(&key);
        }
        let base = call.number("base").unwrap_or(present);
        let change = Change {
            key,
            base,
            resource: None,
        };
        reply::written(write(&self.log_client, &self.hub, &self.log, change))
    }
}

fn not_found(key: &ResourceKey) -> Response {
    reply::error(404, "not-found", &format!("there is no {key}"))
}

fn list(state: &State, kind: Option<Kind>) -> Vec<Entry> {
    let wanted = |key: &ResourceKey| kind.is_none_or(|k| key.kind == k);
    state
        .entries
        .iter()
        .filter(|(key, _)| wanted(key))
        .map(|(_, e)| e.clone())
        .collect()
}

/// Validates one resource by itself and against the configuration in force.
fn check_object(
    state: &State,
    key: &ResourceKey,
    text: &str,
) -> Result<firdock_core::resource::Resource, Findings> {
    let mut found = Findings::new();
    let mut body = match serde_json::from_str::<serde_json::Value>(text) {
        Ok(body) => body,
        Err(e) => {
            found.add(Some(e.line()), "", e.to_string());
            return Err(found);
        }
    };
    if let Some(map) = body.as_object_mut() {
        map.remove("kind");
    }
    let resource = parse_object(key.kind, body)?;
    if resource.key() != *key {
        found.add(
            None,
            format!("{}.name", key.kind),
            "must be the name in the path",
        );
        return Err(found);
    }
    merged(state, std::slice::from_ref(&resource)).check_references(&mut found);
    found.into_result(resource)
}
