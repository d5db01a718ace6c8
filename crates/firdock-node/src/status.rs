//! HTTP responses about the instance itself: readiness, metrics and lists for operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::clock::Clock;
use crate::ingress::{IngressPhase, IngressState};
use crate::site::Site;
use crate::telemetry::Metrics;

/// Media type of metrics in the text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Readiness check: whether the instance accepts calls.
#[derive(Debug, Clone)]
pub struct Readiness {
    /// Configuration in force.
    pub site: Arc<Site>,
    /// Phase of the ingress.
    pub ingress: IngressState,
    /// Age of the configuration from which on calls are refused.
    pub limit: Duration,
    /// Clock.
    pub clock: Clock,
}

impl Readiness {
    /// Returns whether calls are accepted now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let age = self.site.age(self.clock.now());
        self.ingress.get() == IngressPhase::Open && age.is_some_and(|age| age < self.limit)
    }

    /// Creates the response for the load balancer.
    #[must_use]
    pub fn answer(&self) -> Response<Full<Bytes>> {
        let ready = self.is_ready();
        let mut response = Response::new(Full::from(if ready { "ready\n" } else { "not ready\n" }));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

/// Path of the list of endpoints, beside the metrics.
const ENDPOINTS_PATH: &str = "/endpoints";
/// Path of the list of requests during which endpoints exited.
const SUSPECTS_PATH: &str = "/suspects";

/// Creates the response for a path of the metrics port: the list of endpoints, the list of requests during
/// which endpoints exited, or the metrics for any other path.
#[must_use]
pub fn metrics_response(metrics: &Metrics, path: &str) -> Response<Full<Bytes>> {
    match path {
        ENDPOINTS_PATH => return list(&metrics.endpoints().get()),
        SUSPECTS_PATH => return list(&*metrics.suspects().get()),
        _ => {}
    }
    let mut response = Response::new(Full::from(metrics.render()));
    let kind = HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn list(states: &impl Serialize) -> Response<Full<Bytes>> {
    let mut response = match serde_json::to_vec(states) {
        Ok(list) => Response::new(Full::from(list)),
        Err(e) => {
            let mut response = Response::new(Full::from(e.to_string()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    };
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
