//! Metrics of the memory that bodies of requests take.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

/// Bytes of bodies, bodies that wait unread, and bodies that were refused.
#[derive(Debug, Clone, Default)]
pub struct BodyMetrics {
    bytes: Gauge,
    waiting: Gauge,
    refused: Family<ByCause, Counter>,
}

impl BodyMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "body_bytes_held",
            "Bytes reserved for requests whose bodies are being read, and of those held or running",
            self.bytes.clone(),
        );
        registry.register(
            "bodies_waiting",
            "Bodies of requests that wait unread for room",
            self.waiting.clone(),
        );
        registry.register(
            "bodies_refused",
            "Bodies of requests that were not read, or not read on, for lack of room",
            self.refused.clone(),
        );
    }

    /// Sets the bytes that are taken now, and the number of bodies that wait.
    pub fn set(&self, bytes: usize, waiting: usize) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Counts a body that was refused.
    pub fn count_refused(&self, cause: &'static str) {
        self.refused.get_or_create(&ByCause { cause }).inc();
    }
}
