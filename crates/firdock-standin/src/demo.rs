//! The demo: stand-ins and two entry instances in one process, under a mix of both deployments' requests.

mod load;
mod report;
mod site;

use std::time::Duration;

use snafu::Snafu;

pub use report::DemoReport;
pub use site::DemoSite;

/// Error that ends the demo.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum DemoError {
    /// A stand-in failed to start.
    #[snafu(display("start a stand-in"))]
    Standin {
        /// Cause.
        source: std::io::Error,
    },
    /// An entry instance failed to start.
    #[snafu(display("start an entry instance"))]
    Instance {
        /// Cause.
        source: firdock_node::StartError,
    },
    /// The sample resources were rejected or did not take effect in time.
    #[snafu(display("apply the sample resources: {why}"))]
    Resources {
        /// Answer of the resource API.
        why: String,
    },
}

/// Runs the demo and returns its report.
///
/// # Errors
///
/// Fails if a component does not start or the sample resources are rejected.
pub async fn run(seconds: u64, seed: u64) -> Result<DemoReport, DemoError> {
    let site = DemoSite::start().await?;
    let results = load::run(&site, Duration::from_secs(seconds), seed).await;
    let wasted = site.wasted_prefill().await;
    let report = DemoReport::new(&results, site.most_runs(), wasted);
    site.stop().await;
    Ok(report)
}
