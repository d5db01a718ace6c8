//! Tests of the entry instance's decoders and stores: invalid input is an error, never a panic.

mod beacon_socket;
mod bootstrap;
mod change_delay;
mod change_tracker;
mod clock;
mod completeness;
mod dead_peer;
mod endless_tunnels;
mod endpoint_changes;
mod head_notice;
mod in_force;
mod key_transfers;
mod large_site;
mod log_limiter;
mod log_reads;
mod log_writer;
mod partial_replies;
mod peers;
mod permits;
mod placement;
mod read_back;
mod shared_reads;
mod streams;
mod suspects;
mod test_instance;
mod tunnels;
mod wire_numbers;

use bytes::Bytes;
use firdock_core::resource::{Resource, Tier};
use firdock_node::answer_cache::{AnswerCache, CachedAnswer};
use firdock_node::backoff::Backoff;
use firdock_node::config::Changes;
use firdock_node::endpoint::{EndpointReport, SseDecoder, SseEvent};
use firdock_node::http::strip_hop_by_hop;
use firdock_node::ingress::ModelCall;
use firdock_node::platform::ListedRow;
use firdock_node::telemetry::TraceContext;
use firdock_node::{AnswerHead, telemetry};
use firdock_state::{Entry, State};
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use std::time::Duration;
use uuid::Uuid;

fn head() -> AnswerHead {
    AnswerHead {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        unframed: false,
    }
}

#[test]
fn the_answer_cache_is_bounded_and_evicts_the_oldest_answer_first() {
    let answers = AnswerCache::new(4_000);
    let ids: Vec<Uuid> = (0..4).map(|n| Uuid::from_u64_pair(0, n)).collect();
    for id in &ids {
        let mut answer = CachedAnswer::new(head());
        assert!(answer.push(&[7; 1_000]));
        answers.insert(*id, answer);
    }
    let cached: Vec<bool> = ids.iter().map(|id| answers.get(*id).is_some()).collect();
    assert_eq!(cached, [false, false, true, true]);
    answers.remove(ids[3]);
    assert!(answers.get(ids[3]).is_none());
}

#[test]
fn an_answer_that_is_too_large_is_not_cached() {
    let mut answer = CachedAnswer::new(head());
    assert!(!answer.push(&vec![0; 1 << 20]));
}

#[test]
fn backoff_pauses_grow_with_jitter_up_to_the_maximum() {
    let (base, max) = (Duration::from_millis(100), Duration::from_secs(1));
    let mut backoff = Backoff::new(base, max);
    for full in [100, 200, 400, 800, 1_000, 1_000] {
        let pause = backoff.next_pause().as_millis();
        assert!((full / 2..=full).contains(&pause), "{pause} of {full}");
    }
    backoff.reset();
    assert!(backoff.next_pause() <= base);
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("accept", "text/plain"),
    ] {
        headers.insert(name, value.parse().expect("a header value"));
    }
    strip_hop_by_hop(&mut headers);
    let remaining: Vec<&str> = headers
        .keys()
        .map(hyper::header::HeaderName::as_str)
        .collect();
    assert_eq!(remaining, ["accept"]);
}

#[test]
fn a_child_span_keeps_the_trace_id() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let context = TraceContext::parse(text).expect("a valid header");
    assert_eq!(context.header(), text);
    let child = context.child();
    assert_eq!(child.trace_id(), context.trace_id());
    assert_ne!(child.header(), text);
    assert!(
        TraceContext::parse(&text.replace("0af7651916cd43dd8448eb211c80319c", &"0".repeat(32)))
            .is_none()
    );
}

#[test]
fn events_are_decoded_from_chunks_of_any_size() {
    let text = "data: one\n\n: comment\n\ndata: two\r\ndata: three\r\n\r\nid: 7\n\n";
    for size in 1..text.len() {
        let mut decoder = SseDecoder::new();
        let mut events = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            decoder.push(chunk);
            while let Some(event) = decoder.next_event().expect("a good stream") {
                events.push(event);
            }
        }
        let data = |text: &str| SseEvent::Data(text.to_owned());
        assert_eq!(events, [data("one"), SseEvent::Comment, data("two\nthree")]);
    }
}

#[test]
fn an_event_over_the_size_limit_is_an_error() {
    let mut decoder = SseDecoder::new();
    decoder.push(&vec![b'x'; 1 << 20]);
    assert!(matches!(
        decoder.next_event(),
        Err(firdock_node::endpoint::InvalidEventStream)
    ));
}

#[test]
fn metrics_can_be_rendered() {
    let text = telemetry::Metrics::new().render();
    assert!(text.contains("firdock_decision_seconds") && text.ends_with("# EOF\n"));
}

proptest! {
    #[test]
    fn any_bytes_are_an_event_stream_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = SseDecoder::new();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_event() {}
    }

    #[test]
    fn any_body_is_a_call_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200), field in "[a-z_]{1,12}", n in any::<i64>()) {
        for path in ["/v1/completions", "/v1/chat/completions"] {
            let _ = ModelCall::parse(path, &Bytes::from(bytes.clone()));
            let nearly_valid = format!("{{\"model\":\"m\",\"prompt\":\"p\",\"messages\":[{{}},{n}],\"{field}\":{n}}}");
            let _ = ModelCall::parse(path, &Bytes::from(nearly_valid));
        }
    }

    #[test]
    fn any_text_is_a_report_a_row_a_trace_or_an_error(text in ".{0,100}") {
        let _ = serde_json::from_str::<EndpointReport>(&text);
        let _ = serde_json::from_str::<ListedRow>(&text);
        let _ = TraceContext::parse(&text);
    }
}

#[test]
fn a_watcher_gets_no_changes_from_before_the_snapshot() {
    let state = |next: u64, resources: &[(&str, u64)]| {
        let entry = |&(name, version): &(&str, u64)| {
            let tier = Tier {
                name: name.to_owned(),
                ..Tier::default()
            };
            let resource = Resource::Tier(tier);
            (resource.key(), Entry { version, resource })
        };
        let entries = resources.iter().map(entry).collect();
        State {
            next,
            version: next,
            entries,
            ..State::new()
        }
    };
    let mut changes = Changes::default();
    // The instance starts from a snapshot, so it cannot know of earlier deletions.
    changes.record(&State::new(), &state(9, &[("draft", 4)]));
    assert_eq!(changes.after(3), None, "a deletion after 3 would be missed");
    assert_eq!(
        changes.after(0).map(|c| c.len()),
        Some(1),
        "a new watcher gets every resource in force"
    );
    changes.record(&state(9, &[("draft", 4)]), &state(10, &[]));
    let recent = changes.after(9).expect("this instance recorded the change");
    assert_eq!((recent.len(), recent[0].version), (1, 10));
}
