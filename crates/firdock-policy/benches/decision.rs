//! Time of a decision by table size: endpoints, accounts, held requests.

#![expect(
    missing_docs,
    reason = "the macro of the benchmark library expands to a public function"
)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use firdock_core::resource::{Account, Catalog, Endpoint, Resource, Service, Tier};
use firdock_core::settings::Settings;
use firdock_policy::event::{DispatchUpdate, EndpointEvent};
use firdock_policy::{Event, NewRequest, Origin, Policy as _, PolicySettings, Scheduler};
use uuid::Uuid;

fn catalog(endpoints: usize, accounts: usize, slots: u32) -> Event {
    let tier = Tier {
        name: "tier".to_owned(),
        wait_millis: 3_600_000,
        ..Tier::default()
    };
    let service = Service {
        name: "model".to_owned(),
        matches: "model".to_owned(),
        tier: "tier".to_owned(),
        repeatable: true,
        ..Service::default()
    };
    let mut resources = vec![Resource::Tier(tier), Resource::Service(service)];
    resources.extend((0..accounts).map(|i| {
        let (name, max_held) = (format!("account-{i}"), 1_000_000);
        Resource::Account(Account {
            name,
            max_held,
            ..Account::default()
        })
    }));
    resources.extend((0..endpoints).map(|i| {
        Resource::Endpoint(Endpoint {
            name: format!("endpoint-{i}"),
            services: vec!["model".to_owned()],
            slots,
            ..Endpoint::default()
        })
    }));
    Event::Config(Arc::new(Catalog::new(1).with_resources(resources)))
}

fn scheduler(endpoints: usize, accounts: usize, slots: u32) -> Scheduler {
    let mut settings = PolicySettings::new(&Settings::default(), Uuid::nil());
    settings.max_held = 1_000_000;
    settings.held_bytes = usize::MAX;
    let mut scheduler = Scheduler::new(settings);
    scheduler.step(now(0), catalog(endpoints, accounts, slots), &mut Vec::new());
    scheduler
}

fn now(n: u64) -> Duration {
    Duration::from_secs(10) + Duration::from_micros(n)
}

fn request(n: u64, accounts: usize) -> NewRequest {
    NewRequest {
        id: Uuid::from_u64_pair(0, n),
        service: "model".to_owned(),
        account: format!("account-{}", n as usize % accounts),
        prompt_tokens: 1_000,
        output_tokens: 100,
        blocks: (0..8).map(|b| b + n % 50 * 100).collect(),
        bytes: 1_000,
        key: None,
        origin: Origin::Caller,
        ..NewRequest::default()
    }
}

/// Runs a request from its arrival through dispatch and first token to its end.
fn full_request(s: &mut Scheduler, n: u64, accounts: usize) {
    let mut out = Vec::new();
    let new = request(n, accounts);
    let id = new.id;
    s.step(now(n), Event::Arrived(new), &mut out);
    for update in [
        DispatchUpdate::Started { head_sent: true },
        DispatchUpdate::Tokens {
            delivered: 1,
            cached: 0,
        },
        DispatchUpdate::Ended {
            prompt: 1_000,
            cached: 0,
            output: 100,
        },
    ] {
        let event = EndpointEvent {
            id,
            dispatch: 1,
            update,
        };
        s.step(now(n), Event::Endpoint(event), &mut out);
    }
    black_box(out);
}

fn endpoints(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_endpoints");
    for endpoints in [10, 64, 300, 1_400, 11_000] {
        let mut s = scheduler(endpoints, 10, 4_096);
        let mut n = 0;
        group.bench_with_input(BenchmarkId::from_parameter(endpoints), &(), |b, ()| {
            b.iter(|| {
                n += 1;
                full_request(&mut s, n, 10);
            });
        });
    }
    group.finish();
}

fn accounts(c: &mut Criterion) {
    let mut group = c.benchmark_group("request_by_accounts");
    for accounts in [10, 100, 1_000, 3_900] {
        let mut s = scheduler(64, accounts, 4_096);
        let mut n = 0;
        group.bench_with_input(BenchmarkId::from_parameter(accounts), &(), |b, ()| {
            b.iter(|| {
                n += 1;
                full_request(&mut s, n, accounts);
            });
        });
    }
    group.finish();
}

/// Creates a scheduler with full endpoints that holds requests of many accounts.
fn full_scheduler(held: usize) -> Scheduler {
    let mut s = scheduler(64, 500, 1);
    for n in 0..(held + 64) as u64 {
        s.step(now(n), Event::Arrived(request(n, 500)), &mut Vec::new());
    }
    s
}

fn held(c: &mut Criterion) {
    let mut group = c.benchmark_group("timer_by_held");
    for held in [10, 100, 1_000, 10_000] {
        let mut s = full_scheduler(held);
        group.bench_with_input(BenchmarkId::from_parameter(held), &(), |b, ()| {
            b.iter(|| s.step(now(1_000_000), Event::Timer, &mut Vec::new()));
        });
    }
    group.finish();
}

/// Measures the end of an answer, after which the next held request gets its slot.
fn turnover(c: &mut Criterion) {
    let mut group = c.benchmark_group("turnover_by_held");
    for held in [10, 100, 1_000, 10_000] {
        let mut s = full_scheduler(held);
        let mut n = 1_000_000;
        group.bench_with_input(BenchmarkId::from_parameter(held), &(), |b, ()| {
            b.iter(|| {
                let mut out = Vec::new();
                n += 1;
                s.step(now(n), Event::Arrived(request(n, 500)), &mut out);
                let running = s.tables().requests.iter().find(|r| r.dispatch > 0);
                let id = running.map(|r| r.new.id).unwrap_or_default();
                let update = DispatchUpdate::Ended {
                    prompt: 1_000,
                    cached: 0,
                    output: 100,
                };
                let event = EndpointEvent {
                    id,
                    dispatch: 1,
                    update,
                };
                s.step(now(n), Event::Endpoint(event), &mut out);
                black_box(out);
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = endpoints, accounts, held, turnover
}
criterion_main!(benches);
