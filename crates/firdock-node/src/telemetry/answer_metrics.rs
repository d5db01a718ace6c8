//! Metrics of the answers that wait for their callers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

/// Bytes held for callers, and answers cut.
#[derive(Debug, Clone, Default)]
pub struct AnswerMetrics {
    bytes: Gauge,
    cut: Family<ByCause, Counter>,
}

impl AnswerMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "answer_bytes_held",
            "Bytes of answers that wait for their callers",
            self.bytes.clone(),
        );
        registry.register(
            "answers_cut",
            "Answers cut because their callers did not read them",
            self.cut.clone(),
        );
    }

    /// Notes the bytes held now.
    pub fn set_bytes(&self, bytes: usize) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts an answer that was cut.
    pub fn count_cut(&self, cause: &'static str) {
        self.cut.get_or_create(&ByCause { cause }).inc();
    }
}
