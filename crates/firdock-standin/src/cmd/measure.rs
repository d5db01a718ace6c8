//! `firdock-standin measure`: compares the policy with baselines in virtual time.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use firdock_standin::measure::{Contender, Plan, Row, Scenario};
use firdock_standin::workload::Deployment;

/// Creates the subcommand.
pub fn make_subcommand() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1");
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_name("N")
        .default_value("5");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_name("N")
        .default_value("30");
    let scenario = Arg::new("scenario").long("scenario").value_name("NAME");
    let deployment = Arg::new("deployment").long("deployment").value_name("NAME");
    let without = Arg::new("without")
        .long("without")
        .action(ArgAction::SetTrue);
    let only = Arg::new("only").long("only").value_name("POLICY");
    let threads = Arg::new("threads")
        .long("threads")
        .value_name("N")
        .default_value("4");
    Command::new("measure")
        .about("Compare the policy with baselines in virtual time")
        .long_about(
            "Runs the real policy on seven instances and a model of heterogeneous engines in virtual \
             time, beside three baselines, and prints medians over the seeds. The same seeds give the \
             same figures, except for decisions per second.",
        )
        .arg(seed.value_parser(value_parser!(u64)).help("First seed"))
        .arg(
            seeds
                .value_parser(value_parser!(u64).range(1..=1000))
                .help("Number of seeds"),
        )
        .arg(
            seconds
                .value_parser(value_parser!(u64).range(10..=3600))
                .help("Virtual seconds for which requests arrive"),
        )
        .arg(scenario.help("Only this scenario"))
        .arg(deployment.help("Only `fjallkarta` or `authority`"))
        .arg(without.help("Also run firdock with each mechanism switched off"))
        .arg(only.help("Only this policy"))
        .arg(
            threads
                .value_parser(value_parser!(usize))
                .help("Number of concurrent runs"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

/// Runs the subcommand.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let is_selected =
        |name: &str, candidate: &str| args.get_one::<String>(name).is_none_or(|n| n == candidate);
    let deployments = [Deployment::Fjallkarta, Deployment::Authority];
    let mut contenders = Contender::MAIN.to_vec();
    if args.get_flag("without") {
        contenders.extend(Contender::WITHOUT);
    }
    let plan = Plan {
        deployments: deployments
            .into_iter()
            .filter(|d| is_selected("deployment", d.name()))
            .collect(),
        scenarios: Scenario::ALL
            .into_iter()
            .filter(|s| is_selected("scenario", s.name()))
            .collect(),
        contenders: contenders
            .into_iter()
            .filter(|c| is_selected("only", c.name()))
            .collect(),
        seeds: (number("seed")..number("seed") + number("seeds")).collect(),
        time: Duration::from_secs(number("seconds")),
        threads: args.get_one::<usize>("threads").copied().unwrap_or(1),
    };
    let rows = plan.run();
    if args.get_flag("json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).unwrap_or_default()
        );
    } else {
        rows.iter().for_each(print);
    }
    if rows.is_empty() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn print(row: &Row) {
    let per_tier = |values: &std::collections::BTreeMap<String, f64>, scale: f64, digits: usize| {
        let cells = values
            .iter()
            .map(|(tier, v)| format!("{tier} {:.digits$}", v * scale));
        cells.collect::<Vec<_>>().join("  ")
    };
    println!("{} {} {}", row.deployment, row.scenario, row.contender);
    println!("    goodput %     {}", per_tier(&row.goodput, 100.0, 1));
    println!("    first p95 ms  {}", per_tier(&row.first_p95, 1.0, 0));
    println!("    gap p95 ms    {}", per_tier(&row.gap_p95, 1.0, 0));
    println!("    given up      {}", per_tier(&row.given_up, 1.0, 0));
    println!(
        "    wasted prefill: lost {:.0}, recomputed {:.0}; Jain {:.3}; quiet accounts {:.1} %; {:.0} decisions/s",
        row.wasted_lost,
        row.wasted_recomputed,
        row.jain,
        row.quiet_goodput * 100.0,
        row.decisions_per_second
    );
}
