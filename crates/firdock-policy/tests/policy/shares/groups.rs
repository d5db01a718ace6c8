//! Two groups that place requests independently, each of which sees a part of the accounts' demand.

use std::time::Duration;

use super::load::{AccountDemand, LoadGenerator, secs};

/// Two groups that serve 80 to 100 requests a second each.
struct Groups {
    east: LoadGenerator,
    west: LoadGenerator,
}

impl Groups {
    /// Runs both groups for `time`; the leads exchange reports every `pause`, or never if it is `None`.
    fn run(&mut self, time: Duration, pause: Option<Duration>) {
        let step = LoadGenerator::heartbeat_interval();
        let mut since = Duration::ZERO;
        for _ in 0..time.as_millis() / step.as_millis() {
            self.east.run(step);
            self.west.run(step);
            since += step;
            if pause.is_some_and(|pause| since >= pause) {
                since = Duration::ZERO;
                let (east, west) = (self.east.work_report(), self.west.work_report());
                self.east.receive_report("west", west);
                self.west.receive_report("east", east);
            }
        }
    }

    fn served(&self, account: &str) -> f64 {
        self.east.served(account, secs(4)) + self.west.served(account, secs(4))
    }
}

/// `everywhere` has high demand in both groups, the others in one group each.
fn unequal() -> Groups {
    let east = [
        AccountDemand::new("everywhere", 100.0),
        AccountDemand::new("east", 100.0),
    ];
    let west = [
        AccountDemand::new("everywhere", 100.0),
        AccountDemand::new("west", 50.0),
        AccountDemand::new("third", 50.0),
    ];
    let all = ["everywhere", "east", "west", "third"];
    let whole = |own: &[AccountDemand]| {
        let mut demands = own.to_vec();
        for name in all {
            if !demands.iter().any(|w| w.account == name) {
                demands.push(AccountDemand::new(name, 0.0));
            }
        }
        LoadGenerator::new(&demands)
    };
    Groups {
        east: whole(&east),
        west: whole(&west),
    }
}

/// Ratio of what the best served account got to what the worst served one got; all ask for more.
fn spread(groups: &Groups) -> f64 {
    let got = ["everywhere", "east", "west", "third"].map(|a| groups.served(a));
    let max = got.iter().copied().fold(0.0, f64::max);
    let min = got.iter().copied().fold(f64::MAX, f64::min);
    max / min
}

/// Without reports, each group gives an account with demand in both a share of its own: 2.5 times what another
/// gets, or more. With reports of each other's work, even a second late, each account gets about one share.
#[test]
fn groups_that_exchange_reports_give_each_account_one_share() {
    let mut apart = unequal();
    apart.run(secs(8), None);
    let mut exchanged = unequal();
    exchanged.run(secs(8), Some(LoadGenerator::heartbeat_interval()));
    let mut late = unequal();
    late.run(secs(8), Some(secs(1)));
    let (apart, exchanged, late) = (spread(&apart), spread(&exchanged), spread(&late));
    assert!(apart > 2.0, "{apart}");
    // The account `east` gets half of all slots, and no more.
    assert!(exchanged < 1.6, "{exchanged}, apart {apart}");
    assert!(late < 1.9, "{late}, exchanged {exchanged}");
}

#[test]
fn a_group_without_reports_returns_to_even_shares_of_its_own_slots() {
    let mut groups = unequal();
    groups.run(secs(6), Some(LoadGenerator::heartbeat_interval()));
    groups.run(secs(6), None);
    let even = groups.east.served_all(secs(4)) / 2.0;
    for account in ["everywhere", "east"] {
        let got = groups.east.served(account, secs(4));
        assert!(
            (0.9..=1.1).contains(&(got / even)),
            "{account}: {got} of {even}"
        );
    }
    // Reports of a new lead restore the common shares.
    groups.run(secs(6), Some(LoadGenerator::heartbeat_interval()));
    assert!(spread(&groups) < 1.6);
}

/// A new coordinator doesn't know the work done before it; shares are even again within two seconds.
#[test]
fn a_new_coordinator_gives_even_shares_from_the_start() {
    let mut demands: Vec<AccountDemand> = (0..8)
        .map(|n| AccountDemand::new(&format!("a{n}"), 14.0))
        .collect();
    demands[0].rate = 140.0;
    LoadGenerator::new(&demands).run(secs(4));
    let mut next = LoadGenerator::new(&demands);
    next.run(secs(3));
    let even = next.served_all(secs(2)) / 8.0;
    for demand in &demands {
        let got = next.served(&demand.account, secs(2));
        assert!(got >= 0.9 * even, "{}: {got} of {even}", demand.account);
    }
}
