//! Metrics of answers that are buffered for slow callers, and of the kernel's buffers for long transfers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

/// Buffered bytes, bytes taken for larger socket buffers, and answers that were cut.
#[derive(Debug, Clone, Default)]
pub struct AnswerMetrics {
    bytes: Gauge,
    buffers: Gauge,
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
            "caller_buffer_bytes",
            "Bytes of the kernel's memory that long transfers of callers may take now",
            self.buffers.clone(),
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

    /// Sets the bytes that larger socket buffers may take now.
    pub fn set_buffers(&self, bytes: usize) {
        self.buffers.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts an answer that was cut.
    pub fn count_cut(&self, cause: &'static str) {
        self.cut.get_or_create(&ByCause { cause }).inc();
    }
}
