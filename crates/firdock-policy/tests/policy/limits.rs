//! Account limits across all instances, from what each admits and what its peers report.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Account, Catalog, Resource};
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{
    AccountUse, HandOverEvent, HandOverRefusal, Member, MemberView, PeerUpdate, PeerUse, UseCounts,
    UseTotals,
};
use firdock_policy::request::Phase;
use firdock_policy::usage::UseAggregator;
use firdock_policy::{Action, Event, NewRequest, Verdict, limit_usage};
use uuid::Uuid;

use crate::edge::{EdgeScheduler, REFUSED, edge_settings, request, resources, verdict};
use crate::fixtures::{LOG_START, dispatched, id, millis, with_key};

#[test]
fn an_account_is_limited_by_tokens_over_time() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let mut served = 0;
    for n in 0..400 {
        edge.now += millis(25);
        edge.step(Event::ConfigConfirmed(edge.now));
        let actions = edge.arrive(request(n, "safe", "limited"));
        match verdict(&actions) {
            None => {
                served += 1;
                edge.end(n);
            }
            refused => assert_eq!(refused, Some((Outcome::NotRun, Reason::RateLimited))),
        }
    }
    // 10 s at 100 tokens a second, 100 tokens each, from an empty bucket.
    assert!((10..=11).contains(&served), "{served}");
}

/// Counts how many requests of two units each are admitted at one moment.
fn count_admitted_at_once(edge: &mut EdgeScheduler) -> usize {
    let small = |n| NewRequest {
        prompt_tokens: 1,
        output_tokens: 1,
        ..request(n, "safe", "limited")
    };
    let passed = |n| verdict(&edge.arrive(small(n))).is_none();
    (0..20).map(passed).filter(|passed| *passed).count()
}

#[test]
fn instances_that_start_together_admit_a_first_burst() {
    // 0.4 s of 100 units a second among five instances are 8 units each, and one request more.
    let mut edge = EdgeScheduler::unaware(edge_settings("a"), resources());
    edge.step(Event::PeersKnown(4));
    assert_eq!(count_admitted_at_once(&mut edge), 5);
    // The allowance is given once, and only where the number of instances that share it is known.
    edge.step(Event::PeersKnown(3));
    assert_eq!(count_admitted_at_once(&mut edge), 0);
    let mut unaware = EdgeScheduler::unaware(edge_settings("a"), resources());
    assert_eq!(count_admitted_at_once(&mut unaware), 1);
}

/// Use of the account `limited`, with everything admitted that was asked for.
fn limited(units: f64) -> Vec<AccountUse> {
    vec![AccountUse {
        account: "limited".to_owned(),
        units,
        asked: units,
        before: UseTotals::default(),
    }]
}

/// Sends `count` requests, one every `pause`, and counts those admitted; the instance receives `reports`
/// before each.
fn count_admitted(edge: &mut EdgeScheduler, count: u64, pause: Duration, reports: &[Event]) -> u32 {
    let mut served = 0;
    for n in 0..count {
        edge.now += pause;
        edge.step(Event::ConfigConfirmed(edge.now));
        for event in reports {
            edge.step(event.clone());
        }
        if verdict(&edge.arrive(request(n, "safe", "limited"))).is_none() {
            served += 1;
            edge.end(n);
        }
    }
    served
}

fn peer(used: f64, incarnation: u128) -> Event {
    Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        incarnation: Uuid::from_u128(incarnation),
        used: limited(used),
        ..PeerUpdate::default()
    })
}

#[test]
fn what_peers_admitted_counts_against_the_limit() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    // What it used before its first report may not be recent, and doesn't count.
    edge.step(peer(5_000.0, 1));
    edge.now += millis(1_000);
    edge.step(peer(5_000.0, 1));
    edge.step(Event::ConfigConfirmed(edge.now));
    assert_eq!(verdict(&edge.arrive(request(1, "safe", "limited"))), None);
    edge.now += millis(1_000);
    edge.step(peer(5_300.0, 1));
    edge.step(Event::ConfigConfirmed(edge.now));
    let refused = verdict(&edge.arrive(request(2, "safe", "limited")));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::RateLimited)));
}

/// A lead's counts of what all instances admitted.
fn lead_report(count: f64, beginning: u128) -> Event {
    Event::SiteUseReported(UseCounts {
        lead: "lead".to_owned(),
        began: Uuid::from_u128(beginning),
        fresh: false,
        counts: limited(count),
    })
}

/// Finding 8: among many instances, each received reports of most others only every second or two, and an
/// account that began to send many times its limit exceeded it meanwhile.
#[test]
fn among_many_instances_the_use_of_others_counts_as_leads_report_it() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::PeersKnown(39));
    edge.step(Event::Reach(40));
    let arrive = |edge: &mut EdgeScheduler, n: u64, pause: u64| {
        edge.now += millis(pause);
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.step(Event::Reach(40));
        verdict(&edge.arrive(request(n, "safe", "limited")))
    };
    // What was counted before the first report may not be recent.
    edge.step(lead_report(5_000.0, 1));
    assert_eq!(arrive(&mut edge, 1, 1_000), None);
    // The next counts include this instance's own use, which doesn't count twice; that of others counts.
    edge.step(lead_report(5_100.0, 1));
    assert_eq!(arrive(&mut edge, 2, 1_100), None);
    edge.step(lead_report(5_500.0, 1));
    let refused = Some((Outcome::NotRun, Reason::RateLimited));
    assert_eq!(arrive(&mut edge, 3, 1_100), refused);
    // A repeated or late report doesn't count twice: 300 units are refilled in 3 s.
    edge.step(lead_report(5_500.0, 1));
    edge.step(lead_report(5_300.0, 1));
    assert_eq!(arrive(&mut edge, 4, 3_000), None);
    // A peer's own report of its use doesn't count in addition.
    edge.step(peer(5_000.0, 1));
    edge.step(peer(9_000.0, 1));
    assert_eq!(arrive(&mut edge, 5, 1_100), None);
    // When a lead starts its counts again, the first report doesn't count, and the next one does.
    edge.step(lead_report(50_000.0, 2));
    assert_eq!(arrive(&mut edge, 6, 1_100), None);
    edge.step(lead_report(51_000.0, 2));
    assert_eq!(arrive(&mut edge, 7, 1_100), refused);
}

#[test]
fn a_restarted_peers_totals_start_from_zero() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(peer(5_000.0, 1));
    edge.now += millis(1_000);
    edge.step(Event::ConfigConfirmed(edge.now));
    edge.step(peer(300.0, 2));
    let refused = verdict(&edge.arrive(request(1, "safe", "limited")));
    assert_eq!(refused, Some((Outcome::NotRun, Reason::RateLimited)));
}

#[test]
fn an_instance_without_reports_uses_only_its_even_part() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::PeersKnown(4));
    let served = count_admitted(&mut edge, 400, millis(50), &[]);
    // 20 s at a fifth of 100 tokens a second, 100 tokens each.
    assert!((4..=5).contains(&served), "{served}");
}

/// Finding 11: among many instances, those that were disconnected used the whole limit for the seconds until
/// they missed the others, while the others used it too.
#[test]
fn among_many_instances_one_without_a_lead_uses_its_even_part_at_once() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::PeersKnown(99));
    for n in 0..99 {
        edge.step(Event::Peer(PeerUpdate {
            name: format!("peer-{n}"),
            ..PeerUpdate::default()
        }));
    }
    edge.step(Event::Reach(100));
    let served = count_admitted(&mut edge, 250, millis(20), &[]);
    // Heartbeats go missing after five of 250 ms; from then on a hundredth of 100 tokens a second,
    // 100 tokens each.
    assert!((1..=2).contains(&served), "{served}");
}

#[test]
fn among_many_instances_the_parts_of_unreachable_ones_stay_unused() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::PeersKnown(39));
    let served = count_admitted(&mut edge, 400, millis(25), &[Event::Reach(20)]);
    // 10 s at a half of 100 tokens a second, 100 tokens each.
    assert!((5..=6).contains(&served), "{served}");
}

/// A peer that had long been running and reported an account for the first time once took all that it had
/// ever admitted for it out of a new instance's bucket.
#[test]
fn use_before_an_older_peers_first_report_of_an_account_is_not_recent() {
    let start = |secs: u64| Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, secs, 0));
    let reports = |incarnation: Uuid, used: f64| PeerUpdate {
        name: "b".to_owned(),
        incarnation,
        used: limited(used),
        ..PeerUpdate::default()
    };
    for (secs, passes) in [(1_000, true), (2_000, false)] {
        let mut settings = edge_settings("a");
        settings.member.incarnation = start(2_000);
        let mut edge = EdgeScheduler::new(settings, resources());
        let peer = start(secs);
        let first = PeerUpdate {
            used: Vec::new(),
            ..reports(peer, 0.0)
        };
        edge.step(Event::Peer(first));
        edge.now += millis(1_000);
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.step(Event::Peer(reports(peer, 900_000.0)));
        let new = verdict(&edge.arrive(request(1, "safe", "limited")));
        assert_eq!(new.is_none(), passes, "began at {secs} s");
    }
}

#[test]
fn an_instance_reports_its_use_before_callers_returned() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let mut reports = Vec::new();
    for (n, pause) in [1_000, 1_000, 4_900, 5_100].into_iter().enumerate() {
        edge.now += millis(pause);
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.arrive(request(n as u64, "safe", "limited"));
        let used = limit_usage(edge.scheduler.tables(), edge.now);
        reports.push((used[0].units, used[0].before.units));
    }
    let expected = [(100.0, 0.0), (200.0, 0.0), (300.0, 0.0), (400.0, 300.0)];
    assert_eq!(reports, expected);
}

/// Simulates many instances with far more demand than the limit, in rounds of 20 ms; each receives the lead's
/// counts of what the others admitted `lag` rounds late. Returns the units admitted in each second.
fn units_admitted_by_second(instances: usize, secs: u64, lag: usize) -> Vec<f64> {
    let mut edges: Vec<EdgeScheduler> = (0..instances)
        .map(|n| {
            let mut edge = EdgeScheduler::new(edge_settings(&format!("node-{n}")), resources());
            edge.step(Event::PeersKnown(instances - 1));
            edge
        })
        .collect();
    let mut lead = UseAggregator::default();
    lead.start(|| Uuid::from_u128(1));
    let mut reports: Vec<Event> = Vec::new();
    let mut passed = vec![0.0; secs as usize];
    for round in 0..secs * 50 {
        for (n, edge) in edges.iter_mut().enumerate() {
            edge.now += millis(20);
            edge.step(Event::ConfigConfirmed(edge.now));
            edge.step(Event::Reach(instances));
            if (round + n as u64).is_multiple_of(5) {
                let at = round * 1_000 + n as u64;
                let new = NewRequest {
                    prompt_tokens: 4,
                    output_tokens: 0,
                    ..request(at, "safe", "limited")
                };
                if verdict(&edge.arrive(new)).is_none() {
                    passed[(round / 50) as usize] += 4.0;
                    edge.end(at);
                }
            }
        }
        for edge in &edges {
            lead.add_member_report(edge.now, &own_use(edge));
        }
        reports.extend(lead.report_for_group("lead").map(Event::SiteUseReported));
        if let Some(report) = reports
            .len()
            .checked_sub(lag + 1)
            .map(|at| reports[at].clone())
        {
            for edge in &mut edges {
                edge.step(report.clone());
            }
        }
    }
    passed
}

fn own_use(edge: &EdgeScheduler) -> PeerUse {
    let t = edge.scheduler.tables();
    PeerUse {
        name: t.settings.member.name.clone(),
        incarnation: t.settings.member.incarnation,
        used: limit_usage(t, edge.now),
    }
}

/// Finding 11: with reports 0.6 s old, twenty instances admitted everything whenever the common bucket was
/// not overdrawn, and nothing for seconds after.
#[test]
fn instances_with_late_reports_do_not_oscillate_around_a_limit() {
    // 20 instances ask for 10 requests of 4 tokens a second each, eight times the limit.
    let passed = units_admitted_by_second(20, 16, 30);
    let late = &passed[8..];
    let max_late = late.iter().copied().fold(0.0, f64::max);
    let mean = late.iter().sum::<f64>() / late.len() as f64;
    assert!(max_late <= 200.0, "in one second: {passed:?}");
    assert!((70.0..=110.0).contains(&mean), "{passed:?}");
}

/// Finding 7: when all instances had restarted, each used the whole limit until it received reports of the
/// others.
#[test]
fn an_instance_that_knows_no_peers_yet_uses_a_small_part_of_a_limit() {
    let mut edge = EdgeScheduler::unaware(edge_settings("a"), resources());
    let served = count_admitted(&mut edge, 400, millis(50), &[]);
    // 20 s at 0.15 of 100 tokens a second, 100 tokens each; alone and aware, it would be 20.
    assert!((3..=4).contains(&served), "{served}");
}

#[test]
fn a_request_that_did_not_run_is_refunded_to_its_accounts_limit() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.now += millis(1_000);
    edge.step(Event::ConfigConfirmed(edge.now));
    for n in 1..=3 {
        assert_eq!(verdict(&edge.arrive(request(n, "once", "limited"))), None);
        let first = edge.update_dispatch(n, 1, REFUSED);
        assert_eq!(dispatched(&first).len(), 1);
        let last = edge.update_dispatch(n, 2, REFUSED);
        assert!(verdict(&last).is_some_and(|v| v.0 == Outcome::NotRun));
    }
}

#[test]
fn a_request_handed_over_to_its_keys_owner_is_neither_charged_nor_refunded() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::View(MemberView {
        since: LOG_START,
        number: 1,
        first: true,
        members: vec![Member {
            name: "b".to_owned(),
            incarnation: Uuid::from_u128(9),
        }],
    }));
    let new = with_key(request(1, "once", "limited"), 7, None);
    let actions = edge.arrive(new);
    assert!(matches!(actions[0], Action::HandOver { .. }), "{actions:?}");
    let refusal = HandOverRefusal {
        id: id(1),
        verdict: Some(Verdict {
            outcome: Outcome::NotRun,
            reason: Reason::Overload,
            retry_after: None,
        }),
        tried: Vec::new(),
    };
    edge.step(Event::HandOver(HandOverEvent::Refused(refusal)));
    let accounts = &edge.scheduler.tables().accounts;
    let row = accounts.get(accounts.find("limited").expect("the account"));
    let used = row.bucket.expect("its bucket").used;
    assert!(used.abs() < f64::EPSILON, "{used}");
}

/// Guards against an account that waits for all others, since it got the row of one that left and had used up its small share.
#[test]
fn an_account_does_not_take_over_the_use_of_one_that_left() {
    let account = |name: &str, share: f64| {
        Resource::Account(Account {
            name: name.to_owned(),
            share,
            ..Account::default()
        })
    };
    let catalog = |version: u64, accounts: Vec<Resource>| {
        let mut all = resources();
        all.retain(|r| !matches!(r, Resource::Account(_)));
        all.extend(accounts);
        Event::Config(Arc::new(Catalog::new(version).with_resources(all)))
    };
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(catalog(
        2,
        vec![account("small", 0.01), account("free", 1.0)],
    ));
    let mut sent = 0;
    while edge.scheduler.tables().requests.held() < 8 {
        sent += 1;
        edge.arrive(request(sent, "safe", "free"));
    }
    let small = sent + 1;
    let mut running = 1..=sent;
    edge.arrive(request(small, "safe", "small"));
    let is_held = |edge: &EdgeScheduler, n: u64| {
        let row = edge.scheduler.tables().requests.get(id(n));
        row.is_some_and(|row| row.phase == Phase::Held)
    };
    while is_held(&edge, small) {
        edge.end(running.next().expect("a request that runs"));
    }
    edge.end(small);
    edge.step(catalog(3, vec![account("free", 1.0)]));
    edge.step(catalog(4, vec![account("free", 1.0), account("late", 1.0)]));
    let late = small + 1;
    edge.arrive(request(late, "safe", "late"));
    assert!(is_held(&edge, late));
    let t = edge.scheduler.tables();
    let service = t.services.find("safe").expect("a service");
    let mut heads = t.services.get(service).queue.heads();
    assert_eq!(heads.next().map(|(_, id)| id), Some(id(late)));
}
