//! Shares of accounts where room is short: who is served and who is refused under named loads.
//!
//! Sixteen places of 200 ms serve 80 requests a second, or 100 with what calm times allow beyond the
//! slots. Callers of one account are to notice another's flood by no more than a tenth of what
//! their share is, and by less than a half over any four seconds, which is as long as one waits.

mod groups;
mod load;
mod max_min;

use firdock_core::{Outcome, Reason};
use firdock_policy::{AccountShares, Action, Event, NewRequest, Verdict, work_report};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};
use load::{AccountDemand, LoadGenerator, secs};

/// Part of its share that an account is to keep whatever others ask for.
const MIN_SHARE_RATIO: f64 = 0.9;

/// Eight accounts, of which the first asks for ten times its share.
fn flood() -> Vec<AccountDemand> {
    let mut demands: Vec<AccountDemand> = (0..8)
        .map(|n| AccountDemand::new(&format!("a{n}"), 14.0))
        .collect();
    demands[0].rate = 140.0;
    demands
}

#[test]
fn a_flood_at_equal_rank_takes_nothing_from_the_shares_of_others() {
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
fn no_account_has_less_than_half_of_its_share_over_any_four_seconds() {
    let mut demands = flood();
    for (n, demand) in demands.iter_mut().enumerate() {
        // Waves that meet, and bursts of two seconds.
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
fn accounts_have_what_is_done_by_their_weights() {
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

/// Work counts, not requests: an account of short answers is not put behind one of long ones.
#[test]
fn accounts_have_shares_of_work_and_not_of_requests() {
    let mut demands = vec![
        AccountDemand::new("long", 150.0),
        AccountDemand::new("short", 150.0),
    ];
    demands[0].prompt_tokens = 900;
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    // Of 4,000 prompt tokens a second: 0.23 s and some 0.03 s, and 0.25 s of answer each.
    let (long, short) = (load.served("long", secs(4)), load.served("short", secs(4)));
    let ratio = short / long;
    assert!((1.3..=2.2).contains(&ratio), "{short} to {long}");
}

#[test]
fn an_account_that_asks_alone_has_everything() {
    let mut load = LoadGenerator::new(&[
        AccountDemand::new("only", 300.0),
        AccountDemand::new("idle", 0.0),
    ]);
    load.run(secs(6));
    assert!(load.served("only", secs(4)) >= 4.0 * 75.0);
}

#[test]
fn what_was_lent_comes_back_within_a_second() {
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
fn an_account_that_comes_for_the_first_time_has_its_share_at_once() {
    let mut demands = flood();
    demands[7].from = secs(5);
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(6));
    let even = load.served_all(secs(1)) / 8.0;
    assert!(load.served("a7", secs(1)) >= MIN_SHARE_RATIO * even);
}

#[test]
fn a_higher_rank_goes_first_whoever_floods_it() {
    let mut demands = flood();
    demands[0].rank = 0;
    demands[0].rate = 50.0;
    for demand in &mut demands[1..] {
        demand.rank = 1;
    }
    let mut load = LoadGenerator::new(&demands);
    load.run(secs(8));
    assert!(load.served("a0", secs(4)) >= 4.0 * 48.0);
    assert_eq!(load.refused("a0"), 0, "the higher rank is within the room");
    // What is left is shared as ever.
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

/// Without a share over all tiers, the higher goes first whoever asks for it: others have all that they
/// ask of it, and the flood the rest of the 80 a second.
#[test]
fn each_tier_is_shared_by_itself_unless_the_share_is_over_all() {
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

/// Most of the work of a flood is of the highest tier, where there is room for all of it. Other accounts
/// keep what they have of the lower tier all the same, and their own higher tier goes first.
#[test]
fn a_flood_of_a_high_tier_takes_nothing_of_what_others_have_of_lower_ones() {
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

/// While one beyond a share is held, no request of a higher tier is told that it has to go elsewhere; so
/// it is not held past its target, from where on others wait until their callers leave.
#[test]
fn a_request_beyond_a_share_is_not_held_past_its_target() {
    let mut load = LoadGenerator::new(&flood());
    load.run(secs(4));
    assert!(load.is_refused_past_target("a0"));
    assert!(!load.is_refused_past_target("a1"), "it is within its share");
}

/// A member does not see who is over his share: it goes by its coordinator's word, else requests beyond
/// a share would be asked for again and again while the member holds one of a lower tier.
#[test]
fn a_member_gives_up_what_its_coordinator_refused_as_beyond_a_share() {
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

/// Without the setting, decisions are by rank and arrival: these are the figures of that order.
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

/// Sums what accounts asked for and had done.
fn work(edge: &EdgeScheduler) -> (f64, f64) {
    let work = work_report(edge.scheduler.tables(), edge.now);
    let asked = work.iter().map(|w| w.asked).sum();
    let done = work.iter().map(|w| w.done).sum();
    (asked, done)
}

/// Under overload a member keeps what its coordinator refused while it holds a lower tier, and tells of it
/// in each whole report; were each of these an ask, its account would seem to ask for ten times as much.
#[test]
fn a_request_that_is_told_again_asks_once() {
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

/// A place that a member gives back did no work for its account.
#[test]
fn a_place_that_is_given_back_is_not_charged() {
    let mut edge = coordinator();
    let placed = dispatched(&edge.arrive(request(1, "safe", "free")));
    assert_eq!(placed.len(), 1);
    assert!(work(&edge).1 > 0.0);
    edge.step(Event::CallerLeft(id(1)));
    assert!(work(&edge).1.abs() < 1e-9);
}
