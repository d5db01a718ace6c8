//! Whether an answer is whole: the table of what is decided, and how streams are cut into events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firdock_node::endpoint::{
    BodyState, Completeness, Ending, EngineClient as _, EventSplitter, Framing, HttpEngine,
    KvCache, ReportSource as _, TrailingData, assess_completeness,
};
use firdock_policy::event::BreakCause;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use uuid::Uuid;

const ENDINGS: [Ending; 7] = [
    Ending::Framed,
    Ending::Closed,
    Ending::Early,
    Ending::Reset,
    Ending::Silent,
    Ending::Restarted,
    Ending::Foreign,
];
const FRAMINGS: [Framing; 4] = [
    Framing::Empty,
    Framing::Length,
    Framing::Chunks,
    Framing::Connection,
];

fn events(begun: bool, left: TrailingData) -> BodyState {
    BodyState::Events { begun, left }
}

// Guards against ends by a lost connection that count as the end of an answer.
#[test]
fn only_its_framing_or_an_orderly_close_without_one_ends_an_answer() {
    let shapes = [
        BodyState::Opaque,
        events(true, TrailingData::Nothing),
        BodyState::Delimited { ended: true },
    ];
    for framing in FRAMINGS {
        for ending in ENDINGS {
            let closed = framing == Framing::Connection && ending == Ending::Closed;
            for shape in shapes {
                let told = assess_completeness(framing, ending, shape);
                let is_broken = matches!(told, Completeness::Broken(_));
                let ends = ending == Ending::Framed || closed;
                assert_eq!(is_broken, !ends, "{framing:?} {ending:?} {shape:?}");
                let proven = !closed || shape == BodyState::Delimited { ended: true };
                assert_eq!(
                    told == Completeness::Complete,
                    ends && proven,
                    "{framing:?} {ending:?}"
                );
            }
        }
    }
}

// Guards against streams that end inside an event, or before the first one, and count as whole.
#[test]
fn a_stream_that_ends_inside_an_event_is_broken_whatever_its_framing() {
    let closed = |shape| assess_completeness(Framing::Connection, Ending::Closed, shape);
    let framed = |shape| assess_completeness(Framing::Chunks, Ending::Framed, shape);
    let cases = [
        (
            events(true, TrailingData::Event),
            Some(BreakCause::Closed),
            Some(BreakCause::Foreign),
        ),
        (
            events(true, TrailingData::Comment),
            Some(BreakCause::Closed),
            None,
        ),
        (
            events(false, TrailingData::Nothing),
            Some(BreakCause::Closed),
            None,
        ),
        (
            events(false, TrailingData::Event),
            Some(BreakCause::Closed),
            Some(BreakCause::Foreign),
        ),
        (events(true, TrailingData::Nothing), None, None),
        (
            BodyState::Delimited { ended: false },
            Some(BreakCause::Closed),
            Some(BreakCause::Foreign),
        ),
    ];
    for (shape, by_close, by_framing) in cases {
        let by_close = by_close.map_or(Completeness::Unproven, Completeness::Broken);
        let by_framing = by_framing.map_or(Completeness::Complete, Completeness::Broken);
        assert_eq!(closed(shape), by_close, "{shape:?}");
        assert_eq!(framed(shape), by_framing, "{shape:?}");
    }
}

/// What a cutter gave of a stream: bytes passed on, events, last id, and what was left.
#[derive(Debug, PartialEq, Eq)]
struct Cut {
    passed: Vec<u8>,
    count: u32,
    id: Option<String>,
    left: TrailingData,
}

/// Cuts a stream that comes in parts of these lengths.
fn cut(bytes: &[u8], lengths: &[usize]) -> Cut {
    let mut cutter = EventSplitter::default();
    let mut given = Cut {
        passed: Vec::new(),
        count: 0,
        id: None,
        left: TrailingData::Nothing,
    };
    let mut rest = bytes;
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = lengths.next().copied().unwrap_or(1).clamp(1, rest.len());
        let (part, after) = rest.split_at(length);
        rest = after;
        if let Some(whole) = cutter.push(part).expect("no event is too long") {
            given.passed.extend_from_slice(&whole.bytes);
            given.count += whole.count;
            if whole.count > 0 {
                given.id = whole.last_id;
            }
        }
    }
    given.left = cutter.finish().1;
    given
}

// Guards against ends of events that are not seen, or seen where none are, by the published format.
#[test]
fn events_end_at_a_blank_line_whatever_ends_the_lines() {
    let cases: [(&str, &str, u32, Option<&str>, TrailingData); 17] = [
        (
            "id: 1\ndata: a\n\n",
            "id: 1\ndata: a\n\n",
            1,
            Some("1"),
            TrailingData::Nothing,
        ),
        (
            "id: 1\rdata: a\r\r",
            "id: 1\rdata: a\r\r",
            1,
            Some("1"),
            TrailingData::Nothing,
        ),
        (
            "id: 1\r\ndata: a\r\n\r\n",
            "id: 1\r\ndata: a\r\n\r\n",
            1,
            Some("1"),
            TrailingData::Nothing,
        ),
        (
            "data: a\n\r\n",
            "data: a\n\r\n",
            1,
            None,
            TrailingData::Nothing,
        ),
        (
            "data: a\r\n\n",
            "data: a\r\n\n",
            1,
            None,
            TrailingData::Nothing,
        ),
        ("data: a\n\r", "data: a\n\r", 1, None, TrailingData::Nothing),
        ("data: a\r\n", "", 0, None, TrailingData::Event),
        ("data: a\n", "", 0, None, TrailingData::Event),
        ("data: a", "", 0, None, TrailingData::Event),
        (
            "data: a\n\ndata",
            "data: a\n\n",
            1,
            None,
            TrailingData::Event,
        ),
        (
            "data: a\n\n\n\r\n",
            "data: a\n\n\n\r\n",
            1,
            None,
            TrailingData::Nothing,
        ),
        (
            "data: a\n\n: bye\n",
            "data: a\n\n: bye\n",
            1,
            None,
            TrailingData::Nothing,
        ),
        (
            "data: a\n\n: by",
            "data: a\n\n",
            1,
            None,
            TrailingData::Comment,
        ),
        ("data: a\n: b\n", "", 0, None, TrailingData::Event),
        (
            "\u{feff}data: a\n\n",
            "\u{feff}data: a\n\n",
            1,
            None,
            TrailingData::Nothing,
        ),
        ("\u{feff}", "", 0, None, TrailingData::Nothing),
        (
            "id:2\ndata: a\n\nid\ndata: b\n\n",
            "id:2\ndata: a\n\nid\ndata: b\n\n",
            2,
            None,
            TrailingData::Nothing,
        ),
    ];
    for (stream, passed, count, id, left) in cases {
        let expected = Cut {
            passed: passed.as_bytes().to_vec(),
            count,
            id: id.map(str::to_owned),
            left,
        };
        for lengths in [&[usize::MAX][..], &[1], &[2], &[3, 1]] {
            assert_eq!(
                cut(stream.as_bytes(), lengths),
                expected,
                "{stream:?} {lengths:?}"
            );
        }
    }
}

// Guards against a caller that is told an answer has begun before its first event is whole.
#[test]
fn comments_before_the_first_event_wait_for_it_and_later_ones_do_not() {
    let mut cutter = EventSplitter::default();
    assert_eq!(cutter.push(b": wait\n\n").expect("short"), None);
    let first = cutter
        .push(b"data: a\n\n")
        .expect("short")
        .expect("an event");
    assert_eq!(
        (first.count, &*first.bytes),
        (1, &b": wait\n\ndata: a\n\n"[..])
    );
    let comment = cutter
        .push(b": alive\n")
        .expect("short")
        .expect("a comment");
    assert_eq!((comment.count, &*comment.bytes), (0, &b": alive\n"[..]));
}

// Guards against an event that waits for what comes after it.
#[test]
fn an_event_is_whole_with_the_first_byte_that_ends_it() {
    let mut cutter = EventSplitter::default();
    let first = cutter
        .push(b"data: a\r\n\r")
        .expect("short")
        .expect("an event");
    assert_eq!(first.count, 1);
    let rest = cutter
        .push(b"\ndata: b\r\n\r")
        .expect("short")
        .expect("an event");
    assert_eq!((rest.count, &*rest.bytes), (1, &b"\ndata: b\r\n\r"[..]));
}

/// Starts a far end that answers one call with these bytes and closes the connection.
async fn answering(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut asked = [0; 1_024];
        let _ = stream.read(&mut asked).await;
        stream.write_all(answer.as_bytes()).await.expect("written");
    });
    address
}

fn engine() -> HttpEngine {
    HttpEngine::new(Duration::from_secs(1), Duration::from_secs(1))
}

// Guards against a part of a KV cache that is taken for all of it: its form has no end of its own.
#[tokio::test]
async fn a_kv_cache_without_framing_is_not_taken() {
    let at = answering("HTTP/1.1 200 OK\r\n\r\nbytes").await;
    let taken = engine().export_kv(at, Uuid::nil()).await;
    assert_eq!(taken.ok(), None);
    let at = answering("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbytes").await;
    let taken = engine().export_kv(at, Uuid::nil()).await;
    assert_eq!(taken.ok(), Some(KvCache(Bytes::from_static(b"bytes"))));
}

// Guards against a part of a report that is taken for all of it, and against a whole one that is not taken
// since it has no framing.
#[tokio::test]
async fn a_report_without_framing_is_taken_if_its_form_is_whole() {
    let at = answering("HTTP/1.1 200 OK\r\n\r\n{\"running\": 3}").await;
    let told = engine().report(at, 0).await.expect("a report");
    assert_eq!(told.running, 3);
    let at = answering("HTTP/1.1 200 OK\r\n\r\n{\"running\": 3").await;
    assert_eq!(engine().report(at, 0).await.ok(), None);
}

// Guards against whole answers that are waited on, or reset, since they never have a body.
#[test]
fn answers_that_have_no_body_need_no_framing() {
    let none = HeaderMap::new();
    let get = |status| Framing::read(&Method::GET, status, &none);
    assert_eq!(get(StatusCode::NO_CONTENT), Framing::Empty);
    assert_eq!(get(StatusCode::NOT_MODIFIED), Framing::Empty);
    assert_eq!(get(StatusCode::OK), Framing::Connection);
    assert_eq!(
        Framing::read(&Method::HEAD, StatusCode::OK, &none),
        Framing::Empty
    );
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("7"));
    assert_eq!(
        Framing::read(&Method::GET, StatusCode::OK, &headers),
        Framing::Length
    );
    for (coding, framing) in [
        ("gzip, Chunked", Framing::Chunks),
        ("chunked", Framing::Chunks),
        ("chunked, gzip", Framing::Connection),
    ] {
        headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static(coding));
        assert_eq!(
            Framing::read(&Method::GET, StatusCode::OK, &headers),
            framing,
            "{coding}"
        );
    }
}

/// A line, without its end.
fn line() -> impl Strategy<Value = &'static str> {
    prop_oneof![
        Just(""),
        Just(": comment"),
        Just("id: 7"),
        Just("data: a"),
        Just("data"),
        Just("event: told"),
    ]
}

proptest! {
    // Guards against streams that are cut in another way where they come in other parts.
    #[test]
    fn parts_of_a_stream_change_nothing_and_all_bytes_are_passed_on_or_left(
        lines in prop::collection::vec((line(), prop_oneof![Just("\n"), Just("\r\n"), Just("\r")]), 0..12),
        lengths in prop::collection::vec(1_usize..9, 1..4),
        lost in 0_usize..6,
    ) {
        let mut stream: String = lines.iter().flat_map(|(line, end)| [*line, *end]).collect();
        stream.truncate(stream.len().saturating_sub(lost));
        let once = cut(stream.as_bytes(), &[usize::MAX]);
        let often = cut(stream.as_bytes(), &lengths);
        prop_assert_eq!(&once, &often);
        prop_assert!(stream.as_bytes().starts_with(&once.passed));
    }
}
