//! Limits: shedding by tier, size and time limits, unauthenticated peers, leaving and refusing endpoints.

use std::time::Duration;

use firdock_node::http::connect;
use firdock_node::platform::ListedRow;
use firdock_standin::client::{self, Call, Got};
use firdock_standin::fault::FaultState;
use hyper::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::helper::{HALL, SHOP, Site, Spec};

fn max_held_settings(max: usize) -> String {
    format!("[limits]\nmax_held = {max}\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_of_all_tiers_sheds_the_lowest_first() {
    let site = Site::start(Spec {
        settings: max_held_settings(12),
        ..Spec::new(40)
    })
    .await;
    let mut calls = Vec::new();
    for i in 0..24 {
        let key = if i % 3 == 0 { HALL } else { SHOP };
        calls.push(("draft", Call::model(key, "draft", &format!("d{i}"), 60)));
    }
    for i in 0..8 {
        calls.push(("guide", Call::model(HALL, "guide", &format!("g{i}"), 10)));
        calls.push((
            "tiles",
            Call::plain(SHOP, Method::GET, &format!("/tiles/{i}"), ""),
        ));
    }
    let sending = calls.iter().map(|(_, call)| site.call(0, call));
    let got = futures_util::future::join_all(sending).await;
    for ((service, _), got) in calls.iter().zip(&got) {
        assert!(got.is_sound(), "{got:?}");
        assert!(*service == "draft" || got.answered(), "{service}: {got:?}");
    }
    let shed = got.iter().filter(|g| g.status == 429).count();
    assert!(
        shed > 0
            && got
                .iter()
                .all(|g| g.status != 429 || g.retry_after.is_some())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_instance_hands_higher_tiers_to_one_that_holds_lower_ones() {
    let spec = Spec {
        instances: 2,
        settings: max_held_settings(6),
        ..Spec::new(41)
    };
    let site = Site::start(spec).await;
    site.slow_engines();
    let drafts: Vec<_> = (0..8)
        .map(|i| Call::model(SHOP, "draft", &format!("d{i}"), 200))
        .collect();
    let guides: Vec<_> = (0..10)
        .map(|i| Call::model(HALL, "guide", &format!("g{i}"), 10))
        .collect();
    let low = futures_util::future::join_all(drafts.iter().map(|c| site.call(1, c)));
    let high = async {
        let held_metric = "firdock_held{tier=\"draft\"}";
        site.wait("held", async |s| {
            s.instances[1].metric(held_metric).await >= 4.0
        })
        .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let calls = futures_util::future::join_all(guides.iter().map(|c| site.call(0, c)));
        let handed_over = async {
            site.wait("handed over", async |s| {
                s.instances[0].metric("firdock_handed_over_total").await >= 1.0
            })
            .await;
            site.hurry_engines();
        };
        tokio::join!(calls, handed_over).0
    };
    let (low, high) = tokio::join!(low, high);
    assert!(high.iter().all(Got::answered), "{high:?}");
    assert!(low.iter().all(Got::is_sound), "{low:?}");
    assert!(site.instances[0].metric("firdock_handed_over_total").await >= 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_heads_and_slow_callers_are_bounded() {
    let settings = "[limits]\nbody_bytes = 2000\nheader_millis = 300\nbody_millis = 300\n\
                    header_bytes = 8192\n";
    let site = Site::start(Spec {
        settings: settings.to_owned(),
        ..Spec::new(42)
    })
    .await;
    let large = "x".repeat(3_000);
    let got = site
        .call(0, &Call::plain(SHOP, Method::POST, "/tiles/1", &large))
        .await;
    assert_eq!((got.status, got.outcome.as_str()), (413, "not-run"));
    let long = format!("/tiles/{}", "y".repeat(9_000));
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, &long, ""))
        .await;
    assert!([0, 414, 431].contains(&got.status), "{got:?}");
    let mut slow = TcpStream::connect(site.instances[0].callers)
        .await
        .expect("a connection");
    slow.write_all(b"GET /tiles HTTP/1.1\r\nHost: a")
        .await
        .expect("a part of a head");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(10), slow.read_to_end(&mut rest)).await;
    assert!(
        closed.is_ok(),
        "a caller that never completes its request head must be disconnected"
    );
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(got.answered(), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn strangers_on_the_peers_port_are_cut_off() {
    let site = Site::start(Spec::new(43)).await;
    for rubbish in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 4, 1, 2, 3, 4],
        &[0xff; 64],
    ] {
        let mut stranger = TcpStream::connect(site.instances[0].peers)
            .await
            .expect("a connection");
        stranger.write_all(rubbish).await.expect("some bytes");
        let mut rest = Vec::new();
        let end = stranger.read_to_end(&mut rest);
        let closed = tokio::time::timeout(Duration::from_secs(10), end).await;
        assert!(closed.is_ok() && rest.is_empty());
    }
    site.wait("logged", async |s| {
        s.instances[0].logged().matches("peer cut off").count() >= 3
    })
    .await;
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(got.answered(), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_nothing_new_while_the_log_is_down() {
    let site = Site::start(Spec {
        instances: 2,
        services: 2,
        ..Spec::new(44)
    })
    .await;
    site.log.faults.change(|f| f.outage = true);
    site.list.set(ListedRow {
        name: "service-0".to_owned(),
        zone: "zone-a".to_owned(),
        peers: None,
        leaving: true,
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = site.services[0].runs().by_request.len();
    for i in 0..20 {
        let call = Call::plain(SHOP, Method::GET, &format!("/tiles/{i}"), "");
        assert!(site.call(i % 2, &call).await.answered());
    }
    assert_eq!(site.services[0].runs().by_request.len(), before);
    assert!(site.services[1].runs().by_request.len() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_missed_the_news_hears_it_from_a_peer() {
    let mut site = Site::start(Spec {
        instances: 1,
        services: 2,
        ..Spec::new(45)
    })
    .await;
    site.add_instance(1);
    site.wait_ready().await;
    site.wait_converged().await;
    // The list is unavailable to all instances, so that only the endpoint itself reports that it is leaving.
    site.list.faults.change(|f| f.outage = true);
    site.services[0].faults.change(|f| f.leaving = true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = site.services[0].runs().by_request.len();
    for i in 0..20 {
        let call = Call::plain(SHOP, Method::GET, &format!("/tiles/{i}"), "");
        assert!(site.call(i % 2, &call).await.answered());
    }
    assert_eq!(site.services[0].runs().by_request.len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_cannot_grow_memory() {
    let site = Site::start(Spec::new(46)).await;
    let body = "{\"model\":\"draft\",\"prompt\":\"x\",\"max_tokens\":20000,\"stream\":true}";
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {SHOP}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut slow = TcpStream::connect(site.instances[0].callers)
        .await
        .expect("a connection");
    slow.write_all(head.as_bytes()).await.expect("a request");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let quick = site
        .call(0, &Call::model(SHOP, "guide", "in between", 5))
        .await;
    assert!(quick.answered(), "{quick:?}");
    drop(slow);
    site.wait("cancelled", async |s| s.engines[0].busy() == 0)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_thousand_connections_at_once_are_taken() {
    let site = Site::start(Spec {
        settings: max_held_settings(2_000),
        ..Spec::new(47)
    })
    .await;
    let address = site.instances[0].callers;
    let opened = (0..1_000).map(|_| connect(address, Duration::from_secs(10)));
    let opened = futures_util::future::join_all(opened).await;
    assert_eq!(opened.iter().filter(|c| c.is_ok()).count(), 1_000);
    drop(opened);
    let call = Call::plain(SHOP, Method::GET, "/tiles/1", "");
    let got = futures_util::future::join_all((0..50).map(|_| client::call(address, &call))).await;
    assert!(got.iter().all(Got::answered));
}

/// An endpoint of firdock's own protocol may ask for a backoff time when it refuses a request.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asked_for_a_time_gets_nothing_in_it() {
    let site = Site::start(Spec {
        engines: 2,
        services: 2,
        ..Spec::new(48)
    })
    .await;
    let asks = |on: bool| {
        let change = |f: &mut FaultState| (f.refuse, f.retry_after) = (on, if on { 60 } else { 0 });
        site.services[0].faults.change(change);
        site.engines[0].faults.change(change);
    };
    asks(true);
    let call = async |n: usize| {
        let tile = Call::plain(SHOP, Method::GET, &format!("/tiles/{n}"), "");
        assert!(site.call(0, &tile).await.answered());
        let model = Call::model(SHOP, "guide", &format!("prompt {n}"), 5);
        assert!(site.call(0, &model).await.answered());
    };
    for n in 0..8 {
        call(n).await;
    }
    // They would accept requests again, but the backoff time has not passed.
    asks(false);
    for n in 8..24 {
        call(n).await;
    }
    assert_eq!(site.services[0].runs().by_request.len(), 0);
    assert_eq!(site.engines[0].runs().by_request.len(), 0);
}
