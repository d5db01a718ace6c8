//! The cost model: how long a request would take on an endpoint.
//!
//! Cost = (waiting + uncached prompt) / prefill rate + expected output x token time, with rates
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

/// Share of a crowded batch that slows each token, at a full batch.
const ENGINE_CONTENTION: f64 = 0.5;
/// Weight of prefill time against the caller's time in the choice of an endpoint.
///
/// Computing a prefix again that another engine has cached costs all later requests, so it weighs
/// more than the time that this caller would save (figures in `docs/design/routing.md`).
const PREFILL_WEIGHT: f64 = 8.0;
/// What a place on an engine of middle speed is worth to the long prompts that come later, in
/// seconds; one on a faster engine is worth more. Short prompts begin in time on any engine, so
/// that they leave the fast ones to those that do not.
const SPARE_SECS: f64 = 0.03;
/// Bounds of the speed of an engine against the declared one, as learned from its tokens.
const SPEEDS: (f64, f64) = (0.25, 4.0);
/// Part of the target beyond which the expected time to the first token is a risk.
const SAFE_PART: f64 = 0.7;
/// Weight of that risk.
const RISK_WEIGHT: f64 = 4.0;
/// Weight of the time to the end of an answer: a long answer holds its place on a slow engine for
/// many times as long as on a fast one, where whatever fails meanwhile breaks it off. With the line for
/// the first token, 0.1 is worth 0.013 of a day against none (ten pairs); 0.2 measured the same.
const STAY_WEIGHT: f64 = 0.1;
/// How much longer than estimated an answer may take: answers of one service differ a hundredfold in
/// length.
const END_MARGIN: f64 = 1.5;
/// Weight of the time by which an answer would miss its caller's time limit.
const OVERRUN_WEIGHT: f64 = 1.0;
/// What another availability zone costs in the choice of an engine, in seconds: bytes between zones
/// are paid for, so that a place nearby is worth a small delay.
const FAR_ENGINE_SECS: f64 = 0.05;
/// The same in the choice of a plain server.
const FAR_PLAIN_SECS: f64 = 0.005;
/// Time that a plain call takes where nothing was learned yet, in seconds.
const PLAIN_SECS: f64 = 0.01;

/// Estimate for one request on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that the endpoint would have to compute.
    pub uncached: u32,
    /// Prompt tokens that it would compute before the first token, those that wait there included.
    pub work: f64,
    /// Seconds to the first token or byte.
    pub first_secs: f64,
    /// Seconds to the end of the answer.
    pub total_secs: f64,
    /// What the choice goes by: the time to the end, with the prefill weighed in.
    pub score: f64,
    /// The part of it by which the answer would be late or cut there.
    pub lateness_cost: f64,
}

impl Estimate {
    /// Gives the time to the first token or byte.
    #[must_use]
    pub fn first(&self) -> Duration {
        Duration::from_secs_f64(self.first_secs)
    }
}

/// Estimates a request on an endpoint; `told` is its pool, where its servers tell their pace.
#[must_use]
pub fn estimate(
    now: Time,
    mechanisms: Mechanisms,
    row: &RequestRow,
    service: &ServiceRow,
    endpoint: &EndpointRow,
    told: Option<&PoolLatency>,
) -> Estimate {
    let told = told.filter(|_| mechanisms.learning);
    if !endpoint.is_engine() {
        let by_pace = told.and_then(|pool| reported_pace::plain(now, endpoint, pool));
        return estimate_plain(mechanisms, endpoint, by_pace);
    }
    let uncached = uncached(now, mechanisms, row, endpoint);
    if let Some(pool) = told.filter(|_| mechanisms.first_token) {
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
            + RISK_WEIGHT * late_risk(service, first_secs)
            + SPARE_SECS * speed(endpoint)
            + STAY_WEIGHT * total_secs
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

/// Gives the seconds that an endpoint as declared works for a request with `output` tokens of answer.
#[must_use]
pub fn declared_secs(row: &RequestRow, endpoint: &EndpointRow, output: f64) -> f64 {
    if !endpoint.is_engine() {
        return PLAIN_SECS;
    }
    let declared = &endpoint.declared;
    let prompt = f64::from(row.new.prompt_tokens) + f64::from(row.delivered);
    prompt / declared.prefill_rate.max(1.0) + output * declared.token_secs()
}

/// Estimates a plain call, of which all that is known is how long the endpoint took before.
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
    let secs = by_pace.unwrap_or(PLAIN_SECS * slowdown * contention(endpoint));
    Estimate {
        uncached: 0,
        work: 0.0,
        first_secs: secs,
        total_secs: secs,
        score: secs,
        lateness_cost: 0.0,
    }
}

/// Gives the part of the time to the first token that puts the target at risk, in seconds.
fn late_risk(service: &ServiceRow, first_secs: f64) -> f64 {
    (first_secs - SAFE_PART * service.tier.target().as_secs_f64()).max(0.0)
}

/// Gives the seconds by which an answer that takes longer than estimated would miss its caller's limit.
fn overrun(now: Time, row: &RequestRow, total_secs: f64) -> f64 {
    let left = row.deadline.map(|by| by.saturating_sub(now).as_secs_f64());
    left.map_or(0.0, |left| (END_MARGIN * total_secs - left).max(0.0))
}

/// Gives how fast an engine makes tokens against what was declared.
fn speed(endpoint: &EndpointRow) -> f64 {
    let declared = endpoint.declared.token_secs();
    (declared / endpoint.token_secs.max(1e-6)).clamp(SPEEDS.0, SPEEDS.1)
}

/// Gives what an endpoint in another availability zone costs in the choice, in seconds.
#[must_use]
pub fn zone_penalty_secs(mechanisms: Mechanisms, zone: &ZoneId, endpoint: &EndpointRow) -> f64 {
    let near = endpoint.declared.zone == *zone || endpoint.declared.zone.is_empty();
    match (mechanisms.prefer_own_zone && !near, endpoint.is_engine()) {
        (false, _) => 0.0,
        (true, true) => FAR_ENGINE_SECS,
        (true, false) => FAR_PLAIN_SECS,
    }
}

/// Estimates the answer's tokens that are still to come, by the mean of the service.
///
/// Callers' own estimates, right at the median and often off by a half, earned nothing here
/// (`docs/design/overload.md`).
#[must_use]
pub fn expected_output(row: &RequestRow, service: &ServiceRow) -> f64 {
    let most = f64::from(row.new.output_tokens.saturating_sub(row.delivered));
    service.output.min(most).max(1.0)
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

/// Gives by how much what runs at an endpoint slows what comes to it.
#[must_use]
pub fn contention(e: &EndpointRow) -> f64 {
    contention_at(e, e.running)
}

/// Gives by how much what runs at an endpoint slows one that runs there.
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
