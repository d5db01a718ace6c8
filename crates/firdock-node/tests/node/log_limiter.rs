//! Limit on the number of log lines, and the count of those that are left out.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use firdock_node::telemetry::{Level, LogKind, LogLimiter, logger};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_limit_are_counted_by_kind() {
    let output = Output::default();
    let (log, guard) = logger(output.clone(), Level::new("info"), false, "one");
    let limiter = LogLimiter::default();
    let second = |n: u64| Duration::from_secs(n);
    let allowed = |kind, at| (0..500).filter(|_| limiter.allow(&log, at, kind)).count();
    assert_eq!(allowed(LogKind::Answered, second(1)), 20);
    assert_eq!(allowed(LogKind::Failed, second(1)), 200);
    assert_eq!(allowed(LogKind::Answered, second(2)), 20);
    limiter.finish(&log);
    drop((log, guard));
    let text = String::from_utf8(output.0.lock().expect("no panic").clone());
    let text = text.expect("UTF-8");
    let lines: Vec<serde_json::Value> = text
        .lines()
        .filter_map(|l| serde_json::from_str(l).ok())
        .collect();
    let count = |kind: &str| {
        let of_kind = lines.iter().filter(|l| l["kind"] == kind);
        of_kind.filter_map(|l| l["count"].as_u64()).sum::<u64>()
    };
    assert_eq!(count("answered"), 2 * 480);
    assert_eq!(count("failed"), 300);
}
