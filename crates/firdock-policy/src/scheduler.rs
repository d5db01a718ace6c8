//! The scheduler: takes one event at a time and gives the actions that follow from it.

use crate::action::Action;
use crate::event::Event;
use crate::settings::PolicySettings;
use crate::system::{
    admit, backoff, check, config, coordinate, demand, drain, early, expire, fair, handover,
    health, key, limit, look, news, notice, paced, place, rollout, share, shed, suspect,
};
use crate::table::{ReachableInstances, Tables};
use crate::time::Time;

/// Something that decides; the scheduler here, and simpler baselines in measurements.
pub trait Policy {
    /// Takes an event at the time `now` and appends the actions that follow.
    fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
}

/// The scheduler of one instance.
#[derive(Debug)]
pub struct Scheduler {
    tables: Tables,
}

impl Scheduler {
    /// Makes a scheduler with empty tables.
    #[must_use]
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            tables: Tables::new(settings),
        }
    }

    /// Gives the tables, to read.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Checks everything that must hold between tables.
    ///
    /// # Panics
    ///
    /// Panics where an invariant is broken: going on would break a promise to a caller.
    pub fn check_invariants(&self, now: Time) {
        check::all(&self.tables, now);
    }

    fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let t = &mut self.tables;
        match event {
            Event::Arrived(new) => admit::arrived(t, now, new, out),
            Event::CallerLeft(id) => news::caller_left(t, now, id, out),
            Event::Endpoint(e) => news::endpoint(t, now, &e, out),
            Event::Looked(look) => look::take(t, now, &look, out),
            Event::PaceReported(told) => paced::take(t, &told),
            Event::NoticeReported(told) => notice::take(t, &told, out),
            Event::Report(report) => health::report(t, now, &report),
            Event::ReportMissed(name) => health::missed(t, now, &name),
            Event::Config(catalog) => config::apply(t, now, &catalog, out),
            Event::View(view) => key::take_view(t, view, out),
            Event::KeyTransfer(transfer) => key::take_transfer(t, now, &transfer),
            Event::LogRead(reading) => t.views.record_read(reading),
            Event::Listed(rows) => health::listed(t, &rows),
            Event::SuspectsReported(told) => suspect::hear(t, now, told, out),
            Event::Released(content, until) => suspect::release(t, now, content, until),
            Event::Peer(peer) => handover::peer_news(t, now, peer, out),
            Event::SiteUseReported(word) => limit::take_site(t, now, &word),
            Event::PeerLost(name) => handover::peer_lost(t, &name),
            Event::PeersKnown(count) => t.known_peers = Some(count),
            Event::GroupDemand(group) => t.groups.update(now, group),
            Event::GroupWork(group) => t.reported_work.update(now, group.zone, group.work),
            Event::Reach(count) => t.reachable = Some(ReachableInstances { at: now, count }),
            Event::ConfigConfirmed(at) => {
                t.config_confirmed_at = t.config_confirmed_at.max(Some(at))
            }
            Event::Coordinated(answers) => coordinate::set(t, now, answers),
            Event::Granted(grant) => coordinate::granted(t, now, &grant, out),
            Event::NotGranted(id, verdict) => coordinate::not_granted(t, now, id, verdict, out),
            Event::Adopted(new, endpoint) => coordinate::adopt(t, now, new, &endpoint),
            Event::HandOver(e) => handover::news(t, now, &e, out),
            Event::Rollout(word) => rollout::hear(t, now, &word),
            Event::GroupEvidence(word) => rollout::hear_group(t, word),
            Event::Recorded(record) => rollout::hear_recorded(t, now, &record),
            Event::Decides(decides) => rollout::take_decides(t, decides),
            Event::Drain => t.draining = true,
            Event::Timer => {
                demand::take_rates(t, now);
                share::refresh_budgets(t, now);
                handover::end_silent(t, now, out);
                handover::forget_silent(t, now);
                t.suspects.sweep(now);
                expire::end_overdue(t, now, out);
                expire::end_impatient(t, now, out);
                expire::put_late_last(t, now);
                expire::run(t, now, out);
                fair::set_levels(t, now);
                early::run(t, now, out);
                rollout::run(t, now, out);
            }
        }
    }
}

impl Policy for Scheduler {
    fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.apply(now, event, out);
        let t = &mut self.tables;
        place::run(t, now, out);
        backoff::run(t, now, out);
        coordinate::ask(t, out);
        shed::run(t, now, out);
        drain::run(t, now, out);
    }
}
