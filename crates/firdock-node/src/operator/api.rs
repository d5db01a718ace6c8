//! Routing of the resource API's paths.

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::Findings;
use firdock_core::resource::{Kind, ResourceKey, parse_object};
use firdock_state::{Change, Entry, State};
use rouille::{Request, Response};
use slog::{Logger, info};

use super::reply;
use super::status::Status;
use super::watch::{MAX_WATCHERS, Watchers};
use super::{apply, apply::merged};
use crate::clock::Clock;
use crate::config::{Hub, write};
use crate::platform::LogClient;
use crate::telemetry::Metrics;

/// Largest body of a request.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Threads for requests: all watchers and as many others, so that health checks always find one.
const THREADS: usize = 2 * MAX_WATCHERS;
/// Wait of a watch that does not say.
const DEFAULT_WAIT: u64 = 25;

/// What the resource API needs.
#[derive(Debug)]
pub struct OperatorServer<L> {
    /// Log.
    pub log_client: L,
    /// Shared state.
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
    /// Count of watchers.
    pub watchers: Watchers,
}

/// Running server of the resource API: its address, and what tells it to stop.
///
/// Nobody waits for its end: `rouille` looks for the word to stop only once no request has come for
/// 100 ms, so health checks that come faster would keep a stopping process alive for ever.
pub type Server = (SocketAddr, std::sync::mpsc::Sender<()>);

/// Starts serving.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn serve_operators<L: LogClient>(
    address: SocketAddr,
    server: OperatorServer<L>,
) -> Result<Server, Box<dyn std::error::Error + Send + Sync>> {
    let server = rouille::Server::new(address, move |request| server.handle(request))?;
    let server = server.pool_size(THREADS);
    let bound = server.server_addr();
    let (_thread, stop) = server.stoppable();
    Ok((bound, stop))
}

impl<L: LogClient> OperatorServer<L> {
    fn handle(&self, request: &Request) -> Response {
        let path = request.url();
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let response = self.route(request, &parts);
        info!(self.log, "resource API";
            "method" => request.method().to_owned(), "status" => response.status_code);
        response
    }

    fn route(&self, request: &Request, parts: &[&str]) -> Response {
        match (request.method(), parts) {
            ("GET", ["healthz"]) => Response::text("ok\n"),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics(),
            ("GET", ["v1", "status"]) => reply::ok(&self.status()),
            ("GET", ["v1", "watch"]) => self.watch(request),
            ("POST", ["v1", "apply"]) => match read_body(request) {
                Ok(text) => apply::apply(&self.log_client, &self.hub, &text),
                Err(response) => response,
            },
            ("GET", ["v1", "resources"]) => reply::ok(&list(&self.state(), None)),
            (_, ["v1", "resources", kind, rest @ ..]) => match kind.parse::<Kind>() {
                Ok(kind) => self.resource(request, kind, rest),
                Err(e) => reply::error(404, "no-such-kind", &e.to_string()),
            },
            _ => reply::error(404, "no-such-path", "see docs/operators/resource-api.md"),
        }
    }

    fn resource(&self, request: &Request, kind: Kind, rest: &[&str]) -> Response {
        match (request.method(), rest) {
            ("GET", []) => reply::ok(&list(&self.state(), Some(kind))),
            ("GET", [name]) => self.get(&ResourceKey::new(kind, *name)),
            ("PUT", [name]) => self.put(request, ResourceKey::new(kind, *name)),
            ("DELETE", [name]) => self.delete(request, ResourceKey::new(kind, *name)),
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
        if hub.state.next == 0 {
            return reply::error(
                503,
                "no-configuration",
                "neither log nor peers were read yet",
            );
        }
        Response::text("ready\n")
    }

    fn metrics(&self) -> Response {
        let read = self.hub.lock().log_read.unwrap_or_default();
        self.metrics
            .set_log_lag(self.clock.now().saturating_sub(read));
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Response::from_data(kind, self.metrics.render())
    }

    fn watch(&self, request: &Request) -> Response {
        let after = number(request, "after").unwrap_or(0);
        let wait = number(request, "wait").unwrap_or(DEFAULT_WAIT);
        self.watchers
            .answer(&self.hub, after, Duration::from_secs(wait))
    }

    fn get(&self, key: &ResourceKey) -> Response {
        match self.state().entries.get(key) {
            Some(entry) => reply::ok(entry),
            None => not_found(key),
        }
    }

    fn put(&self, request: &Request, key: ResourceKey) -> Response {
        let text = match read_body(request) {
            Ok(text) => text,
            Err(response) => return response,
        };
        let state = self.state();
        let resource = match check_object(&state, &key, &text) {
            Ok(resource) => resource,
            Err(found) => return reply::findings(&found),
        };
        let base = number(request, "base").unwrap_or_else(|| state.version_of(&key));
        let change = Change {
            key,
            base,
            resource: Some(resource),
        };
        reply::written(write(&self.log_client, &self.hub, change))
    }

    fn delete(&self, request: &Request, key: ResourceKey) -> Response {
        let state = self.state();
        let present = state.version_of(&key);
        if present == 0 {
            return not_found(&key);
        }
        let base = number(request, "base").unwrap_or(present);
        let change = Change {
            key,
            base,
            resource: None,
        };
        reply::written(write(&self.log_client, &self.hub, change))
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

/// Checks one resource by itself and against what is in force.
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

fn number(request: &Request, name: &str) -> Option<u64> {
    request.get_param(name)?.parse().ok()
}

fn read_body(request: &Request) -> Result<String, Response> {
    let mut text = String::new();
    let Some(data) = request.data() else {
        return Err(reply::error(400, "no-body", "a body is needed"));
    };
    match data.take(MAX_BODY_BYTES).read_to_string(&mut text) {
        Ok(n) if (n as u64) < MAX_BODY_BYTES => Ok(text),
        Ok(_) => Err(reply::error(413, "body-too-large", "at most 4 MiB")),
        Err(_) => Err(reply::error(
            400,
            "body-broken",
            "the body is not UTF-8 or ended early",
        )),
    }
}
