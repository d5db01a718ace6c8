//! Cost of the periodic work that an idle instance does five times a second, by number of endpoints and peers.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library makes a public function"
)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use firdock_core::resource::{Catalog, Endpoint, EndpointKind, Resource, Service, Tier};
use firdock_core::settings::Settings;
use firdock_node::peer::SelfStatus;
use firdock_node::telemetry::{EndpointList, LogLimiter, StateChangeLog, discard_logger};
use firdock_policy::event::{PeerUpdate, PoolDemand};
use firdock_policy::{Event, Mechanisms, Policy as _, PolicySettings, Scheduler};
use uuid::Uuid;

const NOW: Duration = Duration::from_secs(100);

/// Creates the scheduler of an instance at a site with the given numbers of instances and endpoints, in six
/// availability zones. One endpoint in twenty is a plain server.
fn scheduler(instances: usize, endpoints: usize) -> Scheduler {
    let tier = Tier {
        name: "tier".to_owned(),
        ..Tier::default()
    };
    let service = Service {
        name: "model".to_owned(),
        matches: "model".to_owned(),
        tier: "tier".to_owned(),
        ..Service::default()
    };
    let zone = |n: usize| format!("zone-{}", n % 6);
    let endpoint = |n: usize| {
        Resource::Endpoint(Endpoint {
            name: format!("endpoint-{n:04}"),
            backend: if n.is_multiple_of(20) {
                EndpointKind::Plain
            } else {
                EndpointKind::Engine
            },
            zone: zone(n),
            services: vec!["model".to_owned()],
            pool: "pool".to_owned(),
            ..Endpoint::default()
        })
    };
    let mut resources = vec![Resource::Tier(tier), Resource::Service(service)];
    resources.extend((0..endpoints).map(endpoint));
    let settings = PolicySettings::new(&Settings::default(), Uuid::nil());
    let mut s = Scheduler::new(settings.with_mechanisms(Mechanisms::EDGE));
    let mut out = Vec::new();
    s.step(NOW, Event::PeersKnown(instances - 1), &mut out);
    for n in 1..instances {
        let news = PeerUpdate {
            name: format!("front-{n:04}"),
            zone: zone(n),
            demand: vec![PoolDemand {
                pool: "pool".to_owned(),
                rate: 0.7,
            }],
            ..PeerUpdate::default()
        };
        s.step(NOW, Event::Peer(news), &mut out);
    }
    let catalog = Catalog::new(1).with_resources(resources);
    s.step(NOW, Event::Config(Arc::new(catalog)), &mut out);
    s
}

const SIZES: [(usize, usize); 4] = [(100, 1_000), (300, 3_000), (985, 3_000), (2_000, 6_000)];

/// Runs `work` for each size of a site, with a scheduler that has all endpoints and peers.
fn by_size(c: &mut Criterion, name: &str, mut work: impl FnMut(&mut Scheduler, usize)) {
    let mut group = c.benchmark_group(name);
    for (instances, endpoints) in SIZES {
        let mut s = scheduler(instances, endpoints);
        let mut n = 0;
        let id = BenchmarkId::from_parameter(format!("{instances}x{endpoints}"));
        group.bench_with_input(id, &(), |b, ()| {
            b.iter(|| {
                n += 1;
                work(&mut s, n);
            });
        });
    }
    group.finish();
}

fn state_changes(c: &mut Criterion) {
    let mut group = c.benchmark_group("beliefs");
    for (instances, endpoints) in SIZES {
        let s = scheduler(instances, endpoints);
        let limiter = Arc::<LogLimiter>::default();
        let mut changes = StateChangeLog::new(discard_logger(), limiter, EndpointList::default());
        changes.record(NOW, s.tables());
        let id = BenchmarkId::from_parameter(format!("{instances}x{endpoints}"));
        group.bench_with_input(id, &(), |b, ()| b.iter(|| changes.record(NOW, s.tables())));
    }
    group.finish();
}

fn self_status(c: &mut Criterion) {
    by_size(c, "told_news", |s, _| {
        black_box(SelfStatus::new(s.tables(), NOW));
    });
}

/// Budgets at all endpoints, which an instance computes itself while no coordinator responds.
fn budgets(c: &mut Criterion) {
    by_size(c, "budgets", |s, _| {
        s.step(NOW, Event::Coordinated(false), &mut Vec::new());
    });
}

fn invariants(c: &mut Criterion) {
    by_size(c, "invariants", |s, _| s.check_invariants(NOW));
}

fn heartbeat(c: &mut Criterion) {
    by_size(c, "heartbeat", |s, n| {
        let news = PeerUpdate {
            name: "front-0001".to_owned(),
            zone: "zone-1".to_owned(),
            demand: vec![PoolDemand {
                pool: "pool".to_owned(),
                rate: n as f64,
            }],
            ..PeerUpdate::default()
        };
        s.step(NOW, Event::Peer(news), &mut Vec::new());
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500));
    targets = state_changes, self_status, budgets, invariants, heartbeat
}
criterion_main!(benches);
