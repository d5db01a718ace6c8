//! Reports of endpoints and heartbeats of instances in a run.

use std::time::Duration;

use firdock_policy::Event;
use firdock_policy::event::LoadReport;

use super::{
    HEARTBEAT_INTERVAL, INSTANCES, LATENCY, MeasuredPolicy, REPORT_INTERVAL, Run, SimEvent,
    instance_name,
};
use crate::measure::scenario::Scenario;

impl<P: MeasuredPolicy> Run<P> {
    /// Sends an endpoint's report to every instance, with the delay that the scenario sets.
    pub(super) fn report_endpoint(&mut self, e: usize) {
        self.schedule(self.now + REPORT_INTERVAL, SimEvent::EndpointReport(e));
        self.reports += 1;
        let scenario = self.settings.scenario;
        let age = scenario.report_age();
        let lost = scenario == Scenario::LostCacheEvents && self.reports.is_multiple_of(2);
        let Some(report) = self.make_report(e, age, lost) else {
            return;
        };
        for i in 0..INSTANCES {
            self.schedule(
                self.now + age,
                SimEvent::PolicyEvent(i, Box::new(Event::Report(report.clone()))),
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
        let (changes, gap) = engine.model.changes_after(engine.last_reported);
        engine.last_reported = engine.model.sequence();
        let blocks = |added: bool| {
            let matching = changes.iter().filter(|c| c.added == added && !lost);
            matching.map(|c| c.block).collect()
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

    pub(super) fn send_heartbeats(&mut self) {
        let alive = self.alive;
        for from in (0..INSTANCES).filter(|i| alive[*i]) {
            let Some(update) = self.policies[from].heartbeat(&instance_name(from)) else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.schedule(
                    self.now + LATENCY,
                    SimEvent::PolicyEvent(to, Box::new(Event::Peer(update.clone()))),
                );
            }
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, SimEvent::Heartbeats);
    }
}
