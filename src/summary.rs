//! What became of requests, counted from the log lines of all instances: for the question why many
//! were late or refused, where [`crate::timeline`] answers for one.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::starts::Starts;
use crate::timeline::Line;

/// Seconds of a log that are counted together.
const PERIOD_SECS: f64 = 10.0;
/// What counts of requests stand under where a line does not name a service or account.
const UNNAMED: &str = "(none)";

/// How often each thing became of requests.
type Counts = BTreeMap<String, u64>;

/// Counts of what became of requests by service, by account and over time, of calls to the platform's
/// store, of lines left out, and how long instances took to serve.
#[derive(Debug, Default)]
pub struct Summary {
    services: BTreeMap<String, Counts>,
    accounts: BTreeMap<String, Counts>,
    /// How many times its share each account had at most.
    shares: BTreeMap<String, f64>,
    periods: BTreeMap<u64, Counts>,
    left_out: Counts,
    store_calls: Counts,
    starts: Starts,
}

impl Summary {
    /// Counts lines.
    #[must_use]
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a Line>) -> Self {
        let mut summary = Self::default();
        for line in lines {
            summary.take(line);
        }
        summary
    }

    /// Tells whether no line told what became of a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn take(&mut self, line: &Line) {
        if line.text("msg") == "lines left out" {
            let count = line.number("count").unwrap_or_default() as u64;
            *self
                .left_out
                .entry(line.text("kind").to_owned())
                .or_default() += count;
            return;
        }
        if line.text("msg") == "account over its share" {
            self.take_share(line);
            return;
        }
        self.starts.take(line);
        if line.text("msg") == "store called" {
            *self.store_calls.entry(store_call(line)).or_default() += 1;
            return;
        }
        let Some(end) = end_of(line) else {
            return;
        };
        let period = (line.second() / PERIOD_SECS) as u64;
        let service = self.services.entry(named(line, "service")).or_default();
        let account = self.accounts.entry(named(line, "account")).or_default();
        let period = self.periods.entry(period).or_default();
        for counts in [service, account, period] {
            *counts.entry(end.clone()).or_default() += 1;
        }
    }

    /// Notes how many times its share an account had.
    fn take_share(&mut self, line: &Line) {
        let secs = |field| line.number(field).unwrap_or_default();
        let times = secs("done_secs") / secs("share_secs").max(f64::MIN_POSITIVE);
        let most = self.shares.entry(named(line, "account")).or_default();
        *most = most.max(times);
    }
}

fn named(line: &Line, field: &str) -> String {
    match line.text(field) {
        "" => UNNAMED.to_owned(),
        name => name.to_owned(),
    }
}

/// Gives what a call to the platform's store was for.
fn store_call(line: &Line) -> String {
    let words = ["topic", "call", "reason"].map(|field| line.text(field));
    let failed = line.flag("failed");
    let outcome = if failed { " failed" } else { "" };
    format!("{}{outcome}", words.join(" "))
}

/// Gives what became of the request that a line is about, if it tells of an end.
fn end_of(line: &Line) -> Option<String> {
    let reason = line.text("reason");
    Some(match line.text("msg") {
        "answered" => timeliness(line).to_owned(),
        "request given up" => format!("{} {reason}", line.text("outcome")),
        "call refused" => format!("refused {reason}"),
        "answer cut" => format!("cut {reason}"),
        "caller left" => "caller left".to_owned(),
        _ => return None,
    })
}

/// Tells whether an answer began in time; where not, on which side it waited longer.
fn timeliness(line: &Line) -> &'static str {
    let millis = |name| line.number(name).unwrap_or_default();
    let (first, held) = (millis("first_millis"), millis("held_millis"));
    match line.number("target_millis") {
        Some(target) if target > 0.0 && first > target => {
            if held > first - held {
                "late, held here"
            } else {
                "late, at the endpoint"
            }
        }
        _ => "in time",
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let clock = |period: &u64| {
            let second = period * PERIOD_SECS as u64;
            let (hours, minutes) = (second / 3_600, second / 60 % 60);
            format!("{hours:02}:{minutes:02}:{:02}", second % 60)
        };
        let periods = self.periods.iter().map(|(p, counts)| (clock(p), counts));
        write_group(f, "by service", self.services.iter())?;
        write_group(f, "by account", self.accounts.iter())?;
        if !self.shares.is_empty() {
            writeln!(f, "over their shares")?;
        }
        for (account, times) in &self.shares {
            let counts = self.accounts.get(account);
            let refused = |reason| counts.and_then(|c| c.get(reason)).unwrap_or(&0);
            let (over, within) = (refused("not-run over-share"), refused("not-run overload"));
            writeln!(
                f,
                "  {account:<24} {times:>7.2}  times its share at most; refused over it {over}, within it {within}"
            )?;
        }
        write_group(f, "from", periods)?;
        if !self.store_calls.is_empty() {
            let rows = std::iter::once(("all", &self.store_calls));
            write_group(f, "calls to the store", rows)?;
        }
        write!(f, "{}", self.starts)?;
        for (kind, count) in &self.left_out {
            writeln!(f, "left out of the logs: {count} lines of kind {kind}")?;
        }
        Ok(())
    }
}

/// Writes the rows of a group, the most frequent ends of each first.
fn write_group<'a>(
    f: &mut Formatter<'_>,
    title: &str,
    rows: impl Iterator<Item = (impl Display, &'a Counts)>,
) -> fmt::Result {
    writeln!(f, "{title}")?;
    for (name, counts) in rows {
        let total: u64 = counts.values().sum();
        let mut ends: Vec<(&String, &u64)> = counts.iter().collect();
        ends.sort_by(|a, b| b.1.cmp(a.1));
        let ends: Vec<String> = ends.iter().map(|(end, n)| format!("{end} {n}")).collect();
        writeln!(f, "  {name:<24} {total:>7}  {}", ends.join(", "))?;
    }
    Ok(())
}
