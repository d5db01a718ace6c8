//! Two groups that place requests by themselves, each of which sees a part of what accounts ask for.

use std::time::Duration;

use super::load::{AccountDemand, LoadGenerator, secs};

/// Two groups of 80 to 100 requests a second each.
struct Groups {
    east: LoadGenerator,
    west: LoadGenerator,
}

impl Groups {
    /// Lets time pass, in which each lead tells the other so often; never, where `pause` is none.
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

/// `everywhere` asks for much in both groups, the others for much in one of them each.
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

/// How far one account is over the least that another has, of those that ask for more than that.
fn spread(groups: &Groups) -> f64 {
    let got = ["everywhere", "east", "west", "third"].map(|a| groups.served(a));
    let max = got.iter().copied().fold(0.0, f64::max);
    let min = got.iter().copied().fold(f64::MAX, f64::min);
    max / min
}

/// Each group for itself gives an account that asks in both a share in each: 2.5 times and more what
/// another has. Told of each other's work, even a second late, both come near one share for each.
#[test]
fn groups_that_hear_each_other_give_one_share_together() {
    let mut apart = unequal();
    apart.run(secs(8), None);
    let mut exchanged = unequal();
    exchanged.run(secs(8), Some(LoadGenerator::heartbeat_interval()));
    let mut late = unequal();
    late.run(secs(8), Some(secs(1)));
    let (apart, exchanged, late) = (spread(&apart), spread(&exchanged), spread(&late));
    assert!(apart > 2.0, "{apart}");
    // East's own account has half of all places to itself, and no more.
    assert!(exchanged < 1.6, "{exchanged}, apart {apart}");
    assert!(late < 1.9, "{late}, exchanged {exchanged}");
}

#[test]
fn a_group_whose_other_lead_is_lost_goes_back_to_even_shares_of_its_own_places() {
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
    // And to exact ones when a new lead tells again.
    groups.run(secs(6), Some(LoadGenerator::heartbeat_interval()));
    assert!(spread(&groups) < 1.6);
}

/// A new coordinator knows nothing of what was done; within two seconds shares are what they were.
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
