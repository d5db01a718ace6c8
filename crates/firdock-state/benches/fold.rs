//! Cost of folding a record, encoding a snapshot and building the catalog, by the number of resources.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a public function"
)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use firdock_core::resource::{Endpoint, Resource};
use firdock_state::{Body, Change, LogRecord, Record, State};
use uuid::Uuid;

fn record(state: &State, n: usize) -> LogRecord {
    let endpoint = Endpoint {
        name: format!("endpoint-{n}"),
        ..Endpoint::default()
    };
    let resource = Resource::Endpoint(endpoint);
    let key = resource.key();
    let base = state.version_of(&key);
    let body = Body::Change(Change {
        key,
        base,
        resource: Some(resource),
    });
    let body = serde_json::to_string(&Record {
        id: Uuid::nil(),
        body,
    })
    .unwrap_or_default();
    LogRecord {
        offset: state.next,
        time_millis: 0,
        body,
    }
}

fn filled(resources: usize) -> State {
    let mut state = State::new();
    for n in 0..resources {
        let log = record(&state, n);
        state.fold(log.offset, Duration::ZERO, log.decode().as_ref());
    }
    state
}

fn fold(c: &mut Criterion) {
    let mut group = c.benchmark_group("state");
    for resources in [100, 1_000, 5_400] {
        let mut state = filled(resources);
        group.bench_with_input(
            BenchmarkId::new("decode_and_fold", resources),
            &(),
            |b, ()| {
                b.iter(|| {
                    let log = record(&state, 7);
                    state.fold(log.offset, Duration::ZERO, log.decode().as_ref())
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("clone_and_catalog", resources),
            &(),
            |b, ()| {
                b.iter(|| black_box((state.clone(), state.catalog())));
            },
        );
        let bytes = serde_json::to_vec(&state).unwrap_or_default().len();
        println!("snapshot of {resources} resources: {bytes} bytes");
        group.bench_with_input(
            BenchmarkId::new("encode_snapshot", resources),
            &(),
            |b, ()| {
                b.iter(|| black_box(serde_json::to_vec(&state)));
            },
        );
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = fold
}
criterion_main!(benches);
