//! Every caller gets the complete answer to its own request and no other.

use std::time::Duration;

use firdock_standin::client::{self, Call};
use hyper::Method;
use uuid::Uuid;

use crate::dispatch_once::pass_grace;
use crate::helper::{SHOP, Site, Spec};

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_taken_up_on_the_same_engine() {
    let site = Site::start(Spec::new(20)).await;
    site.engines[0]
        .faults
        .change(|f| (f.cuts, f.cut_after) = (1, 5));
    let got = site
        .call(0, &Call::model(SHOP, "draft", "the trail", 40))
        .await;
    assert!(got.answered(), "{got:?}");
    assert_eq!(site.engines[0].runs().most(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_engine_is_resumed_on_another() {
    let site = Site::start(Spec {
        engines: 2,
        ..Spec::new(21)
    })
    .await;
    site.slow_engines();
    let address = site.instances[0].callers;
    let calls: Vec<_> = (0..6)
        .map(|i| {
            let streamed = i % 2 == 0;
            let call = Call::model(SHOP, "draft", &format!("dossier {i}"), 200);
            let call = call.with_stream(streamed);
            tokio::spawn(async move { client::call(address, &call).await })
        })
        .collect();
    site.wait("running", async |s| s.engines.iter().all(|e| e.busy() >= 2))
        .await;
    // Some tokens of each answer are sent.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(site.engines[0].busy() >= 2, "the kill interrupts answers");
    site.engines[0].kill();
    site.hurry_engines();
    for call in calls {
        let got = call.await.expect("a caller ends");
        assert!(got.answered(), "{got:?}");
    }
    assert!(site.engines.iter().all(|e| e.runs().most() <= 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_loses_its_streams_to_another() {
    let settings = "[endpoints]\nsilence_millis = 500\n".to_owned();
    let site = Site::start(Spec {
        engines: 2,
        settings,
        ..Spec::new(22)
    })
    .await;
    site.slow_engines();
    let address = site.instances[0].callers;
    let call = Call::model(SHOP, "draft", "dossier", 200);
    let stream = tokio::spawn(async move { client::call(address, &call).await });
    site.wait("running", async |s| s.engines.iter().any(|e| e.busy() == 1))
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let busy = site
        .engines
        .iter()
        .find(|e| e.busy() == 1)
        .expect("one engine works on it");
    busy.faults.change(|f| f.silent = true);
    site.hurry_engines();
    let got = stream.await.expect("the caller ends");
    assert!(got.answered(), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_reach_nobody() {
    let site = Site::start(Spec {
        engines: 2,
        services: 2,
        ..Spec::new(23)
    })
    .await;
    for engine in &site.engines {
        engine.faults.change(|f| f.crossed = 1);
    }
    for service in &site.services {
        service.faults.change(|f| f.crossed = 1);
    }
    let model = site
        .call(0, &Call::model(SHOP, "guide", "how far", 5))
        .await;
    assert!(model.is_sound() && model.outcome != "answered", "{model:?}");
    let plain = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(plain.is_sound() && plain.outcome != "answered", "{plain:?}");
    let model = site
        .call(0, &Call::model(SHOP, "guide", "how far", 5))
        .await;
    assert!(model.answered() || model.outcome == "unknown", "{model:?}");
}

// Guards against a second run of a plain answer of which the caller has a part, and which nothing continues, since its
// service is one of streams that may be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_plain_answer_of_a_resumable_service_runs_once() {
    let site = Site::start(Spec {
        services: 2,
        ..Spec::new(55)
    })
    .await;
    let resumable = "repeatable = true\nstreamed = true\nresumable = true\n";
    let text = site.resources();
    let text = text.replacen("repeatable = true\n", resumable, 1);
    let (status, answer) = site.apply(&text).await;
    assert_eq!(status, 200, "{answer}");
    site.wait_converged().await;
    for service in &site.services {
        service.faults.change(|f| (f.cuts, f.cut_after) = (1, 4));
    }
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(!got.ended && !got.own, "{got:?}");
    let runs: Vec<u32> = site.services.iter().map(|s| s.runs().most()).collect();
    assert_eq!(runs.iter().sum::<u32>(), 1, "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_plain_answer_is_shown_as_cut() {
    let site = Site::start(Spec::new(24)).await;
    site.services[0]
        .faults
        .change(|f| (f.cuts, f.cut_after) = (1, 4));
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(!got.ended && !got.own, "{got:?}");
    let got = site
        .call(0, &Call::plain(SHOP, Method::GET, "/tiles/1", ""))
        .await;
    assert!(got.answered(), "{got:?}");
}

// Guards against a partial answer that is cached for its key and replayed as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_without_framing_claims_no_end_and_neither_does_its_replay() {
    let site = Site::start(Spec::new(29)).await;
    site.services[0]
        .faults
        .change(|f| (f.unframed, f.cuts, f.cut_after) = (true, 1, 4));
    let key = Uuid::now_v7().to_string();
    let call = Call::plain(SHOP, Method::POST, "/orders/1", &key).with_key(&key);
    for replayed in [false, true] {
        let got = site.call(0, &call).await;
        assert_eq!(
            (got.status, got.text.len()),
            (200, 4),
            "{replayed}: {got:?}"
        );
        let framed = ["content-length", "transfer-encoding"];
        let framed = framed
            .into_iter()
            .any(|name| got.headers.contains_key(name));
        assert!(!framed, "{replayed}: {got:?}");
    }
    assert_eq!(site.services[0].runs().most(), 1);
}

// Guards against a last chunk for an answer without framing that was forwarded by another instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_without_framing_claims_no_end_over_a_hand_over_either() {
    let site = Site::start(Spec {
        instances: 2,
        settings: "[keys]\ngrace_seconds = 1\n".to_owned(),
        ..Spec::new(51)
    })
    .await;
    site.services[0].faults.change(|f| f.unframed = true);
    let order = || {
        let key = Uuid::now_v7().to_string();
        Call::plain(SHOP, Method::POST, "/orders/1", &key).with_key(&key)
    };
    pass_grace().await;
    for n in 0..8 {
        let got = site.call(n % 2, &order()).await;
        assert!(got.answered(), "{got:?}");
        let framed = ["content-length", "transfer-encoding"];
        let framed = framed
            .into_iter()
            .any(|name| got.headers.contains_key(name));
        assert!(!framed, "{n}: {got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_with_the_same_text_get_an_answer_each() {
    let site = Site::start(Spec {
        engines: 2,
        ..Spec::new(25)
    })
    .await;
    let call = Call::model(SHOP, "guide", "the same question", 30);
    let calls = (0..12).map(|_| site.call(0, &call));
    let got = futures_util::future::join_all(calls).await;
    assert!(got.iter().all(client::Got::answered), "{got:?}");
    let ids: std::collections::BTreeSet<_> = got
        .iter()
        .filter_map(|g| g.headers["x-request-id"].to_str().ok())
        .collect();
    assert_eq!(ids.len(), 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_the_engine() {
    let site = Site::start(Spec::new(26)).await;
    let address = site.instances[0].callers;
    let calls: Vec<_> = (0..6)
        .map(|i| {
            let call = Call::model(SHOP, "draft", &format!("long {i}"), 4_000);
            tokio::spawn(async move { client::call(address, &call).await })
        })
        .collect();
    site.wait("running", async |s| s.engines[0].busy() == 4)
        .await;
    for call in calls {
        call.abort();
    }
    site.wait("cancelled", async |s| s.engines[0].busy() == 0)
        .await;
    site.wait("forgotten", async |s| {
        s.instances[0].metric("firdock_held{tier=\"draft\"}").await == 0.0
    })
    .await;
    let got = site.call(0, &Call::model(SHOP, "draft", "short", 3)).await;
    assert!(got.answered(), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_reports_and_lost_cache_events_cost_no_answer() {
    let site = Site::start(Spec {
        engines: 2,
        ..Spec::new(27)
    })
    .await;
    for engine in &site.engines {
        engine
            .faults
            .change(|f| (f.report_lag_millis, f.lost_events) = (2_000, 3));
    }
    let prompt = "a long prefix that many share ".repeat(60);
    for round in 0..4 {
        let calls: Vec<_> = (0..6)
            .map(|i| Call::model(SHOP, "guide", &format!("{prompt}{round} {i}"), 8))
            .collect();
        let got = futures_util::future::join_all(calls.iter().map(|c| site.call(0, c))).await;
        assert!(got.iter().all(client::Got::answered), "{got:?}");
    }
    assert!(site.engines.iter().all(|e| e.runs().most() <= 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_before_its_first_token_is_taken_up() {
    let site = Site::start(Spec::new(28)).await;
    site.engines[0]
        .faults
        .change(|f| (f.cuts, f.cut_after) = (1, 0));
    let got = site
        .call(0, &Call::model(SHOP, "draft", "the trail", 20))
        .await;
    assert!(got.answered(), "{got:?}");
    assert_eq!(site.engines[0].runs().most(), 1);
}
