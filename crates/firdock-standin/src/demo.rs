//! The demo: stand-ins and two entry instances in one process, and a mix of both users' work.

mod load;
mod report;
mod site;

use std::time::Duration;

use snafu::Snafu;

pub use report::DemoReport;
pub use site::DemoSite;

/// Why the demo could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DemoError {
    /// A stand-in did not start.
    #[snafu(display("start a stand-in"))]
    Standin {
        /// Cause.
        source: std::io::Error,
    },
    /// An instance did not start.
    #[snafu(display("start an entry instance"))]
    Instance {
        /// Cause.
        source: firdock_node::StartError,
    },
    /// The sample resources did not come into force.
    #[snafu(display("apply the sample resources: {why}"))]
    Resources {
        /// What the resource API said.
        why: String,
    },
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if a part does not start or the sample resources are refused.
pub async fn run(seconds: u64, seed: u64) -> Result<DemoReport, DemoError> {
    let site = DemoSite::start().await?;
    let results = load::run(&site, Duration::from_secs(seconds), seed).await;
    let wasted = site.wasted_prefill().await;
    let report = DemoReport::new(&results, site.most_runs(), wasted);
    site.stop().await;
    Ok(report)
}
