//! The scheduler: takes one event at a time and returns the resulting actions.

use std::time::Duration;

use crate::action::Action;
use crate::event::Event;
use crate::settings::PolicySettings;
use crate::system::{
    access, admit, backoff, budget, config, continuation, coordinate, demand, dispatch_updates,
    drain, early_refusal, expire, fair_share, fragile, handover, health, invariants, key, limit,
    liveness, notice, pace_reports, permit, place, rollout, route, shed, start, suspect,
    unproven_end, watch,
};
use crate::table::{ReachableInstances, Tables};
use crate::time::Time;

/// Time between two runs of the timer systems from which on the instance did not run meanwhile.
const MIN_ABSENCE: Duration = Duration::from_secs(2);

/// Time between two events from which on the instance counts as stalled: it sees late what happened meanwhile. It
/// is longer than a period of a processor's share, in which a throttled instance may stand still, and a tick.
const MIN_STALL: Duration = Duration::from_millis(125);

/// A decision procedure: this scheduler, or a simpler baseline in measurements.
pub trait Policy {
    /// Handles an event at the time `now` and appends the resulting actions.
    fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

/// The scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    tables: Tables,
}

impl Scheduler {
    /// Creates a scheduler with empty tables.
    #[must_use]
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            tables: Tables::new(settings),
        }
    }

    /// Returns the tables for reading.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Checks all invariants between tables.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated; continuing would break a guarantee to a caller.
    pub fn check_invariants(&self, now: Time) {
        invariants::check_all(&self.tables, now);
    }

    fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let t = &mut self.tables;
        match event {
            Event::Arrived(new) => admit::admit_request(t, now, new, out),
            Event::AccessChanged(id) => access::withdraw(t, id, out),
            Event::CallerLeft(id) => dispatch_updates::caller_left(t, now, id, out),
            Event::Endpoint(e) => dispatch_updates::handle_update(t, now, &e, out),
            Event::LivenessChecked(result) => liveness::handle_result(t, now, &result, out),
            Event::LivenessCheckedThrough(result) => {
                liveness::handle_peer_result(t, now, &result, out);
            }
            Event::Watched(update) => watch::record(t, now, &update),
            Event::LinkProbed(result) => route::record_probe(t, now, &result),
            Event::PaceReported(report) => pace_reports::record(t, &report),
            Event::NoticeReported(report) => notice::record(t, &report, out),
            Event::LimitsReported(reports) => permit::copy_reports(t, &reports),
            Event::FragilePoolsReported(reports) => fragile::merge_reports(t, &reports),
            Event::PermitsRequested(holder, requests) => {
                permit::grant(t, now, holder, &requests, out);
            }
            Event::PermitsGranted(grants) => permit::apply_grants(t, now, &grants),
            Event::Report(report) => health::record_report(t, now, &report),
            Event::ReportMissed(name) => health::record_missed_report(t, now, &name),
            Event::Config(catalog) => {
                config::apply(t, now, &catalog, out);
                watch::run(t, now, out);
            }
            Event::View(view) => key::apply_view(t, view, out),
            Event::KeyTransfer(transfer) => key::apply_transfer(t, now, &transfer),
            Event::LogRead(reading) => t.views.record_read(reading),
            Event::Listed(rows) => health::apply_instance_list(t, &rows),
            Event::SuspectsReported(report) => suspect::merge_reports(t, now, report, out),
            Event::Released(content, until) => suspect::release(t, now, content, until),
            Event::Peer(peer) => handover::apply_heartbeat(t, now, peer, out),
            Event::SiteUseReported(report) => limit::apply_site_use(t, now, &report),
            Event::PeerLost(name) => handover::mark_peer_lost(t, &name),
            Event::PeersKnown(count) => t.known_peers = Some(count),
            Event::GroupDemand(group) => t.groups.update(now, group),
            Event::GroupWork(group) => t.reported_work.update(now, group.zone, group.work),
            Event::Reach(count) => t.reachable = Some(ReachableInstances { at: now, count }),
            Event::ConfigConfirmed(at) => {
                t.config_confirmed_at = t.config_confirmed_at.max(Some(at));
            }
            Event::Coordinated(answers) => coordinate::set_coordinated(t, now, answers),
            Event::Granted(grant) => coordinate::apply_grant(t, now, &grant, out),
            Event::NotGranted(id, verdict) => coordinate::apply_refusal(t, now, id, verdict, out),
            Event::Adopted(new, endpoint) => coordinate::adopt(t, now, new, &endpoint),
            Event::HandOver(e) => handover::handle_event(t, now, &e, out),
            Event::Rollout(report) => rollout::apply_status(t, now, &report),
            Event::GroupEvidence(report) => rollout::merge_group_evidence(t, report),
            Event::Recorded(record) => rollout::apply_record(t, now, &record),
            Event::BuildsRecorded(builds) => continuation::merge_builds(t, now, builds, out),
            Event::EntriesRenewed(entries) => start::confirm(t, &entries),
            Event::Decides(decides) => rollout::set_decides(t, decides),
            Event::RoomWanted(room) => shed::make_room(t, now, room, out),
            Event::Drain => t.draining = true,
            Event::UnixZeroRead(zero) => t.unix_zero = Some(zero),
            Event::DrainExpired => drain::end_all(t, now, out),
            Event::Timer => {
                t.absence.check(now, MIN_ABSENCE);
                demand::update_rates(t, now);
                budget::refresh_budgets(t, now);
                handover::end_silent_hand_overs(t, now, out);
                handover::remove_silent_peers(t, now);
                t.suspects.sweep(now);
                unproven_end::repeat_checks(t, now, out);
                expire::end_overdue(t, now, out);
                expire::end_impatient(t, now, out);
                expire::put_late_last(t, now);
                expire::end_expired(t, now, out);
                fair_share::update_levels(t, now);
                early_refusal::run(t, now, out);
                rollout::run(t, now, out);
                permit::request(t, now, out);
                route::probe(t, now, out);
                watch::run(t, now, out);
            }
        }
    }
}

impl Policy for Scheduler {
    fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.tables.stalls.check(now, MIN_STALL);
        self.apply(now, event, out);
        let t = &mut self.tables;
        unproven_end::run(t, now, out);
        access::run(t, now, out);
        continuation::run(t, now, out);
        place::run(t, now, out);
        backoff::run(t, now, out);
        coordinate::request_placements(t, out);
        shed::run(t, now, out);
        drain::run(t, now, out);
    }
}
