//! Metrics of answers that are buffered for slow callers, and of the kernel's buffers for long transfers.

use std::fmt;
use std::sync::{Arc, OnceLock};

use firdock_policy::transfer::BufferPool;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCause {
    cause: &'static str,
}

/// Bytes that are taken of the pool of larger socket buffers, which knows them at any time.
#[derive(Debug, Clone, Default)]
struct TakenBuffers(Arc<OnceLock<BufferPool>>);

impl Collector for TakenBuffers {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let bytes = self.0.get().map_or(0, BufferPool::taken);
        let gauge = ConstGauge::new(i64::try_from(bytes).unwrap_or(i64::MAX));
        let encoder = encoder.encode_descriptor(
            "caller_buffer_bytes",
            "Bytes of the kernel's memory that long transfers of callers may take now.",
            None,
            gauge.metric_type(),
        )?;
        gauge.encode(encoder)
    }
}

/// Buffered bytes, bytes taken for larger socket buffers, and answers that were cut.
#[derive(Debug, Clone, Default)]
pub struct AnswerMetrics {
    bytes: Gauge,
    buffers: TakenBuffers,
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
        registry.register_collector(Box::new(self.buffers.clone()));
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

    /// Sets the pool of larger socket buffers, which an instance has one of.
    pub fn set_pool(&self, pool: BufferPool) {
        self.buffers.0.get_or_init(|| pool);
    }

    /// Counts an answer that was cut.
    pub fn count_cut(&self, cause: &'static str) {
        self.cut.get_or_create(&ByCause { cause }).inc();
    }
}
