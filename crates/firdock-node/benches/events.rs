//! Splitting of a stream into its events, by the length of the events.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a public function"
)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use firdock_node::endpoint::EventSplitter;

/// Number of events in the stream; each arrives in its own chunk, as engines send them.
const EVENTS: u64 = 100;

fn split(c: &mut Criterion) {
    let mut group = c.benchmark_group("cut a stream of 100 events");
    for length in [40, 400, 4_000] {
        let events: Vec<String> = (1..=EVENTS)
            .map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(length)))
            .collect();
        group.throughput(Throughput::Elements(EVENTS));
        let id = BenchmarkId::from_parameter(length);
        group.bench_with_input(id, &events, |b, events| {
            b.iter(|| {
                let mut cutter = EventSplitter::default();
                for event in events {
                    black_box(cutter.push(event.as_bytes()).expect("short events"));
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, split);
criterion_main!(benches);
