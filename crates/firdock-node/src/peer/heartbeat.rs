//! Heartbeats, by which an instance reports its status to its peers several times a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::{InstanceId, Offset, ZoneId};
use firdock_policy::event::{
    AccountUse, AccountWork, FragilePoolReport, PeerUpdate, PoolDemand, PoolLinks, UnconfirmedStart,
};
use firdock_policy::permit::LimitReport;
use firdock_policy::rollout::{RolloutReport, Stage};
use firdock_policy::suspect::SuspectReport;
use firdock_policy::table::{Revision, Tables};
use firdock_policy::{
    Time, limit_reports, limit_usage, link_report, own_fragile_pools, pool_demand, rollout_report,
    unconfirmed_starts,
};
use firdock_wire::Body;
use firdock_wire::message::{self, Heartbeat};
use slog::{Logger, debug};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::HANDSHAKE_TIME;
use super::dial::Dialer;
use super::limits::{read_limits, write_limits};
use super::suspects::{MAX_SUSPECTS, read_suspects, write_suspects};
use crate::backoff::Backoff;
use crate::clock::{Clock, millis};

/// Maximum delay between two attempts to connect to a peer.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of pools in a heartbeat, which bounds its size.
const MAX_POOLS: usize = 256;
/// Maximum number of tier ranks in a heartbeat: all values of `TierRank`.
const MAX_RANKS: usize = 256;
/// Maximum number of accounts with work in a heartbeat. Accounts with the most work are included;
/// that of the others is negligible.
const MAX_WORK: usize = 128;
/// Maximum number of leaving endpoints in a heartbeat.
const MAX_LEAVING: usize = 256;
/// Maximum number of unconfirmed starts in a heartbeat.
const MAX_UNCONFIRMED: usize = 256;
/// Time for which the same suspect requests are included before others take their turn: about the
/// interval between two heartbeats.
const SUSPECT_TURN: Duration = Duration::from_millis(400);

/// Status that this instance reports to its peers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SelfStatus {
    zone: ZoneId,
    held: Vec<u32>,
    pub(super) demand: Vec<PoolDemand>,
    pub(super) draining: bool,
    leaving: Vec<String>,
    /// Rate limits of endpoints.
    limits: Vec<LimitReport>,
    /// Revision of these limits. Their beginnings and ends are sent at once.
    pub(super) limits_revision: Revision,
    /// Starts of endpoints that another one may have replaced.
    unconfirmed: Vec<UnconfirmedStart>,
    /// Number of those that this instance found itself. They are sent at once.
    pub(super) unconfirmed_found: u64,
    /// Whether this instance passes connections to endpoints on.
    passes_on: bool,
    /// Its own links to endpoints.
    links: Vec<PoolLinks>,
    /// Pools whose endpoints fail if they refuse too many requests.
    fragile: Vec<FragilePoolReport>,
    version: u64,
    /// Use of account limits admitted by this instance.
    pub(super) used: Vec<AccountUse>,
    /// State of roll-outs.
    pub(super) rollouts: RolloutReport,
    /// Recent work of endpoints for client accounts on requests that this instance placed for its
    /// group.
    pub(super) work: Vec<AccountWork>,
    /// Requests during which endpoints exited, as many as are included in each heartbeat.
    suspects: Vec<SuspectReport>,
    /// Those reported by others, which leads forward.
    forwarded_suspects: Vec<SuspectReport>,
    /// All of those still in effect, for a peer on first contact.
    all_suspects: Vec<SuspectReport>,
    /// When this status was taken.
    taken_at: Time,
    /// Revision of these requests. Changes are sent at once.
    pub(super) suspected: Revision,
}

impl SelfStatus {
    /// Takes the status from the scheduler's tables.
    #[must_use]
    pub fn new(t: &Tables, now: Time) -> Self {
        let demand_of = |(pool, rate)| PoolDemand { pool, rate };
        // Endpoints removed from the configuration come last, since the other instances are about
        // to remove them as well.
        let rows = |present: bool| {
            let rows = t.endpoints.iter().map(|(_, e)| e);
            rows.filter(move |e| e.present == present && !e.is_replaced())
        };
        let leaving = rows(true)
            .chain(rows(false))
            .filter(|e| e.is_leaving_known_directly(now));
        Self {
            zone: t.settings.zone.clone(),
            held: t.requests.held_by_rank().to_vec(),
            demand: pool_demand(t)
                .into_iter()
                .take(MAX_POOLS)
                .map(demand_of)
                .collect(),
            draining: t.draining,
            leaving: leaving
                .take(MAX_LEAVING)
                .map(|e| e.start_id.clone())
                .collect(),
            limits: limit_reports(t, now),
            limits_revision: t.limits.revision,
            unconfirmed: unconfirmed_starts(t),
            unconfirmed_found: t.stats.unconfirmed_starts,
            passes_on: t.settings.routes_by_peers,
            links: link_report(t, now),
            fragile: own_fragile_pools(t, now),
            version: t.version,
            used: limit_usage(t, now),
            rollouts: rollout_report(t, now),
            work: Vec::new(),
            suspects: t.suspects.reports(now, suspect_turn(now)),
            forwarded_suspects: t.suspects.reports_to_forward(now),
            taken_at: now,
            all_suspects: t.suspects.all_reports(now, MAX_SUSPECTS),
            suspected: t.suspects.revision(),
        }
    }

    /// Returns the status including the suspect requests that others reported, which leads forward.
    #[must_use]
    pub fn as_lead(&self) -> Self {
        let forwarded = self.forwarded_suspects.iter();
        let mut status = self.clone();
        status.suspects.extend(forwarded.cloned());
        status
    }

    /// Returns the status with all suspect requests, for a peer on first contact.
    #[must_use]
    pub fn in_full(&self) -> Self {
        Self {
            suspects: self.all_suspects.clone(),
            ..self.clone()
        }
    }

    /// Adds recent work of endpoints for client accounts.
    #[must_use]
    pub fn with_work(mut self, work: Vec<AccountWork>) -> Self {
        self.work = work;
        self
    }

    /// Encodes a short status for instances of other groups, which receive the rest from the leads
    /// of their groups.
    pub(super) fn short_message(&self) -> Heartbeat {
        Heartbeat {
            zone: self.zone.clone(),
            demand: write_demand(&self.demand),
            draining: self.draining,
            version: self.version,
            passes_on: self.passes_on,
            links: write_links(&self.links),
            ..Heartbeat::default()
        }
    }

    /// Returns the stage of each roll-out, by its order.
    pub(super) fn stages(&self) -> Vec<(Offset, Stage)> {
        let statuses = self.rollouts.statuses.iter();
        statuses.map(|w| (w.order, w.stage)).collect()
    }

    /// Encodes the status, with ages relative to `now`.
    #[must_use]
    pub fn message(&self, now: Time, log_next: u64) -> Heartbeat {
        let age = now.saturating_sub(self.taken_at);
        Heartbeat {
            zone: self.zone.clone(),
            held: self.held.clone(),
            demand: write_demand(&self.demand),
            draining: self.draining,
            leaving: self.leaving.clone(),
            version: self.version,
            log_next,
            suspects: write_suspects(&self.suspects, age),
            limits: write_limits(&self.limits, now),
            passes_on: self.passes_on,
            links: write_links(&self.links),
            fragile: write_fragile(&self.fragile, now),
            unconfirmed: write_unconfirmed(&self.unconfirmed, now),
        }
    }
}

/// Returns the index of the current turn of suspect requests.
fn suspect_turn(now: Time) -> usize {
    (now.as_millis() / SUSPECT_TURN.as_millis()) as usize
}

/// Encodes demand by pool.
pub fn write_demand(demand: &[PoolDemand]) -> Vec<message::PoolDemand> {
    let pools = demand.iter().take(MAX_POOLS);
    pools
        .map(|d| message::PoolDemand {
            pool: d.pool.clone(),
            rate: d.rate,
        })
        .collect()
}

/// Decodes demand by pool; entries with invalid values are left out.
pub fn read_demand(demand: Vec<message::PoolDemand>) -> Vec<PoolDemand> {
    let pools = demand.into_iter().take(MAX_POOLS);
    let finite = pools.filter(|d| d.rate.is_finite() && d.rate >= 0.0);
    finite
        .map(|d| PoolDemand {
            pool: d.pool,
            rate: d.rate,
        })
        .collect()
}

/// Encodes links to endpoints by pool.
fn write_links(links: &[PoolLinks]) -> Vec<message::PoolLinks> {
    let pools = links.iter().take(MAX_POOLS);
    pools
        .map(|links| message::PoolLinks {
            pool: links.pool.clone(),
            reached: links.reached,
            failing: links.failing,
        })
        .collect()
}

/// Decodes links to endpoints by pool.
fn read_links(links: Vec<message::PoolLinks>) -> Vec<PoolLinks> {
    let pools = links.into_iter().take(MAX_POOLS);
    pools
        .map(|links| PoolLinks {
            pool: links.pool,
            reached: links.reached,
            failing: links.failing,
        })
        .collect()
}

/// Encodes fragile pools.
fn write_fragile(pools: &[FragilePoolReport], now: Time) -> Vec<message::FragilePool> {
    let pools = pools.iter().take(MAX_POOLS);
    pools
        .map(|report| message::FragilePool {
            pool: report.pool.clone(),
            limit: report.limit,
            age_millis: millis(now.saturating_sub(report.read)),
        })
        .collect()
}

/// Decodes fragile pools of a heartbeat that was sent at `sent`.
fn read_fragile(pools: Vec<message::FragilePool>, sent: Time) -> Vec<FragilePoolReport> {
    let pools = pools.into_iter().take(MAX_POOLS);
    pools
        .map(|pool| FragilePoolReport {
            pool: pool.pool,
            limit: pool.limit,
            read: sent.saturating_sub(Duration::from_millis(pool.age_millis)),
        })
        .collect()
}

/// Encodes unconfirmed starts of endpoints.
fn write_unconfirmed(starts: &[UnconfirmedStart], now: Time) -> Vec<message::UnconfirmedStart> {
    let starts = starts.iter().take(MAX_UNCONFIRMED);
    let age = |at: Time| millis(now.saturating_sub(at));
    starts
        .map(|report| message::UnconfirmedStart {
            start: report.start.clone(),
            since_age_millis: age(report.since),
            break_age_millis: age(report.last_break),
        })
        .collect()
}

/// Decodes unconfirmed starts of a heartbeat that was sent at `sent`.
fn read_unconfirmed(starts: Vec<message::UnconfirmedStart>, sent: Time) -> Vec<UnconfirmedStart> {
    let starts = starts.into_iter().take(MAX_UNCONFIRMED);
    let at = |age| sent.saturating_sub(Duration::from_millis(age));
    starts
        .map(|report| UnconfirmedStart {
            start: report.start,
            since: at(report.since_age_millis),
            last_break: at(report.break_age_millis),
        })
        .collect()
}

/// Encodes the work for accounts.
pub fn write_work(work: &[AccountWork]) -> Vec<message::AccountWork> {
    let accounts = work.iter().take(MAX_WORK);
    accounts
        .map(|w| message::AccountWork {
            account: w.account.clone(),
            pool: w.pool.clone(),
            rank: u32::from(w.rank),
            asked: w.asked,
            done: w.done,
        })
        .collect()
}

/// Decodes the work for accounts; entries with invalid values are left out.
pub fn read_work(work: Vec<message::AccountWork>) -> Vec<AccountWork> {
    let accounts = work.into_iter().take(MAX_WORK);
    let is_valid = |secs: f64| secs.is_finite() && secs >= 0.0;
    accounts
        .filter(|w| is_valid(w.asked) && is_valid(w.done))
        .map(|w| AccountWork {
            account: w.account,
            pool: w.pool,
            rank: u8::try_from(w.rank).unwrap_or(u8::MAX),
            asked: w.asked,
            done: w.done,
        })
        .collect()
}

/// Decodes a peer's status that was sent at `sent`, truncated to fixed limits.
#[must_use]
pub fn read_status(name: &str, heartbeat: Heartbeat, sent: Time) -> PeerUpdate {
    PeerUpdate {
        name: name.to_owned(),
        zone: heartbeat.zone,
        held: heartbeat.held.into_iter().take(MAX_RANKS).collect(),
        demand: read_demand(heartbeat.demand),
        draining: heartbeat.draining,
        leaving: heartbeat.leaving.into_iter().take(MAX_LEAVING).collect(),
        suspects: read_suspects(heartbeat.suspects),
        limits: read_limits(heartbeat.limits, sent),
        passes_on: heartbeat.passes_on,
        links: read_links(heartbeat.links),
        fragile: read_fragile(heartbeat.fragile, sent),
        unconfirmed: read_unconfirmed(heartbeat.unconfirmed, sent),
        ..PeerUpdate::default()
    }
}

/// Keeps a connection that carries heartbeats to every instance of the list, until `stop` turns
/// true.
pub async fn run_heartbeats(
    dialer: Dialer,
    self_status: watch::Receiver<SelfStatus>,
    pause: Duration,
    clock: Clock,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut links: HashMap<(InstanceId, SocketAddr), JoinHandle<()>> = HashMap::new();
    let mut ticks = interval(pause);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|s| *s) => break,
        }
        let peers = dialer.peers();
        links.retain(|peer, task| {
            let keep = peers.contains(peer) && !task.is_finished();
            if !keep {
                task.abort();
            }
            keep
        });
        for peer in peers {
            links.entry(peer.clone()).or_insert_with(|| {
                tokio::spawn(heartbeat_peer(
                    dialer.clone(),
                    peer,
                    self_status.clone(),
                    pause,
                    clock,
                    log.clone(),
                ))
            });
        }
    }
    for task in links.into_values() {
        task.abort();
    }
}

async fn heartbeat_peer(
    dialer: Dialer,
    peer: (InstanceId, SocketAddr),
    self_status: watch::Receiver<SelfStatus>,
    pause: Duration,
    clock: Clock,
    log: Logger,
) {
    let mut backoff = Backoff::new(pause, MAX_RETRY_DELAY);
    loop {
        match dialer.dial(&peer.0, peer.1).await {
            Ok(mut link) => {
                backoff.reset();
                let mut ticks = interval(pause);
                ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
                // The first heartbeat of a connection includes what the peer missed without one.
                let mut first = true;
                loop {
                    ticks.tick().await;
                    let status = if std::mem::take(&mut first) {
                        self_status.borrow().in_full()
                    } else {
                        self_status.borrow().clone()
                    };
                    let log_next = dialer.hub().lock().state.next;
                    let heartbeat = status.message(clock.now(), log_next);
                    let sent = timeout(HANDSHAKE_TIME, link.send(Body::Heartbeat(heartbeat))).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        break;
                    }
                }
            }
            Err(e) => debug!(log, "could not connect to peer"; "peer" => &peer.0,
                "error" => e.source.to_string()),
        }
        tokio::time::sleep(backoff.next_pause()).await;
    }
}
