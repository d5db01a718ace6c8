//! Endpoints: what is declared, learned, reported and dispatched.

use std::time::Duration;

use firdock_core::StartId;
use firdock_core::resource::{Endpoint, EndpointKind};

use super::endpoint_limit::EndpointLimit;
use super::linear_fit::LinearFit;
use super::link::EndpointLink;
use super::notices::Notices;
use super::prefix_cache::PrefixCache;
use super::reported_pace::ReportedPace;
use super::rows::Rows;
pub use super::unavailable::{LeavingSource, UnavailableReason};
use crate::time::Time;

/// Table of endpoints.
pub type Endpoints = Rows<EndpointRow>;

impl Endpoints {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds the row of one start of an endpoint by the name that another instance reported.
    ///
    /// A start that has ended, or is not known here yet, has no row. A name without a start denotes
    /// the present start: instances that know of none use that form.
    #[must_use]
    pub fn find_start(&self, reported_name: &str) -> Option<usize> {
        if let Some(at) = self.find(reported_name) {
            return Some(at);
        }
        let (name, _start) = reported_name.rsplit_once('@')?;
        self.find(name)
            .filter(|at| self.get(*at).start_id == reported_name)
    }
}

/// Duration of an endpoint's first ejection; it doubles with each further failure.
const EJECTION_BASE: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Number of consecutive missed reports after which an endpoint is ejected.
pub const MISSED_REPORTS: u32 = 4;
/// Time for which an endpoint's notices are kept after the configuration lost it. Store outages
/// during which entries lapse last seconds to minutes, and endpoints that leave are gone sooner; a
/// name unused for longer takes up no row.
const NOTICE_RETENTION: Duration = Duration::from_mins(10);
/// Weight of a new sample in learned rates.
const LEARN_WEIGHT: f64 = 0.2;
/// Assumed seconds to the first token of an engine without a prompt, before any was observed; two
/// sites measured 0.045 on fast engines and 0.07 on slow ones.
const DEFAULT_FIRST_TOKEN_SECS: f64 = 0.045;
/// Prompt tokens over which the assumed time per token extends: an average prompt, so that
/// observations soon outweigh the assumption.
const DEFAULT_SPAN: f64 = 5_000.0;
/// Minimum prompt tokens per second assumed, so that no declared rate makes the fit infinite.
const MIN_PREFILL_RATE: f64 = 1.0;
/// Bounds of the learned slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 32.0);
/// Age after which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Health of an endpoint as this instance observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts work.
    Healthy,
    /// Gets no work until the given time.
    Ejected(Time),
    /// Gets one request at a time until one succeeds.
    Probing,
}

/// A liveness check of an endpoint that is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessCheck {
    /// When it began.
    pub began: Time,
    /// Whether something else broke there since, which this check does not cover.
    pub again: bool,
}

/// Longest time between two entries of a start that are read. If none is read for longer, as while the store is down or
/// after the start of this instance, the process at the address may be another one without any sign of it.
const MAX_RENEWAL_TIME: Duration = Duration::from_secs(5);

/// From when on it is not known whether the process at an endpoint's address is the one that wrote its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unconfirmed {
    /// When the process last showed that it was alive.
    pub since: Time,
    /// When the request was sent whose answer showed it, if it was an answer.
    pub shown_by: Option<Time>,
    /// When a connection to it was first seen to break.
    pub first_break: Time,
    /// When one was last seen to break. An entry that was written later confirms the process.
    pub last_break: Time,
}

/// Connections without requests that are kept to an endpoint: the end of its process closes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watch {
    /// There are none. New ones are opened from this time on.
    None(Time),
    /// They are being opened.
    Opening,
    /// The process that has the address has been the same since this time.
    Open(Time),
}

impl Watch {
    /// No connections, and new ones may be opened at once.
    pub const NONE: Self = Self::None(Time::ZERO);
}

/// Load that an endpoint reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reported {
    /// When the endpoint measured it, by this process's clock.
    pub taken: Time,
    /// Prompt tokens yet to be computed.
    pub backlog: u32,
    /// Those of them that belong to this instance's requests.
    pub own_backlog: f64,
}

/// One endpoint.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag has a different source"
)]
pub struct EndpointRow {
    /// Declaration by the operators.
    pub declared: Endpoint,
    /// Id of this start, which requests record when they are sent there.
    pub start_id: StartId,
    /// Whether a later start has replaced it: it then gets no more requests, and the row is removed
    /// with the last request that was sent there.
    replaced: bool,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// When the configuration lost it.
    pub absent_since: Option<Time>,
    /// Whether the instance list shows it as leaving.
    pub listed_leaving: bool,
    /// Whether the endpoint itself reported that it is leaving.
    pub reported_leaving: bool,
    /// Until when a peer's report that it is leaving counts, if there is one.
    pub peer_leaving: Option<Time>,
    /// Health.
    pub health: Health,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive broken dispatches.
    pub broken: u32,
    /// When an own connection to it last closed before the end of an answer.
    pub last_break: Option<Time>,
    /// When it last refused a connection.
    pub last_refusal: Option<Time>,
    /// Since when it refuses connections.
    pub refuses_since: Option<Time>,
    /// A time at which the process that wrote the entry was still alive.
    pub confirmed_at: Time,
    /// Set while another process may have taken its place.
    pub unconfirmed: Option<Unconfirmed>,
    /// Connections without requests that are kept to it.
    pub watch: Watch,
    /// When it last closed all of them.
    pub watch_closed: Option<Time>,
    /// Start of the last liveness check, if it found that a process listens.
    pub open_at: Option<Time>,
    /// The liveness check in progress, if any.
    pub liveness_check: Option<LivenessCheck>,
    /// When the liveness check through a peer began that is in progress.
    pub peer_check: Option<Time>,
    /// Consecutive missed reports.
    pub missed: u32,
    /// Requests that this instance has dispatched there and that have not ended.
    pub running: u32,
    /// Estimated prompt tokens of this instance that it has yet to compute.
    pub backlog: f64,
    /// Learned seconds per token.
    pub token_secs: f64,
    /// Learned ratio of observed to assumed time of a plain server.
    pub slowdown: f64,
    /// Number of samples behind the slowdown.
    pub firsts: u32,
    /// Learned seconds to an engine's first token as a function of the prompt tokens to compute.
    pub first_token_fit: LinearFit,
    /// Number of samples behind the seconds per token.
    pub streams: u32,
    /// Notices that it gave with its answers.
    pub notices: Notices,
    /// Rate limit that it named, and permits to send to it.
    pub limit: EndpointLimit,
    /// This instance's own link to it.
    pub link: EndpointLink,
    /// Pace that it reported.
    pub reported_pace: ReportedPace,
    /// Until when it gets nothing because it refused a request for want of room.
    pub full_until: Option<Time>,
    /// Latest load report.
    pub report: Option<Reported>,
    /// Assumed content of its prefix cache.
    pub cache: PrefixCache,
    /// Maximum number of this instance's concurrent requests there.
    pub budget: u32,
    /// Since when it has been held back because its version is rare in its pool; it is held until
    /// no roll-out order that concerns it can be missing.
    pub held_since: Option<Time>,
}

/// Returns the weight of the next sample. The first samples are weighted evenly, so that the speed
/// of a new endpoint is learned quickly.
fn sample_weight(samples: &mut u32) -> f64 {
    *samples = samples.saturating_add(1);
    LEARN_WEIGHT.max(1.0 / f64::from(*samples))
}

impl EndpointRow {
    /// Creates a row from a declaration.
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
            last_break: None,
            last_refusal: None,
            refuses_since: None,
            confirmed_at: Time::ZERO,
            open_at: None,
            unconfirmed: None,
            watch: Watch::NONE,
            watch_closed: None,
            liveness_check: None,
            peer_check: None,
            missed: 0,
            running: 0,
            backlog: 0.0,
            token_secs,
            slowdown: 1.0,
            firsts: 0,
            first_token_fit: LinearFit::new(
                DEFAULT_FIRST_TOKEN_SECS,
                DEFAULT_SPAN,
                DEFAULT_SPAN / rate.max(MIN_PREFILL_RATE),
            ),
            streams: 0,
            notices: Notices::default(),
            limit: EndpointLimit::default(),
            link: EndpointLink::default(),
            reported_pace: ReportedPace::default(),
            full_until: None,
            report: None,
            cache: PrefixCache::default(),
            held_since: None,
        }
    }

    /// Returns whether a declaration belongs to another start of the endpoint.
    #[must_use]
    pub fn is_other_start(&self, declared: &Endpoint) -> bool {
        self.declared.started != declared.started
    }

    /// Returns whether this start had renewed its entry shortly before a time. The first entry that an instance reads may
    /// be of a start that is over.
    #[must_use]
    pub fn renewed_before(&self, at: Time) -> bool {
        self.confirmed_at > Time::ZERO && at < self.confirmed_at + MAX_RENEWAL_TIME
    }

    /// Returns whether the next entry is about to tell which start got a request: a connection broke, and a process listens
    /// at the address.
    #[must_use]
    pub fn awaits_entry(&self) -> bool {
        let listens = |u: Unconfirmed| {
            let is_open = self.open_at.is_some_and(|at| u.first_break <= at);
            is_open || self.liveness_check.is_some()
        };
        self.present && self.unconfirmed.is_some_and(listens)
    }

    /// Marks it as replaced by a later start.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
        self.present = false;
    }

    /// Returns whether a later start has replaced it.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Returns whether it is a model engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        self.declared.backend == EndpointKind::Engine
    }

    /// Returns whether it is leaving, by the report of any source.
    #[must_use]
    pub fn leaving(&self, now: Time) -> bool {
        self.leaving_source(now).is_some()
    }

    /// Returns the source that reported that it is leaving, the endpoint itself first.
    #[must_use]
    pub fn leaving_source(&self, now: Time) -> Option<LeavingSource> {
        let by_peer = self.peer_leaving.is_some_and(|until| until > now);
        let reported = [
            (
                self.notices.leaving_since().is_some(),
                LeavingSource::Answer,
            ),
            (self.reported_leaving, LeavingSource::Report),
            (self.declared.leaving, LeavingSource::Declared),
            (self.listed_leaving, LeavingSource::List),
            (by_peer, LeavingSource::Peer),
        ];
        let first = reported.into_iter().find(|(reported, _)| *reported);
        first.map(|(_, source)| source)
    }

    /// Returns whether this instance knows from a source other than peers that it is leaving, and
    /// may report that to peers.
    #[must_use]
    pub fn is_leaving_known_directly(&self, now: Time) -> bool {
        let source = self.leaving_source(now);
        source.is_some_and(|s| s != LeavingSource::Peer)
    }

    /// Returns whether no failure has been observed.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Checks whether the endpoint may get work of an instance now.
    ///
    /// Everything sent is subject to this check, up to the write: first attempts, retries, probes,
    /// requests resumed from another endpoint, and placements by a coordinator. When these paths
    /// relied on the instance list, peers and failures alone, two of six endpoints that had asked
    /// for a back-off of 3 s received 108 requests in it, and 5 of 120 callers were served; with
    /// this check it was 0 requests and 120 callers (40 requests per second of virtual time, half
    /// of what the other four can take). `member` is the sending instance, empty for this one.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not; what the endpoint itself reported takes precedence over
    /// observed failures.
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
        // Checked before the health, which does not matter to an endpoint that a coordinator chose.
        if !self.limit.allows(now) {
            return Err(UnavailableReason::RateLimited);
        }
        if self.full_until.is_some_and(|until| until > now) {
            return Err(UnavailableReason::Full);
        }
        match self.health {
            Health::Ejected(until) if until > now => Err(UnavailableReason::Ejected),
            Health::Probing if self.running > 0 => Err(UnavailableReason::Probing),
            _ => Ok(()),
        }
    }

    /// Returns whether this instance may send it new work.
    #[must_use]
    pub fn usable(&self, now: Time) -> bool {
        self.check_available("", now).is_ok()
    }

    /// Returns whether the row is kept, though the configuration lost it, for the sake of the
    /// endpoint's notices.
    ///
    /// The entry of a live endpoint lapses while the platform's store is unavailable and later
    /// returns unchanged: a new row would not have the notices that still apply.
    #[must_use]
    pub fn keeps_notices(&self, now: Time) -> bool {
        let in_retention = self
            .absent_since
            .is_some_and(|at| at + NOTICE_RETENTION > now);
        let any = self.notices.any_in_effect(now) || self.limit.rate().is_some();
        in_retention && !self.replaced && any
    }

    /// Records a failure and ejects the endpoint, for longer with each consecutive failure.
    pub fn eject(&mut self, now: Time) {
        let doublings = self.failures.min(6);
        self.failures += 1;
        let duration = (EJECTION_BASE * 2_u32.pow(doublings)).min(MAX_EJECTION);
        self.health = Health::Ejected(now + duration);
    }

    /// Records a success.
    pub fn recover(&mut self) {
        self.failures = 0;
        self.broken = 0;
        self.health = Health::Healthy;
    }

    /// Learns from the time to the first token of a dispatch with `work` prompt tokens to compute.
    ///
    /// A prompt takes a fixed time plus a time per token. With a single common factor, samples of
    /// short prompts made long ones appear three times as slow as they were.
    pub fn learn_first(&mut self, work: f64, observed: Duration) {
        self.first_token_fit.learn(work, observed.as_secs_f64());
    }

    /// Learns from the time to the first byte of a plain server.
    pub fn learn_plain(&mut self, predicted: Duration, observed: Duration) {
        let ratio = observed.as_secs_f64() / predicted.as_secs_f64().max(0.005);
        let sample = (self.slowdown * ratio).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown += sample_weight(&mut self.firsts) * (sample - self.slowdown);
    }

    /// Learns from the time taken by the `tokens` tokens after the first.
    pub fn learn_tokens(&mut self, tokens: u32, took: Duration) {
        if tokens > 0 {
            let sample = took.as_secs_f64() / f64::from(tokens);
            self.token_secs += sample_weight(&mut self.streams) * (sample - self.token_secs);
        }
    }

    /// Estimates the prompt tokens waiting there, corrected for the age of the report.
    ///
    /// This instance's own part of the report is replaced by its present estimate, so that
    /// dispatches made since the report count at once.
    #[must_use]
    pub fn waiting_tokens(&self, now: Time) -> f64 {
        let Some(r) = self.report.filter(|r| r.taken + MAX_REPORT_AGE > now) else {
            return self.backlog;
        };
        let others = (f64::from(r.backlog) - r.own_backlog).max(0.0);
        self.backlog + others
    }
}
