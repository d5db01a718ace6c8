//! Score of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// Score of one tier.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TierScore {
    /// Requests that arrived.
    pub offered: u64,
    /// Complete answers that started within the tier's target.
    pub good: u64,
    /// Complete answers.
    pub answered: u64,
    /// Requests without a complete answer.
    pub given_up: u64,
    /// 95th percentile of the time to the first token or byte, in milliseconds.
    pub first_p95: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    pub gap_p95: f64,
}

impl TierScore {
    /// Returns the goodput as a fraction of the requests offered.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            1.0
        } else {
            self.good as f64 / self.offered as f64
        }
    }
}

/// Score of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Score {
    /// Scores by name of the tier.
    pub tiers: BTreeMap<String, TierScore>,
    /// Prompt tokens whose computation was lost with an endpoint or an instance.
    pub wasted_lost: u64,
    /// Prompt tokens computed though another engine had them cached.
    pub wasted_recomputed: u64,
    /// Jain's fairness index over the client accounts' goodput, each as a fraction of what it offered.
    pub jain: f64,
    /// Goodput of model calls over all client accounts but the one that sent most.
    pub quiet_goodput: f64,
    /// Decisions per second of processor time, over all instances.
    pub decisions_per_second: f64,
}

impl Score {
    /// Returns the total wasted prefill, in tokens.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.wasted_lost + self.wasted_recomputed
    }
}

/// Timeline of one request, as its caller sees it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Tier.
    pub tier: &'static str,
    /// Target for the first token or byte.
    pub target: Duration,
    /// Index of the client account.
    pub account: usize,
    /// Time of arrival.
    pub arrived: Duration,
    /// Time of the first token or byte.
    pub first: Option<Duration>,
    /// Time at which the answer was complete.
    pub ended: Option<Duration>,
    /// Length of the answer, in tokens.
    pub tokens: u32,
}

impl Record {
    fn is_good(&self) -> bool {
        let in_time = self
            .first
            .is_some_and(|f| f.saturating_sub(self.arrived) <= self.target);
        self.ended.is_some() && in_time
    }
}

/// Computes the score of a run from its records.
pub fn sum<'a>(records: impl Iterator<Item = &'a Record>) -> Score {
    let mut score = Score::default();
    let mut first_times: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut token_gaps: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut accounts: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    let mut model_calls: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
    for r in records {
        let tier = score.tiers.entry(r.tier.to_owned()).or_default();
        let account = accounts.entry(r.account).or_default();
        tier.offered += 1;
        account.0 += 1;
        let model = model_calls.entry(r.account).or_default();
        model.0 += u64::from(r.tokens > 0);
        model.1 += u64::from(r.tokens > 0 && r.is_good());
        let (Some(first), Some(ended)) = (r.first, r.ended) else {
            tier.given_up += 1;
            continue;
        };
        tier.answered += 1;
        tier.good += u64::from(r.is_good());
        account.1 += u64::from(r.is_good());
        let millis = |d: Duration| d.as_secs_f64() * 1e3;
        first_times
            .entry(r.tier.to_owned())
            .or_default()
            .push(millis(first.saturating_sub(r.arrived)));
        if r.tokens > 1 {
            let gap = millis(ended.saturating_sub(first)) / f64::from(r.tokens - 1);
            token_gaps.entry(r.tier.to_owned()).or_default().push(gap);
        }
    }
    for (name, tier) in &mut score.tiers {
        tier.first_p95 = p95(first_times.remove(name));
        tier.gap_p95 = p95(token_gaps.remove(name));
    }
    score.quiet_goodput = quiet_goodput(&model_calls);
    score.jain = jain(
        accounts
            .values()
            .map(|(offered, good)| *good as f64 / *offered as f64),
    );
    score
}

/// Returns the goodput over all client accounts but the one that offered most.
fn quiet_goodput(accounts: &BTreeMap<usize, (u64, u64)>) -> f64 {
    let largest = accounts
        .iter()
        .max_by_key(|(_, (offered, _))| *offered)
        .map(|(a, _)| *a);
    let others = || {
        accounts
            .iter()
            .filter(|(a, _)| Some(**a) != largest)
            .map(|(_, n)| *n)
    };
    let (offered, good) = others().fold((0, 0), |sum, n| (sum.0 + n.0, sum.1 + n.1));
    if offered == 0 {
        1.0
    } else {
        good as f64 / offered as f64
    }
}

fn p95(values: Option<Vec<f64>>) -> f64 {
    let mut values = values.unwrap_or_default();
    values.sort_by(f64::total_cmp);
    let index = (values.len() * 95).div_ceil(100).saturating_sub(1);
    values.get(index).copied().unwrap_or(0.0)
}

fn jain(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let (n, sum) = (values.clone().count() as f64, values.clone().sum::<f64>());
    let squares: f64 = values.map(|v| v * v).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (n * squares)
    }
}
