//! Shares of accounts when capacity is short: which requests are served and refused under given loads.
//!
//! Sixteen slots at 200 ms a request serve 80 requests a second, or 100 with the extra slots allowed at low
//! load. A flood of one account may cost another at most a tenth of its share, and less than half over any
//! four seconds, which is as long as a caller waits.

mod groups;
mod load;
mod max_min;

use firdock_core::{Outcome, Reason};
use firdock_policy::{AccountShares, Action, Event, NewRequest, Verdict, work_report};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};
use load::{AccountDemand, LoadGenerator, secs};

/// Part of its share that an account keeps whatever the demand of others.
const MIN_SHARE_RATIO: f64 = 0.9;

/// Eight accounts, of which the first has ten times the demand of the others.
fn flood() -> Vec<AccountDemand> {
    let mut demands: Vec<AccountDemand> = (0..8)
        .map(|n| AccountDemand::new(&format!("a{n}"), 14.0))
        .collect();
    demands[0].rate = 140.0;
    demands
}

#[test]
fn a_flood_at_equal_rank_does_not_reduce_the_shares_of_others() {
    let mut load = LoadGenerator::new(&flood());
    load.run(secs(8));
    let even = load.served_all(secs(4)) / 8.0;
    for n in 0..8 {
        let got = load.served(&format!("a{n}"), secs(4));
        assert!(got >= MIN_SHARE_RATIO * even, "a{n} got {got} of {even}");
    }
    assert!(load.refused("a0") > 4 * load.refused("a1"));
}

#[test]
fn no_account_gets_less_than_half_of_its_share_over_any_four_seconds() {
    let mut demands = flood();
    for (n, demand) in demands.iter_mut().enumerate() {
        // Waves in phase, and bursts of two seconds.
        demand.swing = 0.6;
        demand.burst = (n % 3 == 0).then_some((secs(3), 4.0));
    }
    let mut load = LoadGenerator::new(&demands);
    for _ in 0..10 {
        load.run(secs(1));
        if load.age() < secs(4) {
            continue;
        }
        let even = load.served_all(secs(4)) / 8.0;
        for demand in &demands {
            let asked = load.sent(&demand.account, secs(4));
            let got = load.served(&demand.account, secs(4));
            let fair = even.min(asked);
            assert!(got >= fair / 2.0, "{}: {got} of {fair}", demand.account);
        }
    }
}

#[test]
fn accounts_get_work_in_proportion_to_their_weights() {
    let mut demands: Vec<AccountDemand> = (0..4)
        .map(|n| AccountDemand::new(&format!("a{n}"), 100.0))
        .collect();
    demands[0].weight = 3.0;
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    let part = load.served_all(secs(4)) / 6.0;
    let heavy = load.served("a0", secs(4)) / part;
    assert!((2.7..=3.3).contains(&heavy), "{heavy}");
    for light in ["a1", "a2", "a3"] {
        let got = load.served(light, secs(4)) / part;
        assert!((MIN_SHARE_RATIO..=1.1).contains(&got), "{light}: {got}");
    }
}

/// Shares count work, not requests: an account with short prompts gets more requests than one with long ones.
#[test]
fn accounts_get_shares_of_work_and_not_of_requests() {
    let mut demands = vec![
        AccountDemand::new("long", 150.0),
        AccountDemand::new("short", 150.0),
    ];
    demands[0].prompt_tokens = 900;
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    // At 4,000 prompt tokens a second: 0.23 s and about 0.03 s of prompt, and 0.25 s of answer each.
    let (long, short) = (load.served("long", secs(4)), load.served("short", secs(4)));
    let ratio = short / long;
    assert!((1.3..=2.2).contains(&ratio), "{short} to {long}");
}

#[test]
fn the_only_account_with_demand_gets_all_capacity() {
    let mut load = LoadGenerator::new(&[
        AccountDemand::new("only", 300.0),
        AccountDemand::new("idle", 0.0),
    ]);
    load.run(secs(6));
    assert!(load.served("only", secs(4)) >= 4.0 * 75.0);
}

#[test]
fn lent_capacity_returns_within_a_second() {
    let mut demands = flood();
    for demand in &mut demands[1..] {
        demand.from = secs(4);
    }
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(4));
    assert!(load.served("a0", secs(2)) >= 2.0 * 75.0);
    load.run(secs(1));
    load.run(secs(1));
    let even = load.served_all(secs(1)) / 8.0;
    for n in 1..8 {
        let got = load.served(&format!("a{n}"), secs(1));
        assert!(got >= MIN_SHARE_RATIO * even, "a{n}: {got} of {even}");
    }
}

#[test]
fn a_new_account_gets_its_share_at_once() {
    let mut demands = flood();
    demands[7].from = secs(5);
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(6));
    let even = load.served_all(secs(1)) / 8.0;
    assert!(load.served("a7", secs(1)) >= MIN_SHARE_RATIO * even);
}

#[test]
fn a_higher_rank_goes_first_whichever_account_floods_it() {
    let mut demands = flood();
    demands[0].rank = 0;
    demands[0].rate = 50.0;
    for demand in &mut demands[1..] {
        demand.rank = 1;
    }
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    assert!(load.served("a0", secs(4)) >= 4.0 * 48.0);
    assert_eq!(
        load.refused("a0"),
        0,
        "the higher rank is within the capacity"
    );
    // The remaining capacity is shared as usual.
    let rest = load.served_all(secs(4)) - load.served("a0", secs(4));
    for n in 1..8 {
        let got = load.served(&format!("a{n}"), secs(4));
        assert!(
            got >= MIN_SHARE_RATIO * rest / 7.0,
            "a{n}: {got} of {}",
            rest / 7.0
        );
    }
}

#[test]
fn a_refusal_says_whether_the_account_was_over_its_share() {
    let mut demands = flood();
    for demand in &mut demands[1..] {
        demand.rate = 4.0;
    }
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    assert!(load.over_share("a0") > 100);
    for n in 1..8 {
        assert_eq!(load.refused(&format!("a{n}")), 0, "within its share");
    }
}

/// Eight accounts with requests of two tiers; the first floods the higher one.
fn tiers() -> Vec<AccountDemand> {
    let mut demands: Vec<AccountDemand> = (0..8)
        .map(|n| AccountDemand::new(&format!("a{n}"), 4.0))
        .collect();
    demands[0].rate = 70.0;
    for n in 0..8 {
        let mut low = AccountDemand::new(&format!("a{n}"), 10.0);
        low.service = "low";
        demands.push(low);
    }
    demands
}

/// Without a share over all tiers, the higher tier goes first whichever account uses it: others get all that
/// they ask for in it, and the flood gets the rest of the 80 requests a second.
#[test]
fn each_tier_is_shared_by_itself_without_a_share_over_all_tiers() {
    let mut load = LoadGenerator::by_tier(&tiers());
    load.run(secs(8));
    for n in 1..8 {
        let high = load.served_high(&format!("a{n}"), secs(4));
        assert!(high >= 15.0, "a{n}: {high} of 16");
    }
    let flood = load.served_high("a0", secs(4));
    assert!(
        flood >= MIN_SHARE_RATIO * 4.0 * (80.0 - 7.0 * 4.0),
        "{flood}"
    );
}

/// Most of a flood is in the highest tier, which has the capacity for all of it. Other accounts still keep
/// their shares of the lower tier, and their own requests of the higher tier go first.
#[test]
fn a_flood_of_a_high_tier_does_not_reduce_the_shares_of_lower_tiers() {
    let mut load = LoadGenerator::new(&tiers());
    load.run(secs(8));
    let even = load.served_all(secs(4)) / 8.0;
    for n in 1..8 {
        let got = load.served(&format!("a{n}"), secs(4));
        assert!(got >= MIN_SHARE_RATIO * even, "a{n}: {got} of {even}");
        let high = load.served_high(&format!("a{n}"), secs(4));
        assert!(high >= 15.0, "a{n}: {high} of 16 of its high tier");
    }
}

/// While a request beyond a share is held, no request of a higher tier is refused for lack of capacity. So it
/// isn't held past its target, unlike others, which wait until their callers leave.
#[test]
fn a_request_beyond_a_share_is_not_held_past_its_target() {
    let mut load = LoadGenerator::new(&flood());
    load.run(secs(4));
    assert!(load.is_refused_past_target("a0"));
    assert!(!load.is_refused_past_target("a1"), "it is within its share");
}

/// A member doesn't know which accounts are over their shares and relies on its coordinator's refusal.
/// Otherwise it would ask for requests beyond a share again and again while it holds one of a lower tier.
#[test]
fn a_member_refuses_what_its_coordinator_refused_as_beyond_a_share() {
    let demands = [AccountDemand::new("a0", 0.0), AccountDemand::new("a1", 0.0)];
    let refused = |reason| {
        let mut member = load::member(&demands);
        member.arrive(request(1, "safe", "a0"));
        member.arrive(request(2, "low", "a1"));
        let verdict = Verdict {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
        };
        let actions = member.step(Event::NotGranted(id(1), verdict));
        actions.iter().any(|a| matches!(a, Action::Answer { .. }))
    };
    assert!(refused(Reason::OverShare));
    assert!(!refused(Reason::Overload), "a lower tier is held");
}

/// Without the setting, decisions follow rank and arrival; the figures are those of that order.
#[test]
fn without_shares_the_flood_is_served_by_arrival() {
    let mut load = LoadGenerator::without_shares(&flood());
    load.run(secs(8));
    assert_eq!(load.over_share("a0"), 0);
    assert!(load.served("a0", secs(4)) > 2.0 * load.served_all(secs(4)) / 8.0);
}

/// A coordinator whose accounts have shares.
fn coordinator() -> EdgeScheduler {
    let mut settings = edge_settings("a").with_coordination();
    settings.account_shares = AccountShares::ByTier;
    EdgeScheduler::new(settings, resources())
}

/// Work that accounts asked for and work done for them, summed over all accounts.
fn work(edge: &EdgeScheduler) -> (f64, f64) {
    let work = work_report(edge.scheduler.tables(), edge.now);
    let asked = work.iter().map(|w| w.asked).sum();
    let done = work.iter().map(|w| w.done).sum();
    (asked, done)
}

/// Under overload a member keeps a request that its coordinator refused while it holds one of a lower tier,
/// and repeats it in each full report. If each of these counted, the account would seem to ask for ten times
/// as much.
#[test]
fn a_request_reported_again_counts_once() {
    let mut edge = coordinator();
    edge.arrive(request(1, "safe", "free"));
    let (once, _) = work(&edge);
    edge.step(Event::CallerLeft(id(1)));
    let again = NewRequest {
        age: millis(100),
        ..request(1, "safe", "free")
    };
    edge.arrive(again);
    let (asked, _) = work(&edge);
    assert!(once > 0.0 && asked <= once, "{once}, {asked}");
}

/// A placement that a member declines did no work for its account.
#[test]
fn a_declined_placement_is_not_charged() {
    let mut edge = coordinator();
    let placed = dispatched(&edge.arrive(request(1, "safe", "free")));
    assert_eq!(placed.len(), 1);
    assert!(work(&edge).1 > 0.0);
    edge.step(Event::CallerLeft(id(1)));
    assert!(work(&edge).1.abs() < 1e-9);
}
