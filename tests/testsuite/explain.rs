//! The timeline of a request from the logs of several instances.

use firdock::summary::Summary;
use firdock::timeline::{Line, request_timeline};

const LOGS: &str = r#"
noise before any line
  0.10 one {"msg":"belief changed","ts":"2026-01-01T10:00:00.1Z","instance":"one","what":"endpoint e1","is":"ejected","before":"usable"}
{"msg":"belief changed","ts":"2026-01-01T10:00:00.2Z","instance":"one","what":"endpoint e9","is":"gone","before":"usable"}
{"msg":"belief changed","ts":"2026-01-01T10:00:00.2Z","instance":"two","what":"endpoint e1","is":"gone","before":"usable"}
{"msg":"request given up","ts":"2026-01-01T10:00:03.0Z","instance":"one","request_id":"r1","call":"c1","reason":"endpoint-lost"}
{"msg":"dispatched","ts":"2026-01-01T10:00:01.0Z","instance":"one","request_id":"r1","call":"c1","endpoint":"e1"}
{"msg":"dispatched","ts":"2026-01-01T10:00:01.5Z","instance":"one","request_id":"r2","call":"c2","endpoint":"e1"}
{"msg":"dispatch failed","ts":"2026-01-01T10:00:02.0Z","instance":"one","request_id":"r1","endpoint":"e1","news":"broke"}
{"msg":"cut line","ts":"2026-01-
"#;

fn timeline(id: &str) -> Vec<String> {
    let lines: Vec<Line> = LOGS.lines().filter_map(Line::parse).collect();
    request_timeline(&lines, id)
        .iter()
        .map(Line::describe)
        .collect()
}

#[test]
fn lines_are_told_in_order_with_what_was_believed_of_the_endpoint() {
    let told = timeline("c1");
    let words = [
        "belief changed",
        "dispatched",
        "dispatch failed",
        "given up",
    ];
    assert_eq!(told.len(), words.len(), "{told:#?}");
    for (line, word) in told.iter().zip(words) {
        assert!(line.contains(word), "{line} has no {word}");
    }
    assert!(told[0].contains("is=ejected"));
    assert!(told[3].contains("reason=endpoint-lost"));
}

#[test]
fn both_ids_of_a_request_find_it_and_others_do_not() {
    assert_eq!(timeline("r1"), timeline("c1"));
    assert!(timeline("c3").is_empty());
}

const QUARANTINED: &str = r#"
{"msg":"request quarantined","ts":"2026-01-01T09:00:00.0Z","instance":"two","content":"abc","ends":"e1 9 ms ago; e2 5 ms ago; e3 0 ms ago"}
{"msg":"request quarantined","ts":"2026-01-01T09:00:00.0Z","instance":"two","content":"another","ends":"e4 0 ms ago"}
{"msg":"request given up","ts":"2026-01-01T10:00:03.0Z","instance":"one","request_id":"r1","call":"c1","content":"abc","reason":"ends-endpoints"}
{"msg":"request given up","ts":"2026-01-01T10:00:04.0Z","instance":"one","request_id":"r2","call":"c2","content":"new","quarantine":"another","reason":"ends-endpoints"}
{"msg":"request out of quarantine","ts":"2026-01-01T11:00:00.0Z","instance":"two","content":"abc"}
"#;

#[test]
fn a_request_that_is_held_back_is_told_with_the_ends_that_put_it_there() {
    let lines: Vec<Line> = QUARANTINED.lines().filter_map(Line::parse).collect();
    let told: Vec<String> = request_timeline(&lines, "c1")
        .iter()
        .map(Line::describe)
        .collect();
    assert_eq!(told.len(), 2, "{told:#?}");
    assert!(told[0].contains("ends=e1 9 ms ago; e2 5 ms ago; e3 0 ms ago"));
    assert!(told[1].contains("reason=ends-endpoints"));
}

/// Guards against a request that is refused for a segment of its prompt without a line that tells why.
#[test]
fn a_new_request_is_told_with_the_ends_of_the_segment_that_holds_it_back() {
    let lines: Vec<Line> = QUARANTINED.lines().filter_map(Line::parse).collect();
    let timeline = request_timeline(&lines, "c2");
    let told: Vec<String> = timeline.iter().map(Line::describe).collect();
    assert_eq!(told.len(), 2, "{told:#?}");
    assert!(told[0].contains("ends=e4 0 ms ago"));
}

const ENDS: &str = r#"
{"msg":"answered","ts":"2026-01-01T10:00:01.0Z","service":"chat","account":"a","first_millis":90,"held_millis":10,"target_millis":300}
{"msg":"answered","ts":"2026-01-01T10:00:02.0Z","service":"chat","account":"a","first_millis":500,"held_millis":400,"target_millis":300}
{"msg":"answered","ts":"2026-01-01T10:00:12.0Z","service":"chat","account":"b","first_millis":500,"held_millis":20,"target_millis":300}
{"msg":"request given up","ts":"2026-01-01T10:00:13.0Z","service":"chat","account":"b","outcome":"not-run","reason":"overload"}
{"msg":"call refused","ts":"2026-01-01T10:00:14.0Z","reason":"state-stale"}
{"msg":"dispatched","ts":"2026-01-01T10:00:14.0Z","service":"chat","account":"b"}
{"msg":"lines left out","ts":"2026-01-01T10:00:15.0Z","kind":"answered","count":7}
{"msg":"store called","ts":"2026-01-01T10:00:16.0Z","call":"read","topic":"endpoints","reason":"turn","failed":false}
{"msg":"store called","ts":"2026-01-01T10:00:16.0Z","call":"read","topic":"endpoints","reason":"silence","failed":true}
{"msg":"store called","ts":"2026-01-01T10:00:17.0Z","call":"read","topic":"endpoints","reason":"silence","failed":true}
"#;

const STARTS: &str = r#"
{"msg":"manifest taken","ts":"2026-01-01T10:00:00.0Z","instance":"early"}
{"msg":"started","ts":"2026-01-01T10:00:01.0Z","instance":"one"}
{"msg":"started","ts":"2026-01-01T10:00:01.0Z","instance":"two"}
{"msg":"manifest taken","ts":"2026-01-01T10:00:01.1Z","instance":"one"}
{"msg":"manifest taken","ts":"2026-01-01T10:00:01.4Z","instance":"two"}
{"msg":"answered","ts":"2026-01-01T10:00:02.0Z","instance":"one"}
{"msg":"answered","ts":"2026-01-01T10:00:09.0Z","instance":"one"}
{"msg":"started","ts":"2026-01-01T10:00:20.0Z","instance":"one"}
{"msg":"answered","ts":"2026-01-01T10:00:20.5Z","instance":"one"}
"#;

#[test]
fn a_summary_tells_how_long_instances_took_from_their_start_to_serving() {
    let lines: Vec<Line> = STARTS.lines().filter_map(Line::parse).collect();
    let text = Summary::new(&lines).to_string();
    assert!(text.contains("starts of instances: 3"), "{text}");
    let known = "configuration known            2  half after 0.10 s, nine in ten after 0.40 s, last after 0.40 s";
    assert!(text.contains(known), "{text}");
    let whole = "first whole answer             2  half after 0.50 s, nine in ten after 1.00 s, last after 1.00 s";
    assert!(text.contains(whole), "{text}");
}

#[test]
fn a_summary_counts_ends_by_service_account_and_time_with_why_answers_were_late() {
    let lines: Vec<Line> = ENDS.lines().filter_map(Line::parse).collect();
    let text = Summary::new(&lines).to_string();
    let row = |start: &str| {
        let row = text.lines().find(|l| l.trim_start().starts_with(start));
        row.unwrap_or_else(|| panic!("no row {start} in {text}"))
            .to_owned()
    };
    for end in [
        "in time 1",
        "late, held here 1",
        "late, at the endpoint 1",
        "not-run overload 1",
    ] {
        assert!(row("chat").contains(end), "{end} in {text}");
    }
    assert!(row("(none)").contains("refused state-stale 1"));
    assert!(row("10:00:00").contains("       2  "), "{text}");
    assert!(row("10:00:10").contains("       3  "), "{text}");
    assert!(text.contains("7 lines of kind answered"));
    let calls = "endpoints read silence failed 2, endpoints read turn 1";
    assert!(text.contains(calls), "{text}");
    assert!(Summary::new(&[]).is_empty());
}

/// The summary must show whether requests were refused for their own account's load or for the total load.
#[test]
fn a_summary_tells_who_was_refused_against_his_share() {
    let over = |done: f64| {
        format!(
            r#"{{"msg":"account over its share","ts":"2026-01-01T10:00:01.0Z","instance":"one","account":"large","done_secs":{done},"share_secs":2.0}}"#
        )
    };
    let refused = |reason: &str| {
        format!(
            r#"{{"msg":"request given up","ts":"2026-01-01T10:00:02.0Z","instance":"one","service":"chat","account":"large","outcome":"not-run","reason":"{reason}"}}"#
        )
    };
    let text = [
        over(2.5),
        over(3.0),
        over(2.2),
        refused("over-share"),
        refused("over-share"),
        refused("overload"),
    ];
    let lines: Vec<Line> = text.iter().filter_map(|l| Line::parse(l)).collect();
    let text = Summary::new(&lines).to_string();
    let row = "1.50  times its share at most; refused over it 2, within it 1";
    assert!(text.contains(row), "{text}");
}

const PASSED_OVER: &str = r#"
{"msg":"endpoint notice","ts":"2026-01-01T10:00:00.1Z","instance":"one","endpoint":"e2@7","source":"answer","leaving":true}
{"msg":"endpoint notice","ts":"2026-01-01T10:00:00.1Z","instance":"one","endpoint":"e9","source":"answer","leaving":true}
{"msg":"belief changed","ts":"2026-01-01T10:00:00.2Z","instance":"one","what":"endpoint e3","is":"backing off","before":"usable","source":"answer","left_millis":900}
{"msg":"dispatched","ts":"2026-01-01T10:00:01.0Z","instance":"one","request_id":"r1","endpoint":"e1","passed_over":"e2: leaving; e3: backing off 100 ms; 2 more"}
"#;

#[test]
fn the_timeline_tells_why_endpoints_were_passed_over() {
    let lines: Vec<Line> = PASSED_OVER.lines().filter_map(Line::parse).collect();
    let told: Vec<String> = request_timeline(&lines, "r1")
        .iter()
        .map(Line::describe)
        .collect();
    assert_eq!(told.len(), 3, "{told:#?}");
    assert!(told[0].contains("endpoint notice") && told[0].contains("endpoint=e2@7"));
    assert!(told[1].contains("is=backing off") && told[1].contains("left_millis=900"));
    assert!(told[2].contains("passed_over=e2: leaving; e3: backing off 100 ms; 2 more"));
}

const CONTINUED: &str = r#"
{"msg":"dispatched","ts":"2026-01-01T10:00:01.0Z","instance":"one","request_id":"r1","call":"c1","endpoint":"e1","software":"v1"}
{"msg":"stream taken up","ts":"2026-01-01T10:00:02.0Z","instance":"two","request_id":"r2","call":"c2","resumes":"c1","source":"here","software":"v1"}
{"msg":"request given up","ts":"2026-01-01T10:00:02.1Z","instance":"two","request_id":"r2","reason":"version-gone"}
{"msg":"dispatched","ts":"2026-01-01T10:00:02.5Z","instance":"two","request_id":"r3","call":"c3","endpoint":"e2"}
"#;

/// Guards against on-call engineers who see only one of the attempts that continue a stream.
#[test]
fn a_stream_is_told_with_the_attempts_that_continue_it() {
    let lines: Vec<Line> = CONTINUED.lines().filter_map(Line::parse).collect();
    let told: Vec<String> = request_timeline(&lines, "c1")
        .iter()
        .map(Line::describe)
        .collect();
    assert_eq!(told.len(), 3, "{told:#?}");
    assert!(told[2].contains("reason=version-gone"));
}
