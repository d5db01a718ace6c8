//! Endpoints: what is declared, learned, reported and dispatched.

use std::time::Duration;

use firdock_core::StartId;
use firdock_core::resource::{Endpoint, EndpointKind};

use super::linear_fit::LinearFit;
use super::notices::Notices;
use super::prefix_cache::PrefixCache;
use super::reported_pace::ReportedPace;
use super::rows::Rows;
pub use super::unavailable::{LeavingSource, UnavailableReason};
use crate::time::Time;

/// Table of endpoints.
pub type Endpoints = Rows<EndpointRow>;

impl Endpoints {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds the row of one start of an endpoint by the name that another instance told.
    ///
    /// A start that is over, or not known here yet, has none. A name without a start stands for the
    /// present one, for that is how instances name it that know of none.
    #[must_use]
    pub fn find_start(&self, told: &str) -> Option<usize> {
        if let Some(at) = self.find(told) {
            return Some(at);
        }
        let (name, _start) = told.rsplit_once('@')?;
        self.find(name).filter(|at| self.get(*at).start_id == told)
    }
}

/// First pause of an ejected endpoint; it doubles with each further failure.
const EJECT_BASE: Duration = Duration::from_millis(500);
/// Longest pause of an ejected endpoint.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Missed reports after which an endpoint is ejected.
pub const MISSED_REPORTS: u32 = 4;
/// Time for which what an endpoint said is kept after the configuration lost it. Outages of a store in
/// which entries lapse last seconds to minutes, and endpoints that leave are gone in less; a name that
/// is out of use for longer costs no row any more.
const NOTICE_KEEP: Duration = Duration::from_mins(10);
/// Weight of a new sample in learned rates.
const LEARN: f64 = 0.2;
/// Seconds to the first token of an engine that has no prompt to compute, before any was seen; those
/// of two sites took 0.045 on their fast engines and 0.07 on slow ones.
const FIRST_SECS: f64 = 0.045;
/// Prompt tokens over which the assumed time for each token is taken: about a middle prompt, so that
/// what is seen soon outweighs it.
const FIRST_SPAN: f64 = 5_000.0;
/// Least prompt tokens a second that are assumed, so that no declared rate makes the line endless.
const LEAST_RATE: f64 = 1.0;
/// Bounds of the learned slowdown.
const SLOWDOWN: (f64, f64) = (0.5, 32.0);
/// Age after which a load report no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(10);

/// Health of an endpoint as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Healthy,
    /// Takes no work until the time given.
    Ejected(Time),
    /// Takes one request at a time until one succeeds.
    Probing,
}

/// A look at an endpoint that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessCheck {
    /// When it began.
    pub began: Time,
    /// Whether something broke there since, of which it says nothing.
    pub again: bool,
}

/// Load that an endpoint reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reported {
    /// When the endpoint took the reading, by this process's clock.
    pub taken: Time,
    /// Prompt tokens that it had yet to compute.
    pub backlog: u32,
    /// Prompt tokens of this instance among them.
    pub own_backlog: f64,
}

/// One endpoint.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is told by another source"
)]
pub struct EndpointRow {
    /// What operators declared.
    pub declared: Endpoint,
    /// Name of this start of it, by which requests know where they went.
    pub start_id: StartId,
    /// Whether a later start has taken its place: it gets nothing more then, and the row goes with the
    /// last request that was sent there.
    replaced: bool,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// When the configuration lost it.
    pub absent_since: Option<Time>,
    /// Whether the instance list shows it as leaving.
    pub listed_leaving: bool,
    /// Whether the endpoint itself said that it is leaving.
    pub reported_leaving: bool,
    /// Whether a peer said that it is leaving, and until when that counts.
    pub peer_leaving: Option<Time>,
    /// Health.
    pub health: Health,
    /// Failures in a row.
    pub failures: u32,
    /// Dispatches that broke in a row.
    pub broken: u32,
    /// Whether it is being looked whether it is still there.
    pub liveness_check: Option<LivenessCheck>,
    /// Missed reports in a row.
    pub missed: u32,
    /// Requests of this instance dispatched and not ended.
    pub running: u32,
    /// Prompt tokens of this instance that it has yet to compute, as estimated.
    pub backlog: f64,
    /// Seconds for each token, learned.
    pub token_secs: f64,
    /// Observed over assumed time of a plain server, learned.
    pub slowdown: f64,
    /// Samples that the slowdown was learned from.
    pub firsts: u32,
    /// Seconds to an engine's first token by the prompt tokens that it computes before, learned.
    pub first_token_fit: LinearFit,
    /// Samples that the time for each token was learned from.
    pub streams: u32,
    /// What it said of itself with its answers.
    pub notices: Notices,
    /// What it told of its pace.
    pub reported_pace: ReportedPace,
    /// Last report.
    pub report: Option<Reported>,
    /// Believed prefix cache.
    pub cache: PrefixCache,
    /// Requests that this instance may have there at once.
    pub budget: u32,
    /// Since when it is held back for its version, which is rare in its pool: until no order can be
    /// missing that would concern it.
    pub held_since: Option<Time>,
}

/// Gives the weight of one more sample: the first ones count evenly, so that an endpoint whose
/// speed is not known yet is known soon.
fn weight(samples: &mut u32) -> f64 {
    *samples = samples.saturating_add(1);
    LEARN.max(1.0 / f64::from(*samples))
}

impl EndpointRow {
    /// Makes a row from what operators declared.
    #[must_use]
    pub fn new(declared: Endpoint) -> Self {
        let token_secs = declared.token_secs();
        let rate = declared.prefill_rate;
        Self {
            budget: declared.slots,
            start_id: declared.start_id(),
            replaced: false,
            declared,
            present: true,
            absent_since: None,
            listed_leaving: false,
            reported_leaving: false,
            peer_leaving: None,
            health: Health::Healthy,
            failures: 0,
            broken: 0,
            liveness_check: None,
            missed: 0,
            running: 0,
            backlog: 0.0,
            token_secs,
            slowdown: 1.0,
            firsts: 0,
            first_token_fit: LinearFit::new(
                FIRST_SECS,
                FIRST_SPAN,
                FIRST_SPAN / rate.max(LEAST_RATE),
            ),
            streams: 0,
            notices: Notices::default(),
            reported_pace: ReportedPace::default(),
            report: None,
            cache: PrefixCache::default(),
            held_since: None,
        }
    }

    /// Tells whether a declaration is of another start of the endpoint.
    #[must_use]
    pub fn is_other_start(&self, declared: &Endpoint) -> bool {
        self.declared.started != declared.started
    }

    /// Takes it that a later start has taken its place.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
        self.present = false;
    }

    /// Tells whether a later start has taken its place.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Tells whether it is a model engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.declared.backend == EndpointKind::Engine
    }

    /// Tells whether it is leaving, by whichever word came first.
    #[must_use]
    pub fn leaving(&self, now: Time) -> bool {
        self.leaving_source(now).is_some()
    }

    /// Gives who says that it is leaving, the endpoint itself first.
    #[must_use]
    pub fn leaving_source(&self, now: Time) -> Option<LeavingSource> {
        let by_peer = self.peer_leaving.is_some_and(|until| until > now);
        let said = [
            (
                self.notices.leaving_since().is_some(),
                LeavingSource::Answer,
            ),
            (self.reported_leaving, LeavingSource::Report),
            (self.declared.leaving, LeavingSource::Declared),
            (self.listed_leaving, LeavingSource::List),
            (by_peer, LeavingSource::Peer),
        ];
        let first = said.into_iter().find(|(said, _)| *said);
        first.map(|(_, source)| source)
    }

    /// Tells whether this instance knows of the leaving by itself, and may tell peers.
    #[must_use]
    pub fn is_leaving_known_directly(&self, now: Time) -> bool {
        let source = self.leaving_source(now);
        source.is_some_and(|s| s != LeavingSource::Peer)
    }

    /// Tells whether nothing that was seen of it speaks against it.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Tells whether it may get work of an instance now, or why not.
    ///
    /// All that is sent goes by this, up to the write: first tries, repeats, probes, requests that go on
    /// after another endpoint, and places that a coordinator gives. While each way knew an endpoint by
    /// the list, by peers and by failures alone, two of six that asked for 3 s got 108 requests in them,
    /// and 5 of 120 callers were served; by this it is none and 120 (40 requests a second in virtual
    /// time, half of what the other four bear). `member` is the instance that sends, empty for the own one.
    ///
    /// # Errors
    ///
    /// Fails with why it may not; what the endpoint itself said goes before what was seen of it.
    pub fn check_available(&self, member: &str, now: Time) -> Result<(), UnavailableReason> {
        if !self.present {
            return Err(UnavailableReason::Absent);
        }
        if self.leaving(now) {
            return Err(UnavailableReason::Leaving);
        }
        if let Some(backoff) = self.notices.backoff(member, now) {
            return Err(UnavailableReason::BackingOff(backoff.until));
        }
        match self.health {
            Health::Ejected(until) if until > now => Err(UnavailableReason::Ejected),
            Health::Probing if self.running > 0 => Err(UnavailableReason::Probing),
            _ => Ok(()),
        }
    }

    /// Tells whether new work of this instance may go to it at all.
    #[must_use]
    pub fn usable(&self, now: Time) -> bool {
        self.check_available("", now).is_ok()
    }

    /// Tells whether the row goes on, though the configuration lost it, for what the endpoint said.
    ///
    /// An entry of an endpoint that lives lapses while the platform's store is away, and comes back as
    /// it was before: its next row would know nothing of a word that still holds.
    #[must_use]
    pub fn keeps_notices(&self, now: Time) -> bool {
        let kept = self.absent_since.is_some_and(|at| at + NOTICE_KEEP > now);
        kept && !self.replaced && self.notices.any_in_effect(now)
    }

    /// Notes a failure and ejects the endpoint for a while, longer for each failure in a row.
    pub fn eject(&mut self, now: Time) {
        let doublings = self.failures.min(6);
        self.failures += 1;
        let pause = (EJECT_BASE * 2_u32.pow(doublings)).min(EJECT_MAX);
        self.health = Health::Ejected(now + pause);
    }

    /// Notes a success.
    pub fn recover(&mut self) {
        self.failures = 0;
        self.broken = 0;
        self.health = Health::Healthy;
    }

    /// Learns from the time to the first token of a dispatch that had `work` prompt tokens before it.
    ///
    /// A prompt takes a time of its own and one for each token: reckoned by a common factor, what
    /// short prompts teach made long ones appear three times as slow as they were.
    pub fn learn_first(&mut self, work: f64, observed: Duration) {
        self.first_token_fit.learn(work, observed.as_secs_f64());
    }

    /// Learns from the time to the first byte of a plain server.
    pub fn learn_plain(&mut self, predicted: Duration, observed: Duration) {
        let ratio = observed.as_secs_f64() / predicted.as_secs_f64().max(0.005);
        let sample = (self.slowdown * ratio).clamp(SLOWDOWN.0, SLOWDOWN.1);
        self.slowdown += weight(&mut self.firsts) * (sample - self.slowdown);
    }

    /// Learns from the time that `tokens` tokens after the first took.
    pub fn learn_tokens(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let sample = took.as_secs_f64() / f64::from(tokens);
            self.token_secs += weight(&mut self.streams) * (sample - self.token_secs);
        }
    }

    /// Estimates the prompt tokens that wait there, with the stale report corrected.
    ///
    /// What the report counted of this instance's own is taken out and replaced by what this
    /// instance knows now, so that a dispatch since the report's time counts at once.
    #[must_use]
    pub fn waiting_tokens(&self, now: Time) -> f64 {
        let Some(r) = self.report.filter(|r| r.taken + REPORT_AGE > now) else {
            return self.backlog;
        };
        let others = (f64::from(r.backlog) - r.own_backlog).max(0.0);
        self.backlog + others
    }
}
