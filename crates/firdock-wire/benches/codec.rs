//! Cost and size of the messages between instances.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a public function"
)]

use std::hint::black_box;
use std::time::Duration;

use bytes::BytesMut;
use criterion::{Criterion, criterion_group, criterion_main};
use firdock_wire::message::{HandOver, Heartbeat, PoolDemand};
use firdock_wire::{Body, FrameCodec};
use tokio_util::codec::{Decoder as _, Encoder as _};

fn heartbeat(services: usize) -> Body {
    let demand = (0..services).map(|i| PoolDemand {
        pool: format!("service-{i}"),
        rate: 1.5,
    });
    Body::Heartbeat(Heartbeat {
        zone: "zone-a".to_owned(),
        held: vec![3; 16],
        demand: demand.collect(),
        version: 123_456,
        log_next: 123_456,
        ..Heartbeat::default()
    })
}

fn round_trip(codec: &mut FrameCodec, body: &Body) -> usize {
    let mut bytes = BytesMut::new();
    if codec.encode(body.clone(), &mut bytes).is_err() {
        return 0;
    }
    let size = bytes.len();
    let _ = black_box(codec.decode(&mut bytes));
    size
}

fn messages(c: &mut Criterion) {
    let mut codec = FrameCodec::new(16 << 20);
    let large = Body::HandOver(HandOver {
        body: vec![7; 100 << 10],
        ..HandOver::default()
    });
    for (name, body) in [
        ("heartbeat_11_services", heartbeat(11)),
        ("hand_over_100_kib", large),
    ] {
        println!("{name}: {} bytes", round_trip(&mut codec, &body));
        c.bench_function(name, |b| b.iter(|| round_trip(&mut codec, &body)));
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = messages
}
criterion_main!(benches);
