//! The demo's callers: a bounded mix of both deployments' requests.

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

/// Requests a second of each deployment.
const RATE: f64 = 25.0;
/// Callers at once.
const MAX_CALLERS: usize = 256;
/// Longest answer of the demo, in tokens.
const MAX_OUTPUT: u32 = 200;

/// One call with what came of it.
#[derive(Debug)]
pub struct Result {
    /// Tier of the request.
    pub tier: &'static str,
    /// What the caller got.
    pub got: Got,
}

/// Sends requests for a while and waits for all answers.
pub async fn run(site: &DemoSite, time: Duration, seed: u64) -> Vec<Result> {
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
            Result {
                tier: arrival.kind.tier,
                got,
            }
        });
    }
    calls.join_all().await
}

fn arrivals(time: Duration, seed: u64, instances: usize) -> Vec<Arrival> {
    let deployments = [Deployment::Fjallkarta, Deployment::Authority];
    let works = deployments
        .into_iter()
        .zip(seed..)
        .map(|(deployment, seed)| {
            Workload::new(deployment, seed, RATE, instances).take_while(move |a| a.at < time)
        });
    works.flatten().collect()
}

async fn send(address: SocketAddr, arrival: &Arrival) -> Got {
    let key = bearer(ACCOUNTS[arrival.account]);
    let service = arrival.kind.service;
    let what = if arrival.kind.plain {
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
    call(address, &what).await
}
