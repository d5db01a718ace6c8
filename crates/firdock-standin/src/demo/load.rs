//! Load generator of the demo: a mix of both deployments' requests with bounded concurrency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use super::site::{ACCOUNTS, DemoSite, bearer};
use crate::client::{Call, Got, call};
use crate::workload::{Arrival, Deployment, Workload};

/// Requests per second of each deployment.
const RATE: f64 = 25.0;
/// Maximum number of concurrent callers.
const MAX_CALLERS: usize = 256;
/// Maximum length of an answer, in tokens.
const MAX_OUTPUT: u32 = 200;

/// Result of one call.
#[derive(Debug)]
pub struct CallResult {
    /// Tier of the request.
    pub tier: &'static str,
    /// Checked response.
    pub got: Got,
}

/// Sends requests for `time` and waits for all answers.
pub async fn run(site: &DemoSite, time: Duration, seed: u64) -> Vec<CallResult> {
    let addresses = site.caller_addresses();
    let mut arrivals = arrivals(time, seed, addresses.len());
    arrivals.sort_by_key(|a| a.at);
    let slots = Arc::new(Semaphore::new(MAX_CALLERS));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        let slot = Arc::clone(&slots).acquire_owned().await;
        let address = addresses[arrival.instance];
        calls.spawn(async move {
            let got = send(address, &arrival).await;
            drop(slot);
            CallResult {
                tier: arrival.kind.tier,
                got,
            }
        });
    }
    calls.join_all().await
}

fn arrivals(time: Duration, seed: u64, instances: usize) -> Vec<Arrival> {
    let deployments = [Deployment::Fjallkarta, Deployment::Authority];
    let workloads = deployments
        .into_iter()
        .zip(seed..)
        .map(|(deployment, seed)| {
            Workload::new(deployment, seed, RATE, instances).take_while(move |a| a.at < time)
        });
    workloads.flatten().collect()
}

async fn send(address: SocketAddr, arrival: &Arrival) -> Got {
    let key = bearer(ACCOUNTS[arrival.account]);
    let service = arrival.kind.service;
    let call_spec = if arrival.kind.plain {
        let target = format!("/{service}/{}", arrival.prompt.unique);
        let call = Call::plain(&key, Method::POST, &target, "sheet 21 north");
        let name = Uuid::now_v7().to_string();
        if arrival.kind.repeatable {
            call
        } else {
            call.with_key(&name).with_work_name(&name)
        }
    } else {
        let tokens = arrival.output.min(MAX_OUTPUT);
        Call::model(&key, service, &arrival.prompt.text(), tokens)
    };
    call(address, &call_spec).await
}
