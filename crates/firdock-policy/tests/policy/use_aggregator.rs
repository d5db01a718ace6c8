//! Sums of what instances let pass of account limits: what leads count, and what of that counts where.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::event::{AccountUse, PeerUse, UseCounts, UseTotals};
use firdock_policy::usage::{MAX_REPORTED_ACCOUNTS, MergedCounts, UseAggregator};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

/// Pause between two heartbeats.
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

/// An instance that was heard before it let anything pass.
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

/// A lead's counts, which it began before it was heard.
fn counts(lead: &str, beginning: u128, count: f64) -> UseCounts {
    UseCounts {
        lead: lead.to_owned(),
        began: Uuid::from_u128(beginning),
        fresh: false,
        counts: vec![used("account", count)],
    }
}

#[test]
fn members_use_is_counted_once_and_told_to_the_group_and_to_other_leads() {
    let mut aggregator = lead();
    for name in ["a", "b"] {
        aggregator.add_member_report(START, &idle_peer(name, 1));
    }
    aggregator.add_member_report(START, &peer_use("a", 1, 10.0));
    aggregator.add_member_report(START, &peer_use("a", 1, 30.0));
    aggregator.add_member_report(START, &peer_use("b", 1, 5.0));
    aggregator.add_member_report(START, &peer_use("a", 1, 20.0));
    // One word may be lost, so that each change is told twice.
    for _ in 0..2 {
        assert_eq!(group_units(&mut aggregator), [35.0]);
        assert_eq!(lead_units(&mut aggregator), [35.0]);
    }
    aggregator.add_member_report(START, &peer_use("a", 1, 30.0));
    assert!(group_units(&mut aggregator).is_empty(), "nothing rose");
}

#[test]
fn another_groups_use_is_told_to_the_own_group_alone() {
    let mut aggregator = lead();
    aggregator.add_group_report(START, "far", &counts("lead", 1, 10.0));
    aggregator.add_group_report(START, "far", &counts("lead", 1, 25.0));
    assert_eq!(group_units(&mut aggregator), [15.0]);
    assert!(lead_units(&mut aggregator).is_empty());
}

#[test]
fn instances_that_come_and_go_for_days_leave_no_rows() {
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
fn a_restarted_instances_use_counts_from_nothing() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &idle_peer("a", 1));
    aggregator.add_member_report(START, &peer_use("a", 1, 10.0));
    aggregator.add_member_report(START, &peer_use("a", 2, 10.0));
    assert_eq!(lead_units(&mut aggregator), [20.0]);
}

#[test]
fn what_was_let_pass_before_an_instance_was_heard_of_is_not_counted() {
    let mut aggregator = lead();
    aggregator.add_member_report(START, &peer_use("a", 1, 500.0));
    assert!(lead_units(&mut aggregator).is_empty());
    aggregator.add_member_report(START, &peer_use("a", 1, 503.0));
    assert_eq!(lead_units(&mut aggregator), [3.0]);
}

/// A lead that began to count in the middle of a day took all that a member had ever let pass of an account
/// for new when the member first told of that, and everyone was charged for it.
#[test]
fn one_that_begins_to_count_midway_takes_nothing_old_for_new() {
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
fn what_two_leads_tell_counts_once_and_goes_on_where_one_falls() {
    let mut merged = MergedCounts::default();
    let mut take = |lead: &str, beginning: u128, count: f64| {
        let rises = merged.merge(START, &counts(lead, beginning, count));
        units(&rises).iter().sum::<f64>()
    };
    // The second began to count later, and lags behind the first.
    assert!(take("first", 1, 100.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 130.0) - 30.0).abs() < f64::EPSILON);
    assert!(take("second", 1, 20.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 150.0) - 20.0).abs() < f64::EPSILON);
    assert!(
        take("second", 1, 40.0).abs() < f64::EPSILON,
        "already reported"
    );
    // The first falls: what the second counts from there on is new.
    assert!((take("second", 1, 45.0) - 5.0).abs() < f64::EPSILON);
    // It comes back and counts from nothing.
    assert!(take("first", 2, 3.0).abs() < f64::EPSILON);
    assert!((take("first", 2, 4.0) - 1.0).abs() < f64::EPSILON);
    // A word that was overtaken changes nothing.
    assert!(take("first", 2, 3.5).abs() < f64::EPSILON);
}

#[test]
fn of_a_lead_that_is_heard_from_its_beginning_each_word_counts() {
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
    // The one that takes over began later: it goes on from there.
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
fn more_accounts_than_a_word_holds_are_told_by_turns() {
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

/// One instance of a fleet, as far as it takes part in the counting.
struct FleetInstance {
    name: String,
    zone: usize,
    own: BTreeMap<String, f64>,
    /// What it knows that others let pass; `None` where that is not looked at.
    merged: Option<MergedCounts>,
    others: f64,
}

/// What a fleet costs and knows after some seconds in which words were lost.
struct FleetResult {
    /// Units let pass by all.
    all: f64,
    /// The least and the most that an instance knows of them, its own among them.
    known: (f64, f64),
    /// Most accounts in a word to a member, and most rows that a lead keeps.
    longest_report: usize,
    rows: usize,
}

/// Plays `size` instances in six groups that use `accounts` accounts for `secs` seconds, 0.7 requests a second each;
/// every hundredth word is lost. The lead of the first group falls midway.
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
    // The first two of each zone count.
    let mut leads: Vec<Option<UseAggregator>> = (0..ZONES * 2).map(|_| Some(lead())).collect();
    let (mut all, mut longest, mut rows) = (0.0, 0, 0);
    let ticks = secs * 5;
    for tick in 0..ticks + 10 {
        let now = START + HEARTBEAT_INTERVAL * tick;
        if tick == ticks / 2 {
            leads[0] = None;
        }
        // They are heard before the first callers come.
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

/// A fleet in which each instance kept what each other one let pass of each account: rows by the
/// product of both, and words on all to all.
#[test]
fn all_of_a_fleet_know_what_all_let_pass_by_words_that_do_not_grow_with_it() {
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
