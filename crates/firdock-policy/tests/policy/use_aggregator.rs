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
const BEAT: Duration = Duration::from_millis(200);
const START: Time = Duration::from_secs(1_000);

fn used(account: &str, units: f64) -> AccountUse {
    AccountUse {
        account: account.to_owned(),
        units,
        asked: units,
        before: UseTotals::default(),
    }
}

fn word(name: &str, incarnation: u128, units: f64) -> PeerUse {
    PeerUse {
        name: name.to_owned(),
        incarnation: Uuid::from_u128(incarnation),
        used: vec![used("account", units)],
    }
}

/// An instance that was heard before it let anything pass.
fn silent(name: &str, incarnation: u128) -> PeerUse {
    PeerUse {
        used: Vec::new(),
        ..word(name, incarnation, 0.0)
    }
}

fn lead() -> UseAggregator {
    let mut sums = UseAggregator::default();
    sums.start(|| Uuid::from_u128(7));
    sums
}

fn units(told: &[AccountUse]) -> Vec<f64> {
    told.iter().map(|u| u.units).collect()
}

fn for_group(sums: &mut UseAggregator) -> Vec<f64> {
    units(&sums.report_for_group("lead").expect("it counts").counts)
}

fn for_leads(sums: &mut UseAggregator) -> Vec<f64> {
    units(&sums.report_for_leads("lead").expect("it counts").counts)
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
    let mut sums = lead();
    for name in ["a", "b"] {
        sums.add_member_report(START, &silent(name, 1));
    }
    sums.add_member_report(START, &word("a", 1, 10.0));
    sums.add_member_report(START, &word("a", 1, 30.0));
    sums.add_member_report(START, &word("b", 1, 5.0));
    sums.add_member_report(START, &word("a", 1, 20.0));
    // One word may be lost, so that each change is told twice.
    for _ in 0..2 {
        assert_eq!(for_group(&mut sums), [35.0]);
        assert_eq!(for_leads(&mut sums), [35.0]);
    }
    sums.add_member_report(START, &word("a", 1, 30.0));
    assert!(for_group(&mut sums).is_empty(), "nothing rose");
}

#[test]
fn another_groups_use_is_told_to_the_own_group_alone() {
    let mut sums = lead();
    sums.add_group_report(START, "far", &counts("lead", 1, 10.0));
    sums.add_group_report(START, "far", &counts("lead", 1, 25.0));
    assert_eq!(for_group(&mut sums), [15.0]);
    assert!(for_leads(&mut sums).is_empty());
}

#[test]
fn instances_that_come_and_go_for_days_leave_no_rows() {
    let mut sums = lead();
    for n in 0..2_000_u32 {
        let now = START + Duration::from_secs(10) * n;
        let name = format!("front-{n}");
        sums.add_member_report(now, &silent(&name, 1));
        sums.add_member_report(now, &word(&name, 1, 1.0));
        sums.sweep(now);
        assert_eq!(
            for_group(&mut sums),
            [f64::from(n + 1)],
            "{name} is counted"
        );
    }
    assert!(sums.rows() <= 14, "{} rows", sums.rows());
}

#[test]
fn a_restarted_instances_use_counts_from_nothing() {
    let mut sums = lead();
    sums.add_member_report(START, &silent("a", 1));
    sums.add_member_report(START, &word("a", 1, 10.0));
    sums.add_member_report(START, &word("a", 2, 10.0));
    assert_eq!(for_leads(&mut sums), [20.0]);
}

#[test]
fn what_was_let_pass_before_an_instance_was_heard_of_is_not_counted() {
    let mut sums = lead();
    sums.add_member_report(START, &word("a", 1, 500.0));
    assert!(for_leads(&mut sums).is_empty());
    sums.add_member_report(START, &word("a", 1, 503.0));
    assert_eq!(for_leads(&mut sums), [3.0]);
}

/// A lead that began to count in the middle of a day took all that a member had ever let pass of an account
/// for new when the member first told of that, and everyone was charged for it.
#[test]
fn one_that_begins_to_count_midway_takes_nothing_old_for_new() {
    let mut sums = lead();
    sums.add_member_report(START, &word("a", 1, 500.0));
    let again = PeerUse {
        used: vec![AccountUse {
            before: UseTotals {
                units: 50_000.0,
                asked: 60_000.0,
            },
            asked: 60_300.0,
            ..used("another", 50_200.0)
        }],
        ..silent("a", 1)
    };
    sums.add_member_report(START, &again);
    let counts = sums.report_for_leads("lead").expect("it counts").counts;
    let figures: Vec<_> = counts.iter().map(|c| (c.units, c.asked)).collect();
    assert_eq!(figures, [(200.0, 300.0)]);
}

#[test]
fn what_two_leads_tell_counts_once_and_goes_on_where_one_falls() {
    let mut heard = MergedCounts::default();
    let mut take = |lead: &str, beginning: u128, count: f64| {
        let rises = heard.merge(START, &counts(lead, beginning, count));
        units(&rises).iter().sum::<f64>()
    };
    // The second began to count later, and lags behind the first.
    assert!(take("first", 1, 100.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 130.0) - 30.0).abs() < f64::EPSILON);
    assert!(take("second", 1, 20.0).abs() < f64::EPSILON);
    assert!((take("first", 1, 150.0) - 20.0).abs() < f64::EPSILON);
    assert!(take("second", 1, 40.0).abs() < f64::EPSILON, "told before");
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
    let mut heard = MergedCounts::default();
    let fresh = UseCounts {
        fresh: true,
        counts: Vec::new(),
        ..counts("first", 1, 0.0)
    };
    assert!(heard.merge(START, &fresh).is_empty());
    assert_eq!(
        units(&heard.merge(START, &counts("first", 1, 40.0))),
        [40.0]
    );
    // The one that takes over began later: it goes on from there.
    let second = UseCounts {
        lead: "second".to_owned(),
        ..fresh
    };
    assert!(heard.merge(START, &second).is_empty());
    assert_eq!(units(&heard.merge(START, &counts("second", 1, 2.0))), [2.0]);
}

#[test]
fn more_accounts_than_a_word_holds_are_told_by_turns() {
    let mut sums = lead();
    sums.add_member_report(START, &silent("a", 1));
    let accounts = MAX_REPORTED_ACCOUNTS * 2 + 1;
    let all = PeerUse {
        used: (0..accounts)
            .map(|n| used(&format!("account-{n}"), 1.0))
            .collect(),
        ..silent("a", 1)
    };
    sums.add_member_report(START, &all);
    let mut told: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..6 {
        let word = sums.report_for_group("lead").expect("it counts").counts;
        assert!(word.len() <= MAX_REPORTED_ACCOUNTS);
        for told_use in word {
            *told.entry(told_use.account).or_default() += 1;
        }
    }
    assert_eq!(told.len(), accounts);
    assert!(told.values().all(|times| *times == 2));
}

/// One instance of a fleet, as far as it takes part in the counting.
struct Instance {
    name: String,
    zone: usize,
    own: BTreeMap<String, f64>,
    /// What it knows that others let pass; `None` where that is not looked at.
    heard: Option<MergedCounts>,
    others: f64,
}

/// What a fleet costs and knows after some seconds in which words were lost.
struct Outcome {
    /// Units let pass by all.
    all: f64,
    /// The least and the most that an instance knows of them, its own among them.
    known: (f64, f64),
    /// Most accounts in a word to a member, and most rows that a lead keeps.
    word: usize,
    rows: usize,
}

/// Plays `size` instances in six groups that use `accounts` accounts for `secs` seconds, 0.7 requests a second each;
/// every hundredth word is lost. The lead of the first group falls midway.
fn play(size: usize, accounts: u32, secs: u32) -> Outcome {
    const ZONES: usize = 6;
    let mut rng = SmallRng::seed_from_u64(5);
    let mut fleet: Vec<Instance> = (0..size)
        .map(|n| Instance {
            name: format!("front-{n}"),
            zone: n % ZONES,
            own: BTreeMap::new(),
            heard: n.is_multiple_of(25).then(MergedCounts::default),
            others: 0.0,
        })
        .collect();
    // The first two of each zone count.
    let mut leads: Vec<Option<UseAggregator>> = (0..ZONES * 2).map(|_| Some(lead())).collect();
    let (mut all, mut longest, mut rows) = (0.0, 0, 0);
    let ticks = secs * 5;
    for tick in 0..ticks + 10 {
        let now = START + BEAT * tick;
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
            let told = one.own.iter().map(|(account, n)| used(account, *n));
            let word = PeerUse {
                used: told.collect(),
                ..silent(&one.name, 1)
            };
            for lead in [one.zone, one.zone + ZONES] {
                let lost = rng.random_bool(0.01);
                if let Some(sums) = leads[lead].as_mut().filter(|_| !lost) {
                    sums.add_member_report(now, &word);
                }
            }
        }
        let told = |sums: &mut Option<UseAggregator>, at: usize| {
            let sums = sums.as_mut()?;
            let name = format!("lead-{at}");
            Some((sums.report_for_leads(&name)?, sums.report_for_group(&name)?))
        };
        let words: Vec<_> = leads
            .iter_mut()
            .enumerate()
            .map(|(at, sums)| told(sums, at))
            .collect();
        for (from, (group, site)) in words
            .iter()
            .enumerate()
            .filter_map(|(at, w)| Some((at, w.as_ref()?)))
        {
            longest = longest.max(site.counts.len());
            let zone = from % ZONES;
            for (to, sums) in leads.iter_mut().enumerate() {
                let lost = rng.random_bool(0.01) || to % ZONES == zone;
                if let Some(sums) = sums.as_mut().filter(|_| !lost) {
                    sums.add_group_report(now, &format!("zone-{zone}"), group);
                }
            }
            for one in fleet.iter_mut().filter(|one| one.zone == zone) {
                let lost = rng.random_bool(0.01);
                let Some(heard) = one.heard.as_mut().filter(|_| !lost) else {
                    continue;
                };
                let mut word = site.clone();
                for told in &mut word.counts {
                    let own = one.own.get(&told.account).copied().unwrap_or_default();
                    told.units -= own;
                    told.asked -= own;
                }
                let rises = heard.merge(now, &word);
                one.others += units(&rises).iter().sum::<f64>();
            }
        }
        rows = leads
            .iter()
            .flatten()
            .map(UseAggregator::rows)
            .fold(rows, usize::max);
    }
    let known = |one: &Instance| one.others + one.own.values().sum::<f64>();
    let looked_at = fleet.iter().filter(|one| one.heard.is_some());
    let known = looked_at.map(known);
    Outcome {
        all,
        known: known.fold((f64::MAX, 0.0), |(least, most), n| {
            (least.min(n), most.max(n))
        }),
        word: longest,
        rows,
    }
}

/// A fleet in which each instance kept what each other one let pass of each account: rows by the
/// product of both, and words on all to all.
#[test]
fn all_of_a_fleet_know_what_all_let_pass_by_words_that_do_not_grow_with_it() {
    for (size, accounts) in [(985, 333), (2_000, 666)] {
        let fleet = play(size, accounts, 8);
        let (least, most) = fleet.known;
        eprintln!(
            "{size} all {} least {least} most {most} word {} rows {}",
            fleet.all, fleet.word, fleet.rows
        );
        assert!(most <= fleet.all * 1.01, "{most} of {}", fleet.all);
        assert!(least >= fleet.all * 0.99, "{least} of {}", fleet.all);
        assert!(
            fleet.word <= MAX_REPORTED_ACCOUNTS,
            "{} accounts",
            fleet.word
        );
        let group = size.div_ceil(6);
        assert!(fleet.rows <= group * 13, "{} rows of {group}", fleet.rows);
    }
}
