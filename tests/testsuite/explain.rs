//! The story of a request from the logs of several instances.

use firdock::story::{Line, tell};

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

fn story(id: &str) -> Vec<String> {
    let lines: Vec<Line> = LOGS.lines().filter_map(Line::parse).collect();
    tell(&lines, id).iter().map(Line::describe).collect()
}

#[test]
fn lines_are_told_in_order_with_what_was_believed_of_the_endpoint() {
    let told = story("c1");
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
    assert_eq!(story("r1"), story("c1"));
    assert!(story("c3").is_empty());
}
