//! Reports of endpoints and heartbeats of instances in a run.

use std::time::Duration;

use firdock_policy::Event;
use firdock_policy::event::LoadReport;

use super::{BEAT_PAUSE, Contestant, Happening, INSTANCES, LATENCY, REPORT_PAUSE, Run, node_name};
use crate::measure::scenario::Scenario;

impl<P: Contestant> Run<P> {
    /// Has an endpoint report to every instance, as late as the scenario says.
    pub(super) fn report(&mut self, e: usize) {
        self.plan(self.now + REPORT_PAUSE, Happening::Report(e));
        self.reports += 1;
        let scenario = self.settings.scenario;
        let age = scenario.report_age();
        let lost = scenario == Scenario::LostCacheEvents && self.reports.is_multiple_of(2);
        let Some(report) = self.make_report(e, age, lost) else {
            return;
        };
        for i in 0..INSTANCES {
            self.plan(
                self.now + age,
                Happening::Node(i, Box::new(Event::Report(report.clone()))),
            );
        }
    }

    pub(super) fn make_report(
        &mut self,
        e: usize,
        age: Duration,
        lost: bool,
    ) -> Option<LoadReport> {
        let Some(engine) = self.fleet.engines.get_mut(e) else {
            let server = &self.fleet.servers[e - self.fleet.engines.len()];
            return Some(LoadReport {
                endpoint: server.name.clone(),
                age,
                running: server.running,
                waiting: 0,
                backlog: 0,
                leaving: false,
                gap: false,
                added: Vec::new(),
                removed: Vec::new(),
            });
        };
        if !engine.alive {
            return None;
        }
        let (changes, gap) = engine.model.changes_after(engine.reported);
        engine.reported = engine.model.sequence();
        let blocks = |added: bool| {
            let wanted = changes.iter().filter(|c| c.added == added && !lost);
            wanted.map(|c| c.block).collect()
        };
        Some(LoadReport {
            endpoint: engine.name.clone(),
            age,
            running: engine.model.running(),
            waiting: engine.model.waiting(),
            backlog: engine.model.backlog(),
            leaving: false,
            gap: gap || lost,
            added: blocks(true),
            removed: blocks(false),
        })
    }

    pub(super) fn beats(&mut self) {
        let alive = self.alive;
        for from in (0..INSTANCES).filter(|i| alive[*i]) {
            let Some(news) = self.nodes[from].news(&node_name(from)) else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.plan(
                    self.now + LATENCY,
                    Happening::Node(to, Box::new(Event::Peer(news.clone()))),
                );
            }
        }
        self.plan(self.now + BEAT_PAUSE, Happening::Beats);
    }
}
