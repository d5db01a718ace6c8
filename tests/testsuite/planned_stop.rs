//! A planned stop interrupts no request, and a suspended instance resumes its requests.

use std::time::Duration;

use firdock_standin::client::{self, Call};

use crate::helper::{SHOP, Site, Spec};

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_streams_and_exits_with_zero() {
    let mut site = Site::start(Spec {
        instances: 2,
        ..Spec::new(3)
    })
    .await;
    site.slow_engines();
    let calls: Vec<Call> = (0..8)
        .map(|i| Call::model(SHOP, "draft", &format!("dossier {i}"), 300))
        .collect();
    let streams: Vec<_> = calls
        .into_iter()
        .map(|call| {
            let address = site.instances[0].callers;
            tokio::spawn(async move { client::call(address, &call).await })
        })
        .collect();
    site.wait("running", async |s| s.engines[0].busy() == 4)
        .await;
    site.instances[0].signal("TERM");
    site.wait("not ready", async |s| {
        s.instances[0].get("/readyz").await.0 == 503
    })
    .await;
    site.hurry_engines();
    for stream in streams {
        let got = stream.await.expect("a caller ends");
        assert!(got.answered(), "{got:?}");
    }
    assert!(site.instances[0].ended().await.success());
    assert!(site.engines[0].runs().most() == 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_instance_goes_on_where_it_was() {
    let site = Site::start(Spec::new(4)).await;
    site.slow_engines();
    let address = site.instances[0].callers;
    let call = Call::model(SHOP, "draft", "a long one", 200);
    let stream = tokio::spawn(async move { client::call(address, &call).await });
    site.wait("running", async |s| s.engines[0].busy() == 1)
        .await;
    site.instances[0].signal("STOP");
    // The rest of the answer is generated while nobody reads it.
    site.hurry_engines();
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.instances[0].signal("CONT");
    let got = stream.await.expect("the caller ends");
    assert!(got.answered(), "{got:?}");
    site.wait("counted", async |s| {
        s.instances[0].metric("firdock_goodput_total").await >= 1.0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_site_stops_one_instance_after_another_under_load() {
    let mut site = Site::start(Spec {
        instances: 3,
        engines: 2,
        ..Spec::new(5)
    })
    .await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let addresses: Vec<_> = site
        .instances
        .iter()
        .map(|n| (n.callers, n.operators))
        .collect();
    let callers: Vec<_> = (0..6)
        .map(|i| tokio::spawn(call_until(addresses.clone(), i, stopped.clone())))
        .collect();
    for i in 0..3_u8 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.restart(i).await;
    }
    stop.send_replace(true);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("a caller finishes");
    }
    assert!(answered > 50, "only {answered} calls were made");
    assert!(site.engines.iter().all(|e| e.runs().most() <= 1));
}

/// Sends requests to ready instances, as a load balancer does, and checks every answer.
async fn call_until(
    addresses: Vec<(std::net::SocketAddr, std::net::SocketAddr)>,
    i: usize,
    stopped: tokio::sync::watch::Receiver<bool>,
) -> usize {
    let mut answered = 0;
    for n in 0.. {
        if *stopped.borrow() {
            break;
        }
        let (address, operators) = addresses[(i + n) % addresses.len()];
        let ready = client::operator_call(hyper::Method::GET, operators, "/readyz", "").await;
        if ready.0 != 200 {
            continue;
        }
        let call = Call::model(SHOP, "draft", &format!("dossier {i} {n}"), 60);
        let got = client::call(address, &call).await;
        assert!(got.answered(), "{got:?}");
        answered += 1;
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_leaves_finishes_what_it_runs() {
    let site = Site::start(Spec {
        engines: 2,
        ..Spec::new(6)
    })
    .await;
    site.slow_engines();
    let address = site.instances[0].callers;
    let stream = |n: usize| {
        let call = Call::model(SHOP, "draft", &format!("dossier {n}"), 400);
        tokio::spawn(async move { client::call(address, &call).await })
    };
    let running: Vec<_> = (0..4).map(stream).collect();
    site.wait("running", async |s| s.engines.iter().all(|e| e.busy() == 2))
        .await;
    site.engines[0].faults.change(|f| f.leaving = true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = site.engines[0].runs().by_request.len();
    let later: Vec<_> = (4..6).map(stream).collect();
    site.wait("placed", async |s| s.engines[1].busy() == 4)
        .await;
    assert_eq!(site.engines[0].busy(), 2, "it still runs what it ran");
    site.hurry_engines();
    for call in running.into_iter().chain(later) {
        let got = call.await.expect("a caller ends");
        assert!(got.answered(), "{got:?}");
    }
    assert_eq!(site.engines[0].runs().by_request.len(), before);
    assert!(site.engines.iter().all(|e| e.runs().most() <= 1));
}
