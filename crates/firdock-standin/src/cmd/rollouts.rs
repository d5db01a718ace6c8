//! `firdock-standin rollouts`: compares roll-out strategies in virtual time.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use firdock_core::settings::Rollouts;
use firdock_standin::rollouts::{Allowance, Badness, Case, Outcome, RolloutStrategy, Steps, run};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Simulated pools: requests per second, and number of endpoints of each version.
const POOLS: [(f64, usize); 3] = [(430.0, 60), (180.0, 4), (3.0, 4)];
/// Exposure bounds of the users' sites.
const BOUNDS: Rollouts = Rollouts {
    exposure_ratio: 0.1,
    exposure_slack: 50.0,
};

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("N")
        .default_value("200");
    Command::new("rollouts")
        .about("Compare roll-out strategies in virtual time")
        .long_about(
            "Simulates randomly drawn roll-outs of good and bad versions under firdock's strategy and \
             under fixed steps, and prints how many requests a version received and how often it was \
             given up. The same seeds give the same figures.",
        )
        .arg(
            seeds
                .value_parser(value_parser!(u64).range(1..=100_000))
                .help("Number of drawn roll-outs per defect and pool"),
        )
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let seeds = args.get_one::<u64>("seeds").copied().unwrap_or(1);
    println!(
        "pool        version      way        exposed: mean, most  over bound  given up  moved in time  \
         after 50 bad: median, most ms"
    );
    for (rate, endpoints) in POOLS {
        for badness in Badness::ALL {
            print(rate, endpoints, badness, &Allowance, seeds);
            print(rate, endpoints, badness, &Steps, seeds);
        }
    }
    ExitCode::SUCCESS
}

fn print(
    rate: f64,
    endpoints: usize,
    badness: Badness,
    strategy: &impl RolloutStrategy,
    seeds: u64,
) {
    let simulate = |seed: u64| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let case = Case::draw(badness, rate, endpoints, &mut rng);
        run(&case, strategy, BOUNDS, seed)
    };
    let outcomes: Vec<Outcome> = (0..seeds).map(simulate).collect();
    let exposure = |o: &Outcome| o.exposed as f64 / o.sent.max(1) as f64;
    let mean = outcomes.iter().map(exposure).sum::<f64>() / outcomes.len() as f64;
    let max = outcomes.iter().map(exposure).fold(0.0, f64::max);
    let over_bound = |o: &&Outcome| {
        let bound = BOUNDS.exposure_ratio * o.sent as f64 + BOUNDS.exposure_slack;
        o.exposed as f64 > bound
    };
    let percent = |n: usize| 100.0 * n as f64 / outcomes.len() as f64;
    let mut halt_delays: Vec<Duration> = outcomes.iter().filter_map(halt_delay).collect();
    halt_delays.sort_unstable();
    let millis = |at: Option<&Duration>| at.map_or("-".to_owned(), |d| d.as_millis().to_string());
    println!(
        "{rate:>5.0}/s {endpoints:>3} {:12} {:10} {mean:>13.3} {max:>6.3} {:>11.1} {:>9.1} {:>14.1}  {:>14} {}",
        badness.name(),
        strategy.name(),
        percent(outcomes.iter().filter(over_bound).count()),
        percent(outcomes.iter().filter(|o| o.halted.is_some()).count()),
        percent(outcomes.iter().filter(|o| o.moved.is_some()).count()),
        millis(halt_delays.get(halt_delays.len() / 2)),
        millis(halt_delays.last()),
    );
}

/// Returns the time from a version's 50th bad answer until it was given up; `None` if it gave fewer, was
/// given up before or never.
fn halt_delay(outcome: &Outcome) -> Option<Duration> {
    let (marked, halted) = (outcome.marked?, outcome.halted?);
    halted.checked_sub(marked)
}
