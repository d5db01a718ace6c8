//! Metrics of answers that are buffered for slow callers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

/// Buffered bytes, and answers that were cut.
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

    /// Sets the number of bytes that are buffered now.
    pub fn set_bytes(&self, bytes: usize) {
        self.bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts an answer that was cut.
    pub fn count_cut(&self, cause: &'static str) {
        self.cut.get_or_create(&ByCause { cause }).inc();
    }
}
