//! Cost model: estimates how long a request would take on an endpoint.
//!
//! Cost = (waiting + uncached prompt) / prefill rate + expected output x time per token, with rates
//! learned from the endpoint's own answers (see `docs/design/routing.md`).

mod reported_pace;

use std::time::Duration;

use firdock_core::ZoneId;
use firdock_core::prefix::BLOCK_TOKENS;

use crate::request::RequestRow;
use crate::settings::Mechanisms;
use crate::table::endpoint::EndpointRow;
use crate::table::pool_latency::PoolLatency;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Relative slowdown of each token when the engine's batch is full.
const ENGINE_CONTENTION: f64 = 0.5;
/// Weight of prefill time relative to the caller's time when an endpoint is chosen.
///
/// Recomputing a prefix that another engine has cached delays all later requests, so it weighs more
/// than the time that this caller would save (figures in `docs/design/routing.md`).
const PREFILL_WEIGHT: f64 = 8.0;
/// Value, in seconds, of a free slot on an engine of average speed to long prompts that arrive
/// later; a slot on a faster engine is worth more. Short prompts meet the target on any engine, so
/// they leave the fast engines to prompts that do not.
const FREE_SLOT_SECS: f64 = 0.03;
/// Bounds of an engine's speed relative to the declared one, as learned from its tokens.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Fraction of the latency target above which the expected time to the first token is a risk.
const SAFE_FRACTION: f64 = 0.7;
/// Weight of that risk.
const RISK_WEIGHT: f64 = 4.0;
/// Weight of the total time of an answer: a long answer occupies a slot on a slow engine many times
/// as long as on a fast one, and any failure in that time breaks it off.
const TOTAL_WEIGHT: f64 = 0.1;
/// Factor by which an answer may take longer than estimated: answers of one service differ a
/// hundredfold in length.
const OVERRUN_FACTOR: f64 = 1.5;
/// Weight of the time by which an answer would exceed its caller's deadline.
const OVERRUN_WEIGHT: f64 = 1.0;
/// Penalty for an engine in another availability zone, in seconds: traffic between availability
/// zones is paid for, so an engine nearby is worth a small delay.
const ZONE_PENALTY_ENGINE_SECS: f64 = 0.05;
/// The same penalty for a plain server.
const ZONE_PENALTY_PLAIN_SECS: f64 = 0.005;
/// Assumed duration of a plain call before any was observed, in seconds.
const DEFAULT_PLAIN_SECS: f64 = 0.01;

/// Estimate for one request on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that the endpoint would have to compute.
    pub uncached: u32,
    /// Prompt tokens that it would compute before the first token, including those already waiting.
    pub work: f64,
    /// Seconds to the first token or byte.
    pub first_secs: f64,
    /// Seconds to the end of the answer.
    pub total_secs: f64,
    /// Score that endpoints are compared by, lowest first: the total time, weighted with the
    /// prefill.
    pub score: f64,
    /// The part of the score due to the answer being late or cut off there.
    pub lateness_cost: f64,
}

impl Estimate {
    /// Returns the time to the first token or byte.
    #[must_use]
    pub fn first(&self) -> Duration {
        Duration::from_secs_f64(self.first_secs)
    }
}

/// Estimates a request on an endpoint; `pool` is its pool's latency model, if its servers report
/// their pace.
#[must_use]
pub fn estimate(
    now: Time,
    mechanisms: Mechanisms,
    row: &RequestRow,
    service: &ServiceRow,
    endpoint: &EndpointRow,
    pool: Option<&PoolLatency>,
) -> Estimate {
    let pool = pool.filter(|_| mechanisms.learning);
    if !endpoint.is_engine() {
        let by_pace = pool.and_then(|pool| reported_pace::plain(now, endpoint, pool));
        return estimate_plain(mechanisms, endpoint, by_pace);
    }
    let uncached = uncached(now, mechanisms, row, endpoint);
    if let Some(pool) = pool.filter(|_| mechanisms.first_token) {
        return reported_pace::engine(now, row, service, endpoint, pool, uncached);
    }
    let work = endpoint.waiting_tokens(now) + f64::from(uncached);
    let declared = &endpoint.declared;
    let (first_secs, token_secs) = if mechanisms.learning {
        (endpoint.first_token_fit.at(work), endpoint.token_secs)
    } else {
        (work / declared.prefill_rate, declared.token_secs())
    };
    let token = token_secs * contention(endpoint);
    let output = expected_output(row, service);
    let total_secs = first_secs + output * token;
    let weight = if mechanisms.affinity {
        PREFILL_WEIGHT
    } else {
        0.0
    };
    let score = if mechanisms.first_token {
        first_secs
            + RISK_WEIGHT * lateness_risk(service, first_secs)
            + FREE_SLOT_SECS * relative_speed(endpoint)
            + TOTAL_WEIGHT * total_secs
            + OVERRUN_WEIGHT * overrun(now, row, total_secs)
    } else {
        total_secs + weight * f64::from(uncached) / declared.prefill_rate
    };
    Estimate {
        uncached,
        work,
        first_secs,
        total_secs,
        score,
        lateness_cost: 0.0,
    }
}

/// Returns the seconds that an endpoint, at its declared rates, works on a request with `output`
/// tokens of answer.
#[must_use]
pub fn declared_secs(row: &RequestRow, endpoint: &EndpointRow, output: f64) -> f64 {
    if !endpoint.is_engine() {
        return DEFAULT_PLAIN_SECS;
    }
    let declared = &endpoint.declared;
    let prompt = f64::from(row.new.prompt_tokens) + f64::from(row.delivered);
    prompt / declared.prefill_rate.max(1.0) + output * declared.token_secs()
}

/// Estimates a plain call, for which only earlier response times are known.
fn estimate_plain(
    mechanisms: Mechanisms,
    endpoint: &EndpointRow,
    by_pace: Option<f64>,
) -> Estimate {
    let slowdown = if mechanisms.learning {
        endpoint.slowdown
    } else {
        1.0
    };
    let secs = by_pace.unwrap_or(DEFAULT_PLAIN_SECS * slowdown * contention(endpoint));
    Estimate {
        uncached: 0,
        work: 0.0,
        first_secs: secs,
        total_secs: secs,
        score: secs,
        lateness_cost: 0.0,
    }
}

/// Returns by how many seconds the time to the first token puts the target at risk.
fn lateness_risk(service: &ServiceRow, first_secs: f64) -> f64 {
    (first_secs - SAFE_FRACTION * service.tier.target().as_secs_f64()).max(0.0)
}

/// Returns by how many seconds an answer slower than estimated would exceed its caller's deadline.
fn overrun(now: Time, row: &RequestRow, total_secs: f64) -> f64 {
    let left = row.deadline.map(|by| by.saturating_sub(now).as_secs_f64());
    left.map_or(0.0, |left| (OVERRUN_FACTOR * total_secs - left).max(0.0))
}

/// Returns an engine's token rate relative to the declared one.
fn relative_speed(endpoint: &EndpointRow) -> f64 {
    let declared = endpoint.declared.token_secs();
    (declared / endpoint.token_secs.max(1e-6)).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
}

/// Returns the penalty for an endpoint in another availability zone, in seconds.
#[must_use]
pub fn zone_penalty_secs(mechanisms: Mechanisms, zone: &ZoneId, endpoint: &EndpointRow) -> f64 {
    let near = endpoint.declared.zone == *zone || endpoint.declared.zone.is_empty();
    match (mechanisms.prefer_own_zone && !near, endpoint.is_engine()) {
        (false, _) => 0.0,
        (true, true) => ZONE_PENALTY_ENGINE_SECS,
        (true, false) => ZONE_PENALTY_PLAIN_SECS,
    }
}

/// Estimates the remaining tokens of the answer by the mean of the service.
///
/// Callers' own estimates, correct at the median but often off by half, brought no improvement
/// (`docs/design/overload.md`).
#[must_use]
pub fn expected_output(row: &RequestRow, service: &ServiceRow) -> f64 {
    let max_output = f64::from(row.new.output_tokens.saturating_sub(row.delivered));
    service.output.min(max_output).max(1.0)
}

fn uncached(now: Time, mechanisms: Mechanisms, row: &RequestRow, e: &EndpointRow) -> u32 {
    let prompt = row.new.prompt_tokens + row.delivered;
    if !mechanisms.affinity {
        return prompt;
    }
    let blocks = e.cache.matched_blocks(now, &row.new.blocks) as u32;
    prompt.saturating_sub(blocks * BLOCK_TOKENS).max(1)
}

fn load(e: &EndpointRow) -> f64 {
    f64::from(e.running) / f64::from(e.budget.max(1))
}

/// Returns the factor by which the requests running at an endpoint slow a new one.
#[must_use]
pub fn contention(e: &EndpointRow) -> f64 {
    contention_at(e, e.running)
}

/// Returns the factor by which the other requests at an endpoint slow one that runs there.
#[must_use]
pub fn contention_from_others(e: &EndpointRow) -> f64 {
    contention_at(e, e.running.saturating_sub(1))
}

fn contention_at(e: &EndpointRow, running: u32) -> f64 {
    let load = f64::from(running) / f64::from(e.budget.max(1));
    let weight = if e.is_engine() {
        ENGINE_CONTENTION
    } else {
        1.0
    };
    1.0 + weight * load
}
