//! A request goes from its caller through an instance to an endpoint, and the answer comes back.

use firdock_standin::client::Call;
use hyper::Method;

use crate::helper::{SHOP, Site, Spec};

#[tokio::test(flavor = "multi_thread")]
async fn streamed_whole_and_plain_answers_come_back() {
    let site = Site::start(Spec::new(1)).await;
    let streamed = site
        .call(
            0,
            &Call::model(SHOP, "draft", "the trail to Kebnekaise", 20),
        )
        .await;
    assert!(streamed.answered(), "{streamed:?}");
    let call = Call::model(SHOP, "guide", "how far is it", 7).with_stream(false);
    let whole = site.call(0, &call).await;
    assert!(whole.answered(), "{whole:?}");
    let chat = site
        .call(0, &Call::model(SHOP, "guide", "and back", 7).with_chat())
        .await;
    assert!(chat.answered(), "{chat:?}");
    let plain = site
        .call(0, &Call::plain(SHOP, Method::PUT, "/tiles/7/3?z=2", "tile"))
        .await;
    assert!(plain.answered(), "{plain:?}");
    assert_eq!(site.engines[0].runs().most(), 1);
    let log = site.instances[0].logged();
    for span in ["\"door\"", "\"endpoint\""] {
        assert!(log.contains(span), "no span {span}");
    }
    assert!(
        !log.contains(SHOP) && !log.contains("Kebnekaise"),
        "keys and prompts must not be logged"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn strangers_and_bad_calls_are_told_so() {
    let site = Site::start(Spec::new(2)).await;
    let stranger = site
        .call(0, &Call::model("no such key", "draft", "x", 1))
        .await;
    assert_eq!(
        (stranger.status, stranger.outcome.as_str()),
        (401, "not-run")
    );
    let nowhere = site
        .call(0, &Call::model(SHOP, "no-such-model", "x", 1))
        .await;
    assert_eq!(
        (nowhere.status, nowhere.reason.as_str()),
        (404, "no-service")
    );
    let endless = site.call(0, &Call::model(SHOP, "draft", "x", 0)).await;
    assert_eq!((endless.status, endless.reason.as_str()), (400, "bad-call"));
    assert!(site.engines[0].runs().by_request.is_empty());
}
