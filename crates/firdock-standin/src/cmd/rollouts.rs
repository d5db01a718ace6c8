//! `firdock-standin rollouts`: ways to decide on roll-outs, in virtual time.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use firdock_core::settings::Rollouts;
use firdock_standin::rollouts::{Allowance, Badness, Case, Outcome, RolloutStrategy, Steps, run};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Pools that are drawn for: requests a second, and endpoints of each version.
const POOLS: [(f64, usize); 3] = [(430.0, 60), (180.0, 4), (3.0, 4)];
/// Bounds of the users' sites.
const BOUNDS: Rollouts = Rollouts {
    exposure_ratio: 0.1,
    exposure_slack: 50.0,
};

/// Makes the subcommand.
pub fn make_subcommand() -> Command {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("N")
        .default_value("200");
    Command::new("rollouts")
        .about("Measure ways to decide on roll-outs in virtual time")
        .long_about(
            "Plays drawn roll-outs of good and bad versions, decided by the policy's way and by fixed \
             steps, and prints how much a bad version got and how often a verdict was wrong. The \
             same seeds give the same figures.",
        )
        .arg(
            seeds
                .value_parser(value_parser!(u64).range(1..=100_000))
                .help("Drawn roll-outs of each kind"),
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
    let play = |seed: u64| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let case = Case::draw(badness, rate, endpoints, &mut rng);
        run(&case, strategy, BOUNDS, seed)
    };
    let outcomes: Vec<Outcome> = (0..seeds).map(play).collect();
    let part = |o: &Outcome| o.exposed as f64 / o.sent.max(1) as f64;
    let mean = outcomes.iter().map(part).sum::<f64>() / outcomes.len() as f64;
    let most = outcomes.iter().map(part).fold(0.0, f64::max);
    let over = |o: &&Outcome| {
        let bound = BOUNDS.exposure_ratio * o.sent as f64 + BOUNDS.exposure_slack;
        o.exposed as f64 > bound
    };
    let percent = |n: usize| 100.0 * n as f64 / outcomes.len() as f64;
    let mut late: Vec<Duration> = outcomes.iter().filter_map(since_marked).collect();
    late.sort_unstable();
    let millis = |at: Option<&Duration>| at.map_or("-".to_owned(), |d| d.as_millis().to_string());
    println!(
        "{rate:>5.0}/s {endpoints:>3} {:12} {:10} {mean:>13.3} {most:>6.3} {:>11.1} {:>9.1} {:>14.1}  {:>14} {}",
        badness.name(),
        strategy.name(),
        percent(outcomes.iter().filter(over).count()),
        percent(outcomes.iter().filter(|o| o.halted.is_some()).count()),
        percent(outcomes.iter().filter(|o| o.moved.is_some()).count()),
        millis(late.get(late.len() / 2)),
        millis(late.last()),
    );
}

/// Gives how long after its 50th bad answer a version was given up; nothing for one that never gave so
/// many, or that was given up before.
fn since_marked(outcome: &Outcome) -> Option<Duration> {
    let (marked, halted) = (outcome.marked?, outcome.halted?);
    halted.checked_sub(marked)
}
