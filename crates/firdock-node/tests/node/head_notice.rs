//! Notices about an endpoint in the head of its answer, for any bytes in the headers.

use std::time::Duration;

use firdock_node::endpoint::{HeadNotice, NoticeHeaders};
use firdock_policy::notice::{LimitNotice, Notice};
use firdock_policy::rate::RequestRate;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;

const LEAVING: HeaderName = HeaderName::from_static("it-leaves");
const LIMIT: HeaderName = HeaderName::from_static("it-takes");
const REFUSALS: HeaderName = HeaderName::from_static("it-refuses");
const NAMES: NoticeHeaders = NoticeHeaders {
    leaving: LEAVING,
    limit: LIMIT,
    refusal_limit: REFUSALS,
};
const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

fn headers(name: &HeaderName, values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a value");
        headers.append(name, value);
    }
    headers
}

fn backoff(values: &[&[u8]]) -> (Option<Duration>, Option<String>) {
    let read = HeadNotice::read(BUSY, &headers(&RETRY_AFTER, values), &NAMES);
    (read.notice.backoff, read.malformed)
}

#[test]
fn retry_after_is_read_in_seconds_with_or_without_a_fraction() {
    let secs = |n: f64| Some(Duration::from_secs_f64(n));
    let day = Some(Notice::MAX_BACKOFF);
    let cases: [(&[&[u8]], Option<Duration>); 9] = [
        (&[], None),
        (&[b"3"], secs(3.0)),
        (&[b" 3 "], secs(3.0)),
        (&[b"0.25"], secs(0.25)),
        (&[b"0"], None),
        (&[b"0.0"], None),
        // The longest of several values: the endpoint gets no request while one of its times lasts.
        (&[b"1", b"3", b"2"], secs(3.0)),
        (&[b"86401"], day),
        (&[b"99999999999999999999"], day),
    ];
    for (values, expected) in cases {
        assert_eq!(backoff(values), (expected, None), "{values:?}");
    }
}

#[test]
fn an_invalid_number_of_seconds_is_ignored_and_reported() {
    let bad: [&[u8]; 12] = [
        b"",
        b"-1",
        b"+1",
        b"1e3",
        b".5",
        b"5.",
        b"1.2.3",
        b"3, 4",
        b"soon",
        b"inf",
        b"Thu, 03 Dec 2026 04:00:00 GMT",
        b"\xff\xfe",
    ];
    for value in bad {
        let (read, malformed) = backoff(&[value]);
        assert_eq!(read, None, "{value:?}");
        assert!(malformed.is_some(), "{value:?}");
    }
    // A valid value counts beside an invalid one.
    let (read, malformed) = backoff(&[b"soon", b"2"]);
    assert_eq!(
        (read, malformed.is_some()),
        (Some(Duration::from_secs(2)), true)
    );
}

#[test]
fn retry_after_applies_to_the_endpoint_on_a_503_alone() {
    let headers = headers(&RETRY_AFTER, &[b"3"]);
    for status in [200, 400, 429, 500, 502, 504] {
        let status = StatusCode::from_u16(status).expect("a status");
        let read = HeadNotice::read(status, &headers, &NAMES);
        let mut none = HeadNotice::default();
        none.notice.limit = LimitNotice::Unlimited;
        assert_eq!(read, none, "{status}");
    }
}

#[test]
fn an_endpoint_leaves_only_by_the_value_1_and_on_any_status() {
    let cases: [(&[&[u8]], bool, bool); 7] = [
        (&[], false, false),
        (&[b"1"], true, false),
        (&[b" 1 "], true, false),
        (&[b"0"], false, false),
        (&[b"0", b"1"], true, false),
        (&[b""], false, true),
        (&[b"yes"], false, true),
    ];
    for (values, leaving, malformed) in cases {
        for status in [200, 206, 400, 429, 500, 503] {
            let status = StatusCode::from_u16(status).expect("a status");
            let read = HeadNotice::read(status, &headers(&LEAVING, values), &NAMES);
            assert_eq!(read.notice.leaving, leaving, "{values:?}");
            assert_eq!(read.malformed.is_some(), malformed, "{values:?}");
        }
    }
}

fn limit(values: &[&[u8]]) -> (LimitNotice, Option<String>) {
    let read = HeadNotice::read(StatusCode::OK, &headers(&LIMIT, values), &NAMES);
    (read.notice.limit, read.malformed)
}

#[test]
fn a_rate_limit_is_read_as_a_decimal_number_and_the_lowest_of_several_counts() {
    let rate = |thousandths| LimitNotice::Limited(RequestRate::from_thousandths(thousandths));
    let cases: [(&[&[u8]], LimitNotice); 8] = [
        (&[], LimitNotice::Unlimited),
        (&[b"3.1"], rate(3_100)),
        (&[b" 2 "], rate(2_000)),
        (&[b"3", b"2.2", b"5"], rate(2_200)),
        // An endpoint without any request could never say that its limit ended.
        (&[b"0"], LimitNotice::Limited(RequestRate::MIN)),
        (&[b"0.1"], LimitNotice::Limited(RequestRate::MIN)),
        (&[b"1000001"], LimitNotice::Limited(RequestRate::MAX)),
        (
            &[b"99999999999999999999999999"],
            LimitNotice::Limited(RequestRate::MAX),
        ),
    ];
    for (values, expected) in cases {
        assert_eq!(limit(values), (expected, None), "{values:?}");
    }
}

/// Values of the header, the limit, and whether any of them is malformed.
type RefusalCase<'a> = (&'a [&'a [u8]], Option<u32>, bool);

#[test]
fn a_refusal_limit_is_read_as_a_number_and_the_lowest_of_several_counts() {
    let cases: [RefusalCase<'_>; 6] = [
        (&[], None, false),
        (&[b"12"], Some(12), false),
        (&[b"7.9", b"20"], Some(7), false),
        (&[b"0"], Some(0), false),
        (&[b"-3"], None, true),
        (&[b"many", b"4"], Some(4), true),
    ];
    for (values, expected, malformed) in cases {
        let read = HeadNotice::read(StatusCode::OK, &headers(&REFUSALS, values), &NAMES);
        assert_eq!(read.notice.refusal_limit, expected, "{values:?}");
        assert_eq!(read.malformed.is_some(), malformed, "{values:?}");
    }
}

/// A malformed value must neither end a limit nor set one.
#[test]
fn a_malformed_rate_limit_says_nothing_and_is_reported() {
    let bad: [&[u8]; 10] = [
        b"", b"-1", b"+1", b"1e3", b".5", b"5.", b"3, 4", b"NaN", b"inf", b"\xff",
    ];
    for value in bad {
        let (read, malformed) = limit(&[value]);
        assert_eq!(read, LimitNotice::Unknown, "{value:?}");
        assert!(malformed.is_some(), "{value:?}");
    }
    let (read, malformed) = limit(&[b"soon", b"4"]);
    assert_eq!(read.rate(), Some(RequestRate::from_thousandths(4_000)));
    assert!(malformed.is_some());
}

proptest! {
    /// For any bytes, a time is within its bounds, and the report of an invalid value is short.
    #[test]
    fn any_bytes_have_a_bounded_effect(
        lines in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..12),
        status in 200_u16..600,
    ) {
        let mut map = HeaderMap::new();
        for line in &lines {
            for name in [&RETRY_AFTER, &LEAVING, &LIMIT] {
                if let Ok(value) = HeaderValue::from_bytes(line) {
                    map.append(name, value);
                }
            }
        }
        let status = StatusCode::from_u16(status).expect("a status");
        let read = HeadNotice::read(status, &map, &NAMES);
        if let Some(time) = read.notice.backoff {
            prop_assert!(!time.is_zero() && time <= Notice::MAX_BACKOFF);
            prop_assert_eq!(status, BUSY);
        }
        if let Some(rate) = read.notice.limit.rate() {
            prop_assert!((RequestRate::MIN..=RequestRate::MAX).contains(&rate));
        }
        prop_assert!(read.malformed.is_none_or(|text| text.chars().count() <= 64));
    }

    #[test]
    fn any_number_of_seconds_is_read(secs in 1_u64..200_000, thousandths in 0_u32..1_000) {
        let text = format!("{secs}.{thousandths:03}");
        let (read, malformed) = backoff(&[text.as_bytes()]);
        let sent = Duration::from_secs(secs) + Duration::from_millis(thousandths.into());
        let off = read.expect("a time").abs_diff(sent.min(Notice::MAX_BACKOFF));
        prop_assert!(off < Duration::from_micros(1) && malformed.is_none());
    }
}
