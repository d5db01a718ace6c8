//! A planned stop cuts nothing off, and a frozen instance goes on where it was.

use std::time::Duration;

use firdock_standin::client::Call;

use crate::helper::{SHOP, Site, Spec};

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_streams_and_exits_with_zero() {
    let mut site = Site::start(Spec {
        nodes: 2,
        ..Spec::new(3)
    })
    .await;
    let calls: Vec<Call> = (0..8)
        .map(|i| Call::model(SHOP, "draft", &format!("dossier {i}"), 300))
        .collect();
    let streams: Vec<_> = calls
        .into_iter()
        .map(|call| {
            let at = site.nodes[0].callers;
            tokio::spawn(async move { firdock_standin::client::call(at, &call).await })
        })
        .collect();
    site.wait("running", async |s| s.engines[0].busy() == 4)
        .await;
    site.nodes[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.nodes[0].get("/readyz").await.0, 503);
    for stream in streams {
        let got = stream.await.expect("a caller ends");
        assert!(got.answered(), "{got:?}");
    }
    assert!(site.nodes[0].ended().await.success());
    assert!(site.engines[0].runs().most() == 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_instance_goes_on_where_it_was() {
    let site = Site::start(Spec::new(4)).await;
    let at = site.nodes[0].callers;
    let call = Call::model(SHOP, "draft", "a long one", 200);
    let stream = tokio::spawn(async move { firdock_standin::client::call(at, &call).await });
    site.wait("running", async |s| s.engines[0].busy() == 1)
        .await;
    site.nodes[0].signal("STOP");
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.nodes[0].signal("CONT");
    let got = stream.await.expect("the caller ends");
    assert!(got.answered(), "{got:?}");
    site.wait("counted", async |s| {
        s.nodes[0].metric("firdock_goodput_total").await >= 1.0
    })
    .await;
}
