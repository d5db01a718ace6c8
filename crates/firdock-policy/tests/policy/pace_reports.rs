//! Endpoints that report their current pace. The figures are those of 60 engines of which a third take four
//! times as long as the others, and 15 in 100 take 2.5 times their own time for half a second at a time.

use firdock_core::resource::{Endpoint, EndpointKind, PoolWeight, Resource, Service};
use firdock_policy::event::DispatchUpdate;
use firdock_policy::load::{Pace, PaceReport};
use firdock_policy::table::pool_latency::PoolLatency;
use firdock_policy::table::reported_pace::ReportedPace;
use firdock_policy::{Event, NewRequest, Time};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};

/// Seconds to the first token on an engine of pace 1.
fn usual_first_token_secs(tokens: f64) -> f64 {
    0.04 + tokens / 56_000.0
}

fn pace(hundredths: u32) -> Pace {
    Pace::from_hundredths(hundredths).expect("a pace within its bounds")
}

fn report_pace(edge: &mut EdgeScheduler, endpoint: &str, hundredths: u32) {
    let read = edge.now;
    edge.step(Event::PaceReported(PaceReport {
        endpoint: endpoint.to_owned(),
        pace: pace(hundredths),
        read,
    }));
}

/// A coordinator of a fast engine `e1` and a slow one `e2`. The service `safe` streams events of seven
/// tokens and has a gap target of 300 ms, as that of the users' listeners.
fn fast_and_slow_engines() -> EdgeScheduler {
    fast_and_slow_engines_with_slots(2)
}

fn fast_and_slow_engines_with_slots(slots: u32) -> EdgeScheduler {
    let mut all = resources();
    for resource in &mut all {
        match resource {
            Resource::Service(s) if s.name == "safe" => {
                s.streamed = true;
                s.gap_millis = 300;
                s.timeout_millis = 15_000;
            }
            Resource::Endpoint(e) => {
                e.event_tokens = 7;
                e.slots = slots;
            }
            _ => {}
        }
    }
    let tags = Service {
        name: "tags".to_owned(),
        tier: "tier".to_owned(),
        matches: "/tags".to_owned(),
        repeatable: true,
        streamed: true,
        gap_millis: 300,
        split: vec![PoolWeight {
            pool: "pool".to_owned(),
            weight: 1,
        }],
        ..Service::default()
    };
    all.push(Resource::Service(tags));
    let mut edge = EdgeScheduler::new(edge_settings("a").with_coordination(), all);
    report_pace(&mut edge, "e1", 68);
    report_pace(&mut edge, "e2", 300);
    edge
}

/// Lets the pool learn its latencies from answers of both engines, each as long as its pace says.
fn learn_latencies(edge: &mut EdgeScheduler, answers: u64) {
    for n in 0..answers {
        let tokens = 300 + 1_700 * (n % 5) as u32;
        let mut new = request_with_tokens(1_000 + n, "safe", tokens, 385);
        new.deadline = None;
        let placed = dispatched(&edge.arrive(new));
        let Some((_, at)) = placed.first() else {
            panic!("no engine is free");
        };
        let slow = if at == "e1" { 0.68 } else { 3.0 };
        report_pace(edge, &at.clone(), (100.0 * slow) as u32);
        edge.now += Time::from_secs_f64(0.04 + slow * f64::from(tokens) / 56_000.0);
        edge.update_dispatch(1_000 + n, 1, TOKENS);
        edge.now += Time::from_secs_f64(slow * 384.0 * 0.008);
        edge.update_dispatch(1_000 + n, 1, ended(tokens, 385));
        edge.step(Event::ConfigConfirmed(edge.now));
    }
}

const TOKENS: DispatchUpdate = DispatchUpdate::Tokens {
    delivered: 7,
    cached: 0,
};

fn ended(prompt: u32, output: u32) -> DispatchUpdate {
    DispatchUpdate::Ended {
        prompt,
        cached: 0,
        output,
    }
}

fn request_with_tokens(n: u64, service: &str, prompt: u32, output: u32) -> NewRequest {
    NewRequest {
        prompt_tokens: prompt,
        output_tokens: output,
        ..request(n, service, "free")
    }
}

fn place(edge: &mut EdgeScheduler, new: NewRequest) -> Option<String> {
    let placed = dispatched(&edge.arrive(new));
    placed.into_iter().next().map(|(_, at)| at)
}

#[test]
fn values_out_of_range_are_no_pace() {
    for hundredths in [0, 9, 5_001, u32::MAX] {
        assert!(Pace::from_hundredths(hundredths).is_none(), "{hundredths}");
    }
    let read: Option<Pace> = serde_json::from_str("0").ok();
    assert_eq!(read, None);
}

#[test]
fn an_older_report_that_arrives_late_is_ignored() {
    let mut seen = ReportedPace::default();
    seen.update(pace(68), millis(1_000));
    seen.update(pace(300), millis(900));
    assert_eq!(seen.latest().map(|(_, at)| at), Some(millis(1_000)));
    assert!(seen.baseline().is_some_and(|own| own < 0.7));
}

/// The pace changes each half second, while answers take seconds: the latest report predicts the time of a
/// prompt well and that of an answer hardly at all.
#[test]
fn a_slow_phase_counts_for_short_work_and_fades() {
    let (mut seen, mut pool) = (ReportedPace::default(), PoolLatency::default());
    for n in 0..2_000_u64 {
        let at = millis(1_000 + 100 * n);
        let slow = (n / 5) % 7 == 0;
        let figure = pace(if slow { 250 } else { 100 });
        let before = seen.update(figure, at);
        let own = seen.baseline().expect("a pace was reported");
        pool.learn_pace(figure, at, own, before);
    }
    let now = millis(1_000 + 100 * 1_999 + 50);
    seen.update(pace(250), now);
    let over = |secs: f64, later: u64| {
        seen.mean_over(now + millis(later), secs, &pool)
            .expect("a pace was reported")
    };
    assert!(over(0.05, 0) > 2.2, "{}", over(0.05, 0));
    let mean_factor = pool.slow_phases.mean_factor();
    assert!((1.1..1.4).contains(&mean_factor), "{mean_factor}");
    assert!(over(8.0, 0) < mean_factor + 0.2, "{}", over(8.0, 0));
    assert!(
        over(0.05, 2_000) < mean_factor + 0.1,
        "{}",
        over(0.05, 2_000)
    );
}

/// All engines of a pool share one linear fit, which neither slow engines nor slow phases distort.
#[test]
fn slow_phases_are_not_learned_as_an_engines_speed() {
    let mut pool = PoolLatency::default();
    for n in 0..600_u32 {
        let tokens = f64::from(200 + 97 * (n % 70));
        let pace = [0.68, 0.68, 3.0, 1.7, 7.5][n as usize % 5];
        let secs = 0.04 + pace * (tokens / 56_000.0);
        pool.learn_first(tokens, pace, Time::from_secs_f64(secs));
    }
    for (tokens, pace) in [(6_600.0, 0.68), (6_600.0, 3.0), (40_000.0, 1.0)] {
        let expected = 0.04 + pace * (usual_first_token_secs(tokens) - 0.04);
        let got = pool.first_token_secs(tokens, pace);
        assert!((got / expected - 1.0).abs() < 0.2, "{got} for {expected}");
    }
}

/// 47,000 prompt tokens take 2.5 s on a slow engine, and the caller leaves after 3.2 s.
#[test]
fn a_long_prompt_goes_to_a_fast_engine_and_never_to_one_without_a_report() {
    let mut edge = fast_and_slow_engines();
    learn_latencies(&mut edge, 30);
    assert_eq!(
        place(&mut edge, request_with_tokens(1, "safe", 47_000, 385)),
        Some("e1".to_owned())
    );
    // An engine that has reported no pace yet may be a slow one.
    let mut all = resources();
    all.push(Resource::Endpoint(Endpoint {
        name: "e0".to_owned(),
        pool: "pool".to_owned(),
        slots: 2,
        ..Endpoint::default()
    }));
    let mut edge = EdgeScheduler::new(edge_settings("a").with_coordination(), all);
    report_pace(&mut edge, "e1", 68);
    report_pace(&mut edge, "e2", 300);
    assert_eq!(
        place(&mut edge, request_with_tokens(1, "safe", 47_000, 10)),
        Some("e1".to_owned())
    );
    // A short prompt shows which it is.
    assert_ne!(
        place(&mut edge, request_with_tokens(2, "safe", 90, 10)),
        Some("e1".to_owned())
    );
}

/// An answer of 385 tokens streams for 7 s on a slow engine, where one slow phase causes a gap of over
/// 300 ms; an answer of 21 tokens ends before that.
#[test]
fn long_answers_go_to_fast_engines_and_short_ones_to_slow_engines() {
    let mut edge = fast_and_slow_engines_with_slots(9);
    learn_latencies(&mut edge, 30);
    add_slow_phases(&mut edge);
    for n in 1..=8 {
        let at = place(&mut edge, request_with_tokens(n, "safe", 1_800, 385));
        assert_eq!(at, Some("e1".to_owned()));
        edge.update_dispatch(n, 1, TOKENS);
    }
    let at = place(&mut edge, request_with_tokens(9, "tags", 1_800, 21));
    assert_eq!(at, Some("e2".to_owned()));
}

/// Gives the slow engine slow phases, at the rate that is usual for endpoints on shared hardware.
fn add_slow_phases(edge: &mut EdgeScheduler) {
    for n in 0..600 {
        edge.now += millis(100);
        let slow = (n / 5) % 7 == 0;
        report_pace(edge, "e2", if slow { 750 } else { 300 });
    }
    edge.now += millis(1);
    report_pace(edge, "e1", 68);
    report_pace(edge, "e2", 300);
    edge.step(Event::ConfigConfirmed(edge.now));
}

#[test]
fn an_answer_waits_for_an_engine_that_fits_and_others_overtake_it() {
    let mut edge = fast_and_slow_engines();
    learn_latencies(&mut edge, 30);
    add_slow_phases(&mut edge);
    for n in 1..=2 {
        assert_eq!(
            place(&mut edge, request_with_tokens(n, "safe", 1_800, 385)),
            Some("e1".to_owned())
        );
    }
    assert_eq!(
        place(&mut edge, request_with_tokens(3, "safe", 1_800, 385)),
        None
    );
    assert_eq!(
        place(&mut edge, request_with_tokens(4, "tags", 1_800, 21)),
        Some("e2".to_owned())
    );
    // It takes the slot that fits as soon as that is free.
    edge.update_dispatch(1, 1, TOKENS);
    let placed = dispatched(&edge.update_dispatch(1, 1, ended(1_800, 385)));
    assert_eq!(placed, vec![(id(3), "e1".to_owned())]);
}

#[test]
fn an_answer_that_waited_for_part_of_its_target_takes_any_free_slot() {
    let mut edge = fast_and_slow_engines();
    learn_latencies(&mut edge, 30);
    add_slow_phases(&mut edge);
    for n in 1..=3 {
        place(&mut edge, request_with_tokens(n, "safe", 1_800, 385));
    }
    assert!(dispatched(&edge.advance(millis(280))).is_empty());
    let placed = dispatched(&edge.advance(millis(30)));
    assert_eq!(placed, vec![(id(3), "e2".to_owned())]);
}

/// Lets the slow engine report a pace of 0.1 until its reports are no longer trusted.
fn with_false_paces() -> EdgeScheduler {
    let mut edge = fast_and_slow_engines();
    learn_latencies(&mut edge, 150);
    report_pace(&mut edge, "e2", 10);
    for n in 0..40_u64 {
        let new = request_with_tokens(n, "safe", 4_000, 385);
        let Some(at) = place(&mut edge, new) else {
            panic!("no engine is free");
        };
        let slow = if at == "e1" { 0.68 } else { 3.0 };
        report_pace(&mut edge, &at, if at == "e1" { 68 } else { 10 });
        edge.now += Time::from_secs_f64(0.04 + slow * 4_000.0 / 56_000.0);
        edge.update_dispatch(n, 1, TOKENS);
        edge.now += Time::from_secs_f64(slow * 384.0 * 0.008);
        edge.update_dispatch(n, 1, ended(4_000, 385));
        edge.step(Event::ConfigConfirmed(edge.now));
    }
    edge
}

/// An endpoint that reports far too low a pace would otherwise attract all long prompts.
#[test]
fn an_endpoint_with_false_pace_reports_is_predicted_from_its_answers() {
    let mut edge = with_false_paces();
    assert_eq!(
        place(&mut edge, request_with_tokens(900, "safe", 47_000, 385)),
        Some("e1".to_owned())
    );
}

/// An engine whose reports are not trusted is predicted from its own answers, which doesn't tell whether an
/// answer keeps its gap target there; so no request waits for such an engine.
#[test]
fn no_request_waits_for_a_full_engine_with_false_pace_reports() {
    let mut edge = with_false_paces();
    for n in 901..=904 {
        let new = request_with_tokens(n, "safe", 1_800, 385);
        assert!(!dispatched(&edge.arrive(new)).is_empty());
        edge.update_dispatch(n, 1, TOKENS);
    }
    assert_eq!(
        place(&mut edge, request_with_tokens(905, "safe", 20_000, 385)),
        None
    );
    // The other engine is slow now, so that a long prompt would be late there.
    report_pace(&mut edge, "e1", 750);
    let t = edge.scheduler.tables();
    let there = |n: &u64| {
        let row = t.requests.get(id(*n));
        row.is_some_and(|r| r.tried.last().is_some_and(|at| at == "e1"))
    };
    let Some(n) = (901..=904).find(there) else {
        panic!("no request runs on e1");
    };
    let placed = dispatched(&edge.update_dispatch(n, 1, ended(1_800, 385)));
    assert_eq!(placed, vec![(id(905), "e1".to_owned())]);
}

/// Without pace reports, no request waits for a better engine and no latencies of pools are learned.
#[test]
fn without_pace_reports_nothing_changes() {
    let mut edge = EdgeScheduler::new(edge_settings("a").with_coordination(), resources());
    for n in 1..=4 {
        assert!(place(&mut edge, request_with_tokens(n, "safe", 1_000, 385)).is_some());
    }
    assert!(edge.scheduler.tables().pool_latencies.get("pool").is_none());
}

/// One instance of many may have a single call at a time on a plain server: a call must not count as load
/// that slows itself down.
#[test]
fn a_plain_call_is_predicted_from_other_calls_at_the_reported_pace() {
    let mut all = resources();
    for resource in &mut all {
        if let Resource::Endpoint(e) = resource {
            e.backend = EndpointKind::Plain;
            e.slots = 1;
        }
    }
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    for n in 1..=60 {
        let new = request(n, "safe", "free");
        let at = place(&mut edge, new).expect("an endpoint is free");
        edge.now += millis(20);
        report_pace(&mut edge, &at, 100);
        edge.end(n);
        edge.step(Event::ConfigConfirmed(edge.now));
    }
    place(&mut edge, request(100, "safe", "free"));
    let row = edge.scheduler.tables().requests.get(id(100));
    let predicted = row.expect("it runs").predicted;
    assert!(
        predicted >= millis(15) && predicted <= millis(25),
        "{predicted:?}"
    );
}
