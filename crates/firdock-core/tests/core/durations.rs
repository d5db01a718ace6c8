//! Durations of the settings: whole numbers and fractions of their unit, within bounds, and findings with their place for
//! anything else.

use std::time::Duration;

use firdock_core::Findings;
use firdock_core::settings::Settings;
use proptest::prelude::*;

const GOOD: &str = include_str!("good-settings.toml");
const YEAR: Duration = Duration::from_hours(365 * 24);

type ReadDuration = fn(&Settings) -> Duration;

/// Table and field, and how it is read.
const FIELDS: [(&str, &str, ReadDuration); 16] = [
    ("platform", "call_millis", |s| s.platform.call_timeout),
    ("platform", "read_millis", |s| s.platform.read_interval),
    ("platform", "list_millis", |s| s.platform.list_interval),
    ("platform", "retention_seconds", |s| s.platform.retention),
    ("peers", "heartbeat_millis", |s| s.peers.heartbeat),
    ("limits", "header_millis", |s| s.limits.header_timeout),
    ("limits", "body_millis", |s| s.limits.body_timeout),
    ("limits", "body_wait_millis", |s| s.limits.body_wait),
    ("limits", "stop_seconds", |s| s.limits.stop_time),
    ("endpoints", "connect_millis", |s| {
        s.endpoints.connect_timeout
    }),
    ("endpoints", "silence_millis", |s| {
        s.endpoints.silence_timeout
    }),
    ("endpoints", "report_millis", |s| {
        s.endpoints.report_interval
    }),
    ("freshness", "revoke_millis", |s| s.freshness.revoke_time),
    ("freshness", "apply_millis", |s| s.freshness.apply_time),
    ("keys", "grace_seconds", |s| s.keys.grace),
    ("keys", "keep_seconds", |s| s.keys.keep_time),
];

/// Parses settings that are good but for one field.
fn with(table: &str, field: &str, value: &str) -> Result<Settings, Findings> {
    // The other field of a pair that is checked against each other is far enough away.
    let grace = if field == "keep_seconds" {
        "0.001"
    } else {
        "5"
    };
    let keep = if field == "grace_seconds" {
        "keep_seconds = 31536000\n"
    } else {
        ""
    };
    let mut text = GOOD.replace(
        "grace_seconds = 5",
        &format!("{keep}grace_seconds = {grace}"),
    );
    let line = format!("{field} = {value}");
    let header = format!("[{table}]");
    if field == "grace_seconds" {
        text = text.replace("grace_seconds = 5", &line);
    } else if text.contains(&header) {
        text = text.replace(&header, &format!("{header}\n{line}"));
    } else {
        text = format!("{text}\n{header}\n{line}\n");
    }
    Settings::parse(&text)
}

fn unit(field: &str) -> Duration {
    if field.ends_with("_millis") {
        Duration::from_millis(1)
    } else {
        Duration::from_secs(1)
    }
}

/// A platform may write its figures as fractions: an instance with `stop_seconds = 7.5` did not start.
#[test]
fn durations_are_whole_numbers_or_fractions_of_their_unit() {
    for (table, field, read) in FIELDS {
        for (value, units) in [
            ("7", 7.0),
            ("7.0", 7.0),
            ("7.5", 7.5),
            ("1999.5", 1_999.5),
            ("1e3", 1_000.0),
        ] {
            let settings = with(table, field, value);
            let settings = settings.unwrap_or_else(|found| panic!("{field} = {value}: {found}"));
            assert_eq!(
                read(&settings),
                unit(field).mul_f64(units),
                "{field} = {value}"
            );
        }
    }
}

/// A duration that is none, or that no clock can add, must be told with its place before anything starts.
#[test]
fn other_durations_are_findings_with_their_place() {
    let values = [
        "-1",
        "-0.5",
        "nan",
        "inf",
        "-inf",
        "1e300",
        "9223372036854775807",
        "1e-9",
        "\"7\"",
        "true",
        "[7]",
    ];
    for (table, field, _) in FIELDS {
        for value in values {
            let found = with(table, field, value).expect_err(value);
            let path = format!("{table}.{field}");
            let mut findings = found.as_slice().iter().filter(|f| f.path == path);
            let finding = findings
                .next()
                .unwrap_or_else(|| panic!("{path} = {value}: {found}"));
            assert!(finding.line.is_some(), "{found}");
            assert!(finding.message.contains("a duration"), "{found}");
        }
    }
}

/// Zero means that there is no limit where that is allowed, and is a finding elsewhere.
#[test]
fn zero_is_taken_where_it_means_no_limit() {
    for (table, field, read) in FIELDS {
        let may_be_zero = matches!(
            field,
            "body_wait_millis" | "stop_seconds" | "revoke_millis" | "apply_millis"
        );
        for value in ["0", "0.0"] {
            match with(table, field, value) {
                Ok(settings) => {
                    assert!(may_be_zero, "{field} = {value}");
                    assert_eq!(read(&settings), Duration::ZERO, "{field} = {value}");
                }
                Err(found) => assert!(!may_be_zero, "{field} = {value}: {found}"),
            }
        }
    }
}

/// A part of a connection or of a request is nothing: counts stay whole.
#[test]
fn counts_with_a_fraction_are_findings() {
    for (table, field) in [
        ("peers", "missed_beats"),
        ("limits", "connections"),
        ("limits", "header_bytes"),
        ("limits", "body_bytes"),
        ("limits", "held_bytes"),
        ("limits", "answer_bytes"),
        ("keys", "max_keys"),
        ("keys", "answer_bytes"),
    ] {
        for value in ["70000000.5", "70000000.0"] {
            let found = with(table, field, value).expect_err(field);
            assert_eq!(found.as_slice()[0].path, format!("{table}.{field}"));
        }
    }
}

/// Any number, and those among which most durations are.
fn numbers() -> impl Strategy<Value = f64> {
    prop_oneof![any::<f64>(), -10.0..1e5]
}

proptest! {
    /// Whatever number a duration has, it is taken as it stands or is a finding.
    #[test]
    fn a_duration_is_taken_as_it_stands_or_found(at in 0..FIELDS.len(), number in numbers()) {
        let (table, field, read) = FIELDS[at];
        if let Ok(settings) = with(table, field, &format!("{number:?}")) {
            let seconds = number * unit(field).as_secs_f64();
            prop_assert!((0.0..=YEAR.as_secs_f64()).contains(&seconds), "{field} = {number:?}");
            prop_assert!((read(&settings).as_secs_f64() - seconds).abs() < 1e-6 * seconds.max(1.0));
        }
    }

    /// Durations as they are used are taken, in whole units to the nanosecond.
    #[test]
    fn whole_durations_are_exact(at in 0..FIELDS.len(), number in 11..31_536_000_u32) {
        let (table, field, read) = FIELDS[at];
        let number = if field == "grace_seconds" { number / 3 } else { number };
        let settings = with(table, field, &number.to_string());
        let settings = settings.map_err(|found| TestCaseError::fail(found.to_string()))?;
        prop_assert_eq!(read(&settings), unit(field) * number);
    }
}
