//! Aggregated use of account limits: what leads count, and which instances and groups it is reported to.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::event::{AccountUse, PeerUse, UseCounts, UseTotals};
use firdock_policy::usage::{MAX_REPORTED_ACCOUNTS, MergedCounts, UseAggregator};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const START: Time = Duration::from_secs(1_000);

fn used(account: &str, units: f64) -> AccountUse {
    AccountUse {
        account: account.to_owned(),
        units,
        asked: units,
        before: UseTotals::default(),
    }
}

fn peer_use(name: &str, incarnation: u128, units: f64) -> PeerUse {
    PeerUse {
        name: name.to_owned(),
        incarnation: Uuid::from_u128(incarnation),
        used: vec![used("account", units)],
    }
}

/// The report of an instance that has admitted nothing yet.
fn idle_peer(name: &str, incarnation: u128) -> PeerUse {
    PeerUse {
        used: Vec::new(),
        ..peer_use(name, incarnation, 0.0)
    }
}

fn lead() -> UseAggregator {
    let mut aggregator = UseAggregator::default();
    aggregator.start(|| Uuid::from_u128(7));
    aggregator
}

fn units(reported: &[AccountUse]) -> Vec<f64> {
    reported.iter().map(|u| u.units).collect()
}

fn group_units(aggregator: &mut UseAggregator) -> Vec<f64> {
    units(
        &aggregator
            .report_for_group("lead")
            .expect("it counts")
            .counts,
    )
}

fn lead_units(aggregator: &mut UseAggregator) -> Vec<f64> {
    units(
        &aggregator
            .report_for_leads("lead")
            .expect("it counts")
            .counts,
    )
}

/// The counts of a lead that began to count before its first report was received.
fn counts(lead: &str, beginning: u128, count: f64) -> UseCounts {
    UseCounts {
        lead: lead.to_owned(),
        began: Uuid::from_u128(beginning),
        fresh: false,
        counts: vec![used("account", count)],
    }
}

#[test]
fn members_use_is_counted_once_and_reported_to_the_group_and_to_other_leads() {
    let mut aggregator = lead();
    for name in ["a", "b"] {
        aggregator.add_member_report(START, &idle_peer(name, 1));
    }
    aggregator.add_member_report(START, &peer_use("a", 1, 10.0));
    aggregator.add_member_report(START, &peer_use("a", 1, 30.0));
    aggregator.add_member_report(START, &peer_use("b", 1, 5.0));
    aggregator.add_member_report(START, &peer_use("a", 1, 20.0));
    // Each change is reported twice, since one report may be lost.
    for _ in 0..2 {
        assert_eq!(group_units(&mut aggregator), [35.0]);
        assert_eq!(lead_units(&mut aggregator), [35.0]);
    }
    aggregator.add_member_report(START, &peer_use("a", 1, 30.0));
    assert!(
        group_units(&mut aggregator).is_empty(),
        "no count increased"
    );
}

#[test]
fn another_groups_use_is_reported_only_to_the_own_group() {
    let mut aggregator = lead();
    aggregator.add_group_report(START, "far", &counts("lead", 1, 10.0));
    aggregator.add_group_report(START, "far", &counts("lead", 1, 25.0));
    assert_eq!(group_units(&mut aggregator), [15.0]);
    assert!(lead_units(&mut aggregator).is_empty());
}

#[test]
fn instances_replaced_for_hours_leave_no_rows() {
    let mut aggregator = lead();
    for n in 0..2_000_u32 {
        let now = START + Duration::from_secs(10) * n;
        let name = format!("front-{n}");
        aggregator.add_member_report(now, &idle_peer(&name, 1));
        aggregator.add_member_report(now, &peer_use(&name, 1, 1.0));
        aggregator.sweep(now);
        assert_eq!(
            group_units(&mut aggregator),
            [f64::from(n + 1)],
            "{name} is counted"
        );
    }
    assert!(aggregator.rows() <= 14, "{} rows", aggregator.rows());
}

#[test]
fn a_restarted_instances_use_counts_from_zero() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &idle_peer("a", 1));
    aggregator.add_member_report(START, &peer_use("a", 1, 10.0));
    aggregator.add_member_report(START, &peer_use("a", 2, 10.0));
    assert_eq!(lead_units(&mut aggregator), [20.0]);
}

#[test]
fn use_before_an_instances_first_report_is_not_counted() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &peer_use("a", 1, 500.0));
    assert!(lead_units(&mut aggregator).is_empty());
    aggregator.add_member_report(START, &peer_use("a", 1, 503.0));
    assert_eq!(lead_units(&mut aggregator), [3.0]);
}

/// A lead that began to count later than a member once took all that the member had ever admitted for an
/// account as new when the member first reported that account, and every instance was charged for it.
#[test]
fn a_lead_that_begins_to_count_later_does_not_count_old_use() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &peer_use("a", 1, 500.0));
    let again = PeerUse {
        used: vec![AccountUse {
            before: UseTotals {
                units: 50_000.0,
                asked: 60_000.0,
            },
            asked: 60_300.0,
            ..used("another", 50_200.0)
        }],
        ..idle_peer("a", 1)
    };
    aggregator.add_member_report(START, &again);
    let counts = aggregator
        .report_for_leads("lead")
        .expect("it counts")
        .counts;
    let figures: Vec<_> = counts.iter().map(|c| (c.units, c.asked)).collect();
    assert_eq!(figures, [(200.0, 300.0)]);
}

#[test]
fn reports_of_two_leads_count_once_and_continue_when_one_fails() {
    let mut merged = MergedCounts::default();
    let mut take = |lead: &str, beginning: u128, count: f64| {
        let rises = merged.merge(START, &counts(lead, beginning, count));
        units(&rises).iter().sum::<f64>()
    };
    // The second lead began to count later, and lags behind the first.
    assert!(take("first", 1, 100.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 130.0) - 30.0).abs() < f64::EPSILON);
    assert!(take("second", 1, 20.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 150.0) - 20.0).abs() < f64::EPSILON);
    assert!(
        take("second", 1, 40.0).abs() < f64::EPSILON,
        "already reported"
    );
    // The first fails: what the second counts from then on is new.
    assert!((take("second", 1, 45.0) - 5.0).abs() < f64::EPSILON);
    // The first returns and counts from zero.
    assert!(take("first", 2, 3.0).abs() < f64::EPSILON);
    assert!((take("first", 2, 4.0) - 1.0).abs() < f64::EPSILON);
    // A report that arrives after a newer one changes nothing.
    assert!(take("first", 2, 3.5).abs() < f64::EPSILON);
}

#[test]
fn every_report_of_a_lead_known_from_its_beginning_counts() {
    let mut merged = MergedCounts::default();
    let fresh = UseCounts {
        fresh: true,
        counts: Vec::new(),
        ..counts("first", 1, 0.0)
    };
    assert!(merged.merge(START, &fresh).is_empty());
    assert_eq!(
        units(&merged.merge(START, &counts("first", 1, 40.0))),
        [40.0]
    );
    // The lead that takes over began to count later: its counts continue from there.
    let second = UseCounts {
        lead: "second".to_owned(),
        ..fresh
    };
    assert!(merged.merge(START, &second).is_empty());
    assert_eq!(
        units(&merged.merge(START, &counts("second", 1, 2.0))),
        [2.0]
    );
}

#[test]
fn more_accounts_than_fit_in_a_report_are_reported_in_rotation() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &idle_peer("a", 1));
    let accounts = MAX_REPORTED_ACCOUNTS * 2 + 1;
    let all = PeerUse {
        used: (0..accounts)
            .map(|n| used(&format!("account-{n}"), 1.0))
            .collect(),
        ..idle_peer("a", 1)
    };
    aggregator.add_member_report(START, &all);
    let mut reported: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..6 {
        let report = aggregator
            .report_for_group("lead")
            .expect("it counts")
            .counts;
        assert!(report.len() <= MAX_REPORTED_ACCOUNTS);
        for entry in report {
            *reported.entry(entry.account).or_default() += 1;
        }
    }
    assert_eq!(reported.len(), accounts);
    assert!(reported.values().all(|times| *times == 2));
}

/// One instance of a simulated fleet, reduced to what it counts.
struct FleetInstance {
    name: String,
    zone: usize,
    own: BTreeMap<String, f64>,
    /// What it knows of the use by others; `None` where the test doesn't observe it.
    merged: Option<MergedCounts>,
    others: f64,
}

/// Cost and knowledge of a fleet after some seconds in which reports were lost.
struct FleetResult {
    /// Units admitted by all.
    all: f64,
    /// Minimum and maximum that an observed instance knows of them, its own included.
    known: (f64, f64),
    /// Most accounts in a report to a member.
    longest_report: usize,
    /// Most rows that a lead keeps.
    rows: usize,
}

/// Simulates `size` instances in six groups that use `accounts` accounts for `secs` seconds, at 0.7 requests a
/// second each. One in a hundred reports is lost, and a lead of the first group fails midway.
fn simulate_fleet(size: usize, accounts: u32, secs: u32) -> FleetResult {
    const ZONES: usize = 6;
    let mut rng = SmallRng::seed_from_u64(5);
    let mut fleet: Vec<FleetInstance> = (0..size)
        .map(|n| FleetInstance {
            name: format!("front-{n}"),
            zone: n % ZONES,
            own: BTreeMap::new(),
            merged: n.is_multiple_of(25).then(MergedCounts::default),
            others: 0.0,
        })
        .collect();
    // Each availability zone has two leads that count.
    let mut leads: Vec<Option<UseAggregator>> = (0..ZONES * 2).map(|_| Some(lead())).collect();
    let (mut all, mut longest, mut rows) = (0.0, 0, 0);
    let ticks = secs * 5;
    for tick in 0..ticks + 10 {
        let now = START + HEARTBEAT_INTERVAL * tick;
        if tick == ticks / 2 {
            leads[0] = None;
        }
        // Instances report before the first requests arrive.
        for one in fleet.iter_mut().filter(|_| (1..ticks).contains(&tick)) {
            if rng.random_bool(0.14) {
                let account = format!("account-{}", rng.random_range(0..accounts));
                *one.own.entry(account).or_default() += 1.0;
                all += 1.0;
            }
        }
        for one in &fleet {
            let reported = one.own.iter().map(|(account, n)| used(account, *n));
            let report = PeerUse {
                used: reported.collect(),
                ..idle_peer(&one.name, 1)
            };
            for lead in [one.zone, one.zone + ZONES] {
                let lost = rng.random_bool(0.01);
                if let Some(aggregator) = leads[lead].as_mut().filter(|_| !lost) {
                    aggregator.add_member_report(now, &report);
                }
            }
        }
        let reports_of = |aggregator: &mut Option<UseAggregator>, at: usize| {
            let aggregator = aggregator.as_mut()?;
            let name = format!("lead-{at}");
            Some((
                aggregator.report_for_leads(&name)?,
                aggregator.report_for_group(&name)?,
            ))
        };
        let reports: Vec<_> = leads
            .iter_mut()
            .enumerate()
            .map(|(at, aggregator)| reports_of(aggregator, at))
            .collect();
        for (from, (group, site)) in reports
            .iter()
            .enumerate()
            .filter_map(|(at, w)| Some((at, w.as_ref()?)))
        {
            longest = longest.max(site.counts.len());
            let zone = from % ZONES;
            for (to, aggregator) in leads.iter_mut().enumerate() {
                let lost = rng.random_bool(0.01) || to % ZONES == zone;
                if let Some(aggregator) = aggregator.as_mut().filter(|_| !lost) {
                    aggregator.add_group_report(now, &format!("zone-{zone}"), group);
                }
            }
            for one in fleet.iter_mut().filter(|one| one.zone == zone) {
                let lost = rng.random_bool(0.01);
                let Some(merged) = one.merged.as_mut().filter(|_| !lost) else {
                    continue;
                };
                let mut report = site.clone();
                for reported in &mut report.counts {
                    let own = one.own.get(&reported.account).copied().unwrap_or_default();
                    reported.units -= own;
                    reported.asked -= own;
                }
                let rises = merged.merge(now, &report);
                one.others += units(&rises).iter().sum::<f64>();
            }
        }
        rows = leads
            .iter()
            .flatten()
            .map(UseAggregator::rows)
            .fold(rows, usize::max);
    }
    let known = |one: &FleetInstance| one.others + one.own.values().sum::<f64>();
    let observed = fleet.iter().filter(|one| one.merged.is_some());
    let known = observed.map(known);
    FleetResult {
        all,
        known: known.fold((f64::MAX, 0.0), |(min_known, max_known), n| {
            (min_known.min(n), max_known.max(n))
        }),
        longest_report: longest,
        rows,
    }
}

/// Guards against each instance keeping the use of each account by each other one: as many rows as their
/// product, and reports from all to all.
#[test]
fn all_instances_know_the_total_use_from_reports_of_constant_size() {
    for (size, accounts) in [(985, 333), (2_000, 666)] {
        let fleet = simulate_fleet(size, accounts, 8);
        let (min_known, max_known) = fleet.known;
        eprintln!(
            "{size} all {} min {min_known} max {max_known} longest report {} rows {}",
            fleet.all, fleet.longest_report, fleet.rows
        );
        assert!(
            max_known <= fleet.all * 1.01,
            "{max_known} of {}",
            fleet.all
        );
        assert!(
            min_known >= fleet.all * 0.99,
            "{min_known} of {}",
            fleet.all
        );
        assert!(
            fleet.longest_report <= MAX_REPORTED_ACCOUNTS,
            "{} accounts",
            fleet.longest_report
        );
        let group = size.div_ceil(6);
        assert!(fleet.rows <= group * 13, "{} rows of {group}", fleet.rows);
    }
}
