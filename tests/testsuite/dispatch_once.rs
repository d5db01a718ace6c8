//! Each request is dispatched to an endpoint at most once, and orders run at most once.

use std::time::Duration;

use firdock_standin::client::{self, Call, Got};
use hyper::Method;
use uuid::Uuid;

use crate::helper::{SHOP, Site, Spec, address};

fn order(name: &str) -> Call {
    Call::plain(SHOP, Method::POST, "/orders/sheet-21", "two copies").with_work_name(name)
}

fn timed_order() -> Call {
    let key = Uuid::now_v7().to_string();
    order(&key).with_key(&key)
}

/// Waits until keys that are generated from now on are newer than the grace period after the last change
/// of members.
pub async fn pass_grace() {
    tokio::time::sleep(Duration::from_millis(1_200)).await;
}

fn spec(net: u8) -> Spec {
    Spec {
        settings: "[keys]\ngrace_seconds = 1\n".to_owned(),
        ..Spec::new(net)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connects_and_refusals_lead_to_the_other_endpoint() {
    let site = Site::start(Spec {
        services: 3,
        ..spec(10)
    })
    .await;
    site.services[0].served.close();
    site.services[1].faults.change(|f| f.refuse = true);
    for i in 0..12 {
        let got = site.call(0, &order(&format!("order {i}"))).await;
        assert!(got.answered(), "{got:?}");
    }
    assert_eq!(site.services[2].runs().by_work.len(), 12);
    assert_eq!(site.services[2].runs().most(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn when_every_endpoint_refuses_the_request_did_not_run() {
    let site = Site::start(Spec {
        services: 2,
        ..spec(11)
    })
    .await;
    for service in &site.services {
        service.faults.change(|f| f.refuse = true);
    }
    let got = site.call(0, &order("refused")).await;
    assert_eq!(
        (got.status, got.outcome.as_str()),
        (503, "not-run"),
        "{got:?}"
    );
    assert!(got.retry_after.is_some());
    assert!(site.services.iter().all(|s| s.runs().by_work.is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_reply_is_lost_is_unknown_and_runs_once() {
    let settings = "[keys]\ngrace_seconds = 1\n[endpoints]\nsilence_millis = 400\n".to_owned();
    let site = Site::start(Spec {
        services: 2,
        settings,
        ..Spec::new(12)
    })
    .await;
    for service in &site.services {
        service.faults.change(|f| f.lose_replies = 1);
    }
    pass_grace().await;
    let call = timed_order();
    let first = site.call(0, &call).await;
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (502, "unknown"),
        "{first:?}"
    );
    let again = site.call(0, &call).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    let ran: usize = site.services.iter().map(|s| s.runs().by_work.len()).sum();
    assert_eq!(ran, 1, "one of two services ran it, once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_error_is_the_callers_answer_and_not_tried_again() {
    let site = Site::start(Spec {
        services: 2,
        ..spec(13)
    })
    .await;
    for service in &site.services {
        service.faults.change(|f| f.outage = true);
    }
    let got = site.call(0, &order("outage")).await;
    assert_eq!(
        (got.status, got.outcome.as_str()),
        (503, "answered"),
        "{got:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_every_instance_at_once_runs_once() {
    let site = Site::start(Spec {
        instances: 3,
        services: 2,
        ..spec(14)
    })
    .await;
    pass_grace().await;
    for _ in 0..6 {
        let call = timed_order();
        let addresses: Vec<_> = site.instances.iter().map(|n| n.callers).collect();
        let calls = addresses
            .iter()
            .chain(&addresses)
            .map(|address| client::call(*address, &call));
        let got: Vec<Got> = futures(calls).await;
        assert_eq!(
            got.iter().filter(|g| g.outcome == "not-run").count(),
            0,
            "{got:?}"
        );
        assert!(got.iter().any(Got::answered), "{got:?}");
        let late = site.call(2, &call).await;
        assert!(late.answered(), "the cached answer: {late:?}");
    }
    let most = site.services.iter().map(|s| s.runs().most()).max();
    assert_eq!(most, Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_resent_after_its_owner_was_killed_runs_at_most_once() {
    let settings = "[keys]\ngrace_seconds = 1\n[endpoints]\nsilence_millis = 1000\n".to_owned();
    let work = Duration::from_millis(150);
    let spec = Spec {
        instances: 3,
        services: 2,
        settings,
        work,
        ..Spec::new(15)
    };
    let mut site = Site::start(spec).await;
    pass_grace().await;
    let calls: Vec<Call> = (0..24).map(|_| timed_order()).collect();
    let addresses: Vec<_> = site.instances.iter().map(|n| n.callers).collect();
    let sending = calls
        .iter()
        .zip(addresses.iter().cycle())
        .map(|(c, address)| client::call(*address, c));
    let sending = futures(sending);
    let killing = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        site.instances[0].kill();
        site.list.remove("node-0");
    };
    let (first, ()) = tokio::join!(sending, killing);
    assert!(
        first.iter().any(|g| !g.answered()),
        "the kill must interrupt at least one call"
    );
    let end = std::time::Instant::now() + Duration::from_secs(4);
    while std::time::Instant::now() < end {
        let addresses = &addresses[1..];
        let again = calls
            .iter()
            .zip(addresses.iter().cycle())
            .map(|(c, d)| client::call(*d, c));
        for (got, call) in futures(again).await.iter().zip(&calls) {
            let name = call.work_name.as_deref().unwrap_or_default();
            let ran = site
                .services
                .iter()
                .any(|s| s.runs().by_work.contains_key(name));
            assert!(
                got.outcome != "not-run" || !ran,
                "told not-run, but ran: {got:?}"
            );
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let mut runs = std::collections::BTreeMap::<String, u32>::new();
    for service in &site.services {
        for (name, n) in service.runs().by_work {
            *runs.entry(name).or_default() += n;
        }
    }
    assert_eq!(runs.values().max(), Some(&1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_wakes_after_a_takeover_runs_nothing_twice() {
    let spec = Spec {
        instances: 3,
        services: 2,
        ..spec(16)
    };
    let site = Site::start(spec).await;
    pass_grace().await;
    site.instances[0].signal("STOP");
    let calls: Vec<Call> = (0..12).map(|_| timed_order()).collect();
    let addresses: Vec<_> = site.instances.iter().map(|n| n.callers).collect();
    // All calls wait in the paused instance and are sent to the others as well.
    let paused = calls.iter().map(|c| client::call(addresses[0], c));
    let paused = futures(paused);
    let others = async {
        site.list.remove("node-0");
        for _ in 0..12 {
            let sending = calls.iter().zip(addresses[1..].iter().cycle());
            futures(sending.map(|(c, address)| client::call(*address, c))).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        site.instances[0].signal("CONT");
    };
    let (late, ()) = tokio::join!(paused, others);
    let mut runs = std::collections::BTreeMap::<String, u32>::new();
    for service in &site.services {
        for (name, n) in service.runs().by_work {
            *runs.entry(name).or_default() += n;
        }
    }
    assert!(runs.values().all(|n| *n == 1), "{runs:?}");
    for (got, call) in late.iter().zip(&calls) {
        let ran = runs.contains_key(call.work_name.as_deref().unwrap_or_default());
        assert!(
            got.outcome != "not-run" || !ran,
            "told not-run, but ran: {got:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_through_planned_restarts() {
    // The grace period is long, so that only reports of earlier owners let new keys run at once.
    let settings = "[keys]\ngrace_seconds = 60\n".to_owned();
    let spec = Spec {
        instances: 3,
        services: 2,
        settings,
        ..Spec::new(17)
    };
    let mut site = Site::start(spec).await;
    let opaque = |n: usize, round: u8| {
        let key = format!("order-{round}-{n}");
        order(&key).with_key(&key)
    };
    let mut sent = Vec::new();
    for i in 0..3_u8 {
        site.restart(i).await;
        let calls: Vec<Call> = (0..8)
            .map(|n| opaque(n, i))
            .chain((0..8).map(|_| timed_order()))
            .collect();
        let sending = calls
            .iter()
            .enumerate()
            .map(|(n, call)| site.call(n % 3, call));
        let got = futures_util::future::join_all(sending).await;
        assert!(got.iter().all(Got::answered), "round {i}: {got:?}");
        sent.extend(calls);
    }
    for (n, call) in sent.iter().enumerate() {
        let again = site.call(n % 3, call).await;
        assert!(again.answered() || again.outcome == "unknown", "{again:?}");
    }
    let runs: Vec<u32> = site
        .services
        .iter()
        .flat_map(|s| s.runs().by_work.into_values())
        .collect();
    assert_eq!(runs.len(), sent.len());
    assert!(runs.iter().all(|n| *n == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_reset_before_its_answer_is_unknown_and_sent_once() {
    let site = Site::start(Spec {
        services: 0,
        ..spec(18)
    })
    .await;
    let address = address(site.spec.net, 60, 7000);
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .expect("an address");
    let resource = format!(
        "[[endpoint]]\nname = \"reset\"\nbackend = \"plain\"\n\
         address = \"{address}\"\nservices = [\"orders\", \"tiles\"]\n"
    );
    let (status, answer) = site.apply(&resource).await;
    assert_eq!(status, 200, "{answer}");
    let resetting = tokio::spawn(async move {
        let mut orders = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 4_096];
            let n = tokio::io::AsyncReadExt::read(&mut stream, &mut head)
                .await
                .unwrap_or(0);
            orders += usize::from(head[..n].starts_with(b"POST /orders"));
            if orders == 1 && head[..n].starts_with(b"POST /orders") {
                return (orders, listener);
            }
        }
        (orders, listener)
    });
    let got = site.call(0, &order("reset")).await;
    assert_eq!(
        (got.status, got.outcome.as_str()),
        (502, "unknown"),
        "{got:?}"
    );
    let (orders, listener) = resetting.await.expect("the endpoint's task finishes");
    assert_eq!(orders, 1);
    let again = tokio::time::timeout(Duration::from_millis(300), async {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 4_096];
            let n = tokio::io::AsyncReadExt::read(&mut stream, &mut head)
                .await
                .unwrap_or(0);
            if head[..n].starts_with(b"POST /orders") {
                return;
            }
        }
    });
    assert!(again.await.is_err(), "the order was sent again");
}

/// Runs calls concurrently and returns their results.
async fn futures<F>(calls: impl Iterator<Item = F>) -> Vec<Got>
where
    F: Future<Output = Got>,
{
    futures_util::future::join_all(calls).await
}
