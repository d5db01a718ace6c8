//! Completeness of answers: the decision for each framing and ending, and the splitting of streams into events.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firdock_node::endpoint::{
    BodyState, Completeness, Ending, EngineClient as _, EventSplitter, Framing, HttpEngine,
    KvCache, ReportSource as _, TrailingData, assess_completeness,
};
use firdock_policy::event::{BreakCause, HeadFault};
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode, Version};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use uuid::Uuid;

const ENDINGS: [Ending; 11] = [
    Ending::Framed,
    Ending::Closed,
    Ending::Early,
    Ending::Reset,
    Ending::PeerLost,
    Ending::Silent,
    Ending::Restarted,
    Ending::Foreign,
    Ending::InvalidHead(HeadFault::Coding),
    Ending::Excess,
    Ending::Endless,
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

// Guards against a lost connection that counts as the end of an answer.
#[test]
fn an_answer_ends_by_its_framing_or_by_an_orderly_close_if_it_has_none() {
    let bodies = [
        BodyState::Opaque,
        events(true, TrailingData::Nothing),
        BodyState::Delimited { ended: true },
    ];
    for framing in FRAMINGS {
        for ending in ENDINGS {
            let closed = framing == Framing::Connection && ending == Ending::Closed;
            for body in bodies {
                let completeness = assess_completeness(framing, ending, body);
                let is_broken = matches!(completeness, Completeness::Broken(_));
                let ends = ending == Ending::Framed || closed;
                assert_eq!(is_broken, !ends, "{framing:?} {ending:?} {body:?}");
                let proven = !closed || body == BodyState::Delimited { ended: true };
                assert_eq!(
                    completeness == Completeness::Complete,
                    ends && proven,
                    "{framing:?} {ending:?}"
                );
            }
        }
    }
}

// Guards against streams that end inside an event, or before the first one, and count as complete.
#[test]
fn a_stream_that_ends_inside_an_event_is_broken_whatever_its_framing() {
    let closed = |body| assess_completeness(Framing::Connection, Ending::Closed, body);
    let framed = |body| assess_completeness(Framing::Chunks, Ending::Framed, body);
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
    for (body, by_close, by_framing) in cases {
        let by_close = by_close.map_or(Completeness::Unproven, Completeness::Broken);
        let by_framing = by_framing.map_or(Completeness::Complete, Completeness::Broken);
        assert_eq!(closed(body), by_close, "{body:?}");
        assert_eq!(framed(body), by_framing, "{body:?}");
    }
}

/// Result of splitting a stream: bytes forwarded, number of events, last id, and trailing data.
#[derive(Debug, PartialEq, Eq)]
struct Split {
    forwarded: Vec<u8>,
    count: u32,
    id: Option<String>,
    left: TrailingData,
}

/// Splits a stream that arrives in chunks of these lengths, repeated as often as needed.
fn split(bytes: &[u8], lengths: &[usize]) -> Split {
    let mut splitter = EventSplitter::default();
    let mut result = Split {
        forwarded: Vec::new(),
        count: 0,
        id: None,
        left: TrailingData::Nothing,
    };
    let mut rest = bytes;
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = lengths.next().copied().unwrap_or(1).clamp(1, rest.len());
        let (chunk, after) = rest.split_at(length);
        rest = after;
        if let Some(complete) = splitter.push(chunk).expect("no event is too long") {
            result.forwarded.extend_from_slice(&complete.bytes);
            result.count += complete.count;
            if complete.count > 0 {
                result.id = complete.last_id;
            }
        }
    }
    result.left = splitter.finish().1;
    result
}

// Guards against ends of events that are missed, or found where the published format has none.
#[test]
fn events_end_at_a_blank_line_with_any_line_terminator() {
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
    for (stream, forwarded, count, id, left) in cases {
        let expected = Split {
            forwarded: forwarded.as_bytes().to_vec(),
            count,
            id: id.map(str::to_owned),
            left,
        };
        for lengths in [&[usize::MAX][..], &[1], &[2], &[3, 1]] {
            assert_eq!(
                split(stream.as_bytes(), lengths),
                expected,
                "{stream:?} {lengths:?}"
            );
        }
    }
}

// Guards against a caller that gets the head of an answer before its first event is complete.
#[test]
fn comments_are_held_until_the_first_event_and_forwarded_at_once_after_it() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b": wait\n\n").expect("short"), None);
    let first = splitter
        .push(b"data: a\n\n")
        .expect("short")
        .expect("an event");
    assert_eq!(
        (first.count, &*first.bytes),
        (1, &b": wait\n\ndata: a\n\n"[..])
    );
    let comment = splitter
        .push(b": alive\n")
        .expect("short")
        .expect("a comment");
    assert_eq!((comment.count, &*comment.bytes), (0, &b": alive\n"[..]));
}

// Guards against an event that is held until the data after it arrives.
#[test]
fn an_event_is_complete_with_the_first_byte_of_its_terminator() {
    let mut splitter = EventSplitter::default();
    let first = splitter
        .push(b"data: a\r\n\r")
        .expect("short")
        .expect("an event");
    assert_eq!(first.count, 1);
    let rest = splitter
        .push(b"\ndata: b\r\n\r")
        .expect("short")
        .expect("an event");
    assert_eq!((rest.count, &*rest.bytes), (1, &b"\ndata: b\r\n\r"[..]));
}

/// Starts a server that answers one call with these bytes and closes the connection.
async fn serve_once(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut call = [0; 1_024];
        let _ = stream.read(&mut call).await;
        stream.write_all(answer.as_bytes()).await.expect("written");
    });
    address
}

fn engine() -> HttpEngine {
    HttpEngine::new(Duration::from_secs(1), Duration::from_secs(1))
}

// Guards against a truncated KV cache that passes for a complete one: its format does not mark its end.
#[tokio::test]
async fn a_kv_cache_without_framing_is_rejected() {
    let at = serve_once("HTTP/1.1 200 OK\r\n\r\nbytes").await;
    let exported = engine().export_kv(at, Uuid::nil()).await;
    assert_eq!(exported.ok(), None);
    let at = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbytes").await;
    let exported = engine().export_kv(at, Uuid::nil()).await;
    assert_eq!(exported.ok(), Some(KvCache(Bytes::from_static(b"bytes"))));
}

// Guards against a truncated report that passes for a complete one, and against a complete one that is
// rejected because it has no framing.
#[tokio::test]
async fn a_report_without_framing_is_accepted_if_its_json_is_complete() {
    let at = serve_once("HTTP/1.1 200 OK\r\n\r\n{\"running\": 3}").await;
    let report = engine().report(at, 0).await.expect("a report");
    assert_eq!(report.running, 3);
    let at = serve_once("HTTP/1.1 200 OK\r\n\r\n{\"running\": 3").await;
    assert_eq!(engine().report(at, 0).await.ok(), None);
}

/// Lengths and codings of a head, and the framing that they name.
type HeadCase = (
    &'static [&'static str],
    &'static [&'static str],
    Result<Framing, HeadFault>,
);

/// Reads the framing of an answer of HTTP/1.1 to a GET.
fn framing(status: StatusCode, headers: &HeaderMap) -> Result<Framing, HeadFault> {
    let read = Framing::read(&Method::GET, status, Version::HTTP_11, headers);
    read.map_err(|invalid| invalid.fault)
}

// Guards against complete answers that are awaited further, or reset, because they never have a body.
#[test]
fn answers_that_have_no_body_need_no_framing() {
    let none = HeaderMap::new();
    assert_eq!(framing(StatusCode::NO_CONTENT, &none), Ok(Framing::Empty));
    assert_eq!(framing(StatusCode::NOT_MODIFIED, &none), Ok(Framing::Empty));
    assert_eq!(framing(StatusCode::OK, &none), Ok(Framing::Connection));
    assert_eq!(
        Framing::read(&Method::HEAD, StatusCode::OK, Version::HTTP_11, &none),
        Ok(Framing::Empty)
    );
}

// Guards against a body that is read by one of two ends that a head names, or by none since its coding is unknown.
#[test]
fn a_head_names_one_end_of_its_body_or_is_invalid() {
    use HeadFault::{Coding, Length, LengthAndCoding};
    let cases: [HeadCase; 18] = [
        (&["7"], &[], Ok(Framing::Length)),
        (&[], &["chunked"], Ok(Framing::Chunks)),
        (&[], &["Chunked"], Ok(Framing::Chunks)),
        (&["7"], &["chunked"], Err(LengthAndCoding)),
        (&["7"], &["identity"], Err(LengthAndCoding)),
        (&["7", "7"], &[], Err(Length)),
        (&["7", "8"], &[], Err(Length)),
        (&["7, 7"], &[], Err(Length)),
        (&["+7"], &[], Err(Length)),
        (&[""], &[], Err(Length)),
        (&["18446744073709551616"], &[], Err(Length)),
        (&[], &["gzip, Chunked"], Err(Coding)),
        (&[], &["chunked, gzip"], Err(Coding)),
        (&[], &["chunked", "chunked"], Err(Coding)),
        (&[], &["identity"], Err(Coding)),
        (&[], &["chunked;q=1"], Err(Coding)),
        (&[], &["chunke"], Err(Coding)),
        (&[], &[""], Err(Coding)),
    ];
    for (lengths, codings, expected) in cases {
        let mut headers = HeaderMap::new();
        for length in lengths {
            headers.append(header::CONTENT_LENGTH, HeaderValue::from_static(length));
        }
        for coding in codings {
            headers.append(header::TRANSFER_ENCODING, HeaderValue::from_static(coding));
        }
        assert_eq!(
            framing(StatusCode::OK, &headers),
            expected,
            "{lengths:?} {codings:?}"
        );
        let without_body = framing(StatusCode::NO_CONTENT, &headers);
        assert_eq!(
            without_body,
            expected.map(|_| Framing::Empty),
            "{lengths:?} {codings:?}"
        );
    }
    let mut headers = HeaderMap::new();
    headers.insert(
        header::TRANSFER_ENCODING,
        HeaderValue::from_static("chunked"),
    );
    let old = Framing::read(&Method::GET, StatusCode::OK, Version::HTTP_10, &headers);
    assert_eq!(old.map_err(|invalid| invalid.fault), Err(Coding));
}

// Guards against a status that no final answer has and that a caller gets as one.
#[test]
fn an_answer_has_the_status_of_a_final_one() {
    let none = HeaderMap::new();
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("three digits");
        let is_final = (200..=599).contains(&code);
        assert_eq!(framing(status, &none).is_ok(), is_final, "{code}");
    }
}

/// Generates a line without its terminator.
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
    // Guards against a splitting that depends on the chunks in which a stream arrives.
    #[test]
    fn chunks_do_not_change_the_result_and_the_forwarded_bytes_are_a_prefix(
        lines in prop::collection::vec((line(), prop_oneof![Just("\n"), Just("\r\n"), Just("\r")]), 0..12),
        lengths in prop::collection::vec(1_usize..9, 1..4),
        lost in 0_usize..6,
    ) {
        let mut stream: String = lines.iter().flat_map(|(line, end)| [*line, *end]).collect();
        stream.truncate(stream.len().saturating_sub(lost));
        let once = split(stream.as_bytes(), &[usize::MAX]);
        let often = split(stream.as_bytes(), &lengths);
        prop_assert_eq!(&once, &often);
        prop_assert!(stream.as_bytes().starts_with(&once.forwarded));
    }
}
