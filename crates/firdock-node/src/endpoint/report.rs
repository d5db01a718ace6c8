//! Polls endpoint reports at a fixed interval, with one task per endpoint.

use std::time::Duration;

use firdock_policy::Event;
use firdock_policy::event::LoadReport;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{EndpointReport, ReportSource, Target};
use crate::input::Input;

/// Maximum number of blocks read from one report. More of them count as a gap.
const MAX_BLOCKS: usize = 4_096;

/// Polls an endpoint's reports until the scheduler has stopped.
pub async fn poll_reports<R: ReportSource>(
    source: R,
    target: Target,
    pause: Duration,
    limit: Duration,
    inputs: mpsc::Sender<Input>,
) {
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut after = 0;
    loop {
        ticks.tick().await;
        let event = match timeout(limit, source.report(target.address, after)).await {
            Ok(Ok(report)) => {
                after = report.sequence;
                Event::Report(load_report(&target, report))
            }
            _ => Event::ReportMissed(target.name.clone()),
        };
        if inputs.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}

fn load_report(target: &Target, mut report: EndpointReport) -> LoadReport {
    let cut = report.added.len() > MAX_BLOCKS || report.removed.len() > MAX_BLOCKS;
    report.added.truncate(MAX_BLOCKS);
    report.removed.truncate(MAX_BLOCKS);
    LoadReport {
        endpoint: target.name.clone(),
        age: Duration::from_millis(report.age_millis),
        running: report.running,
        waiting: report.waiting,
        backlog: report.backlog,
        leaving: report.leaving,
        gap: report.gap || cut,
        added: report.added,
        removed: report.removed,
    }
}
