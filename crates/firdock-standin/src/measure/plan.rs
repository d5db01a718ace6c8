//! Plan of a measurement: deployments, scenarios and policies, with medians over the seeds.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use firdock_core::settings::Settings;
use firdock_policy::event::Member;
use firdock_policy::{Mechanisms, PolicySettings, Scheduler};
use serde::Serialize;
use uuid::Uuid;

use super::baseline::{Baseline, Choice};
use super::run::{RunSettings, run};
use super::scenario::Scenario;
use super::score::Score;
use crate::workload::Deployment;

/// Maximum number of requests that an instance queues.
const MAX_HELD: usize = 400;

/// A policy under measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Contender {
    /// Firdock's policy with all mechanisms.
    Firdock,
    /// Baseline: one endpoint after another.
    RoundRobin,
    /// Baseline: the endpoint with the least reported load.
    LeastReported,
    /// Baseline: the less loaded of two endpoints drawn at random.
    TwoChoices,
    /// Firdock without queueing requests until an endpoint has capacity.
    NoLateBinding,
    /// Firdock without taking cached prefixes into account.
    NoAffinity,
    /// Firdock without learned rates.
    NoLearning,
    /// Firdock with equal budgets, whatever demand the peers report.
    NoDemandShares,
    /// Firdock without ejecting failing endpoints.
    NoEjection,
    /// Firdock without resuming streams.
    NoResume,
    /// Firdock with the requests of all client accounts in one queue.
    NoFairShares,
    /// Firdock without serving late requests last.
    NoLateLast,
    /// Firdock without a short wait for an endpoint that has the prefix cached.
    NoWaiting,
}

impl Contender {
    /// Firdock's policy and the baselines.
    pub const MAIN: [Self; 4] = [
        Self::Firdock,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
    ];
    /// Firdock's policy with one mechanism switched off.
    pub const WITHOUT: [Self; 9] = [
        Self::NoLateBinding,
        Self::NoAffinity,
        Self::NoLearning,
        Self::NoDemandShares,
        Self::NoEjection,
        Self::NoResume,
        Self::NoFairShares,
        Self::NoLateLast,
        Self::NoWaiting,
    ];

    /// Returns the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Firdock => "firdock",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::NoLateBinding => "no-late-binding",
            Self::NoAffinity => "no-affinity",
            Self::NoLearning => "no-learning",
            Self::NoDemandShares => "no-demand-shares",
            Self::NoEjection => "no-ejection",
            Self::NoResume => "no-resume",
            Self::NoFairShares => "no-fair-shares",
            Self::NoLateLast => "no-late-last",
            Self::NoWaiting => "no-waiting",
        }
    }

    fn baseline(self) -> Option<Choice> {
        match self {
            Self::RoundRobin => Some(Choice::RoundRobin),
            Self::LeastReported => Some(Choice::LeastReported),
            Self::TwoChoices => Some(Choice::TwoChoices),
            _ => None,
        }
    }

    fn mechanisms(self) -> Mechanisms {
        let all = Mechanisms::ALL;
        match self {
            Self::NoLateBinding => Mechanisms {
                late_binding: false,
                ..all
            },
            Self::NoAffinity => Mechanisms {
                affinity: false,
                ..all
            },
            Self::NoLearning => Mechanisms {
                learning: false,
                ..all
            },
            Self::NoDemandShares => Mechanisms {
                demand_shares: false,
                ..all
            },
            Self::NoEjection => Mechanisms {
                ejection: false,
                ..all
            },
            Self::NoResume => Mechanisms {
                resume: false,
                ..all
            },
            Self::NoLateLast => Mechanisms {
                late_last: false,
                ..all
            },
            Self::NoWaiting => Mechanisms {
                wait_for_cache: false,
                ..all
            },
            _ => all,
        }
    }

    fn run(self, settings: RunSettings) -> Score {
        if let Some(choice) = self.baseline() {
            return run(settings, |i| {
                Baseline::new(choice, settings.seed + i as u64)
            });
        }
        let settings = RunSettings {
            one_account: self == Self::NoFairShares,
            ..settings
        };
        run(settings, |i| {
            Scheduler::new(policy_settings(i, self.mechanisms()))
        })
    }
}

fn policy_settings(i: usize, mechanisms: Mechanisms) -> PolicySettings {
    let mut s = PolicySettings::new(&Settings::default(), Uuid::from_u64_pair(0, i as u64));
    s.member = Member {
        name: format!("node-{i}"),
        incarnation: s.member.incarnation,
    };
    s.max_held = MAX_HELD;
    s.with_mechanisms(mechanisms)
}

/// One combination of deployment, scenario and policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cell {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Policy.
    pub contender: Contender,
}

/// Combinations and seeds to measure.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Deployments.
    pub deployments: Vec<Deployment>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
    /// Policies.
    pub contenders: Vec<Contender>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Time for which requests arrive in each run.
    pub time: Duration,
    /// Number of concurrent runs.
    pub threads: usize,
}

/// Medians over the seeds of one cell.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Policy.
    pub contender: &'static str,
    /// Goodput by tier, as a fraction of the requests offered.
    pub goodput: BTreeMap<String, f64>,
    /// 95th percentile of the time to the first token or byte by tier, in milliseconds.
    pub first_p95: BTreeMap<String, f64>,
    /// 95th percentile of the mean time between tokens by tier, in milliseconds.
    pub gap_p95: BTreeMap<String, f64>,
    /// Number of requests given up, by tier.
    pub given_up: BTreeMap<String, f64>,
    /// Prompt tokens whose computation was lost with an endpoint or an instance.
    pub wasted_lost: f64,
    /// Prompt tokens computed though another engine had them cached.
    pub wasted_recomputed: f64,
    /// Jain's fairness index over the client accounts.
    pub jain: f64,
    /// Goodput of model calls over all client accounts but the one that sent most.
    pub quiet_goodput: f64,
    /// Decisions per second of processor time.
    pub decisions_per_second: f64,
}

impl Plan {
    /// Runs every combination with every seed; returns one row per combination, in the plan's order.
    #[must_use]
    pub fn run(&self) -> Vec<Row> {
        let cells = self.cells();
        let jobs: Vec<(usize, u64)> = (0..cells.len())
            .flat_map(|cell| self.seeds.iter().map(move |seed| (cell, *seed)))
            .collect();
        let next = AtomicUsize::new(0);
        let scores: Mutex<BTreeMap<usize, Vec<Score>>> = Mutex::default();
        thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| {
                    while let Some((cell, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let score = self.run_one(cells[*cell], *seed);
                        if let Ok(mut scores) = scores.lock() {
                            scores.entry(*cell).or_default().push(score);
                        }
                    }
                });
            }
        });
        let scores = scores.into_inner().unwrap_or_default();
        scores
            .iter()
            .map(|(cell, scores)| row(cells[*cell], scores))
            .collect()
    }

    fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        for &deployment in &self.deployments {
            for &scenario in &self.scenarios {
                for &contender in &self.contenders {
                    cells.push(Cell {
                        deployment,
                        scenario,
                        contender,
                    });
                }
            }
        }
        cells
    }

    fn run_one(&self, cell: Cell, seed: u64) -> Score {
        let (deployment, scenario) = (cell.deployment, cell.scenario);
        cell.contender.run(RunSettings {
            deployment,
            scenario,
            seed,
            time: self.time,
            one_account: false,
        })
    }
}

fn row(cell: Cell, scores: &[Score]) -> Row {
    let by_tier = |value: fn(&super::score::TierScore) -> f64| {
        let names = scores.iter().flat_map(|s| s.tiers.keys().cloned());
        let of = |name: &String| median(scores.iter().filter_map(|s| s.tiers.get(name)).map(value));
        names.map(|name| (name.clone(), of(&name))).collect()
    };
    Row {
        deployment: cell.deployment.name(),
        scenario: cell.scenario.name(),
        contender: cell.contender.name(),
        goodput: by_tier(super::score::TierScore::goodput),
        first_p95: by_tier(|t| t.first_p95),
        gap_p95: by_tier(|t| t.gap_p95),
        given_up: by_tier(|t| t.given_up as f64),
        wasted_lost: median(scores.iter().map(|s| s.wasted_lost as f64)),
        wasted_recomputed: median(scores.iter().map(|s| s.wasted_recomputed as f64)),
        jain: median(scores.iter().map(|s| s.jain)),
        quiet_goodput: median(scores.iter().map(|s| s.quiet_goodput)),
        decisions_per_second: median(scores.iter().map(|s| s.decisions_per_second)),
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
