//! Counts of the outcomes of requests, from the log lines of all instances. They help to find out why many
//! requests were late or refused; [`crate::timeline`] does so for a single request.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::starts::Starts;
use crate::timeline::Line;

/// Length of a period of the log that is counted together, in seconds.
const PERIOD_SECS: f64 = 10.0;
/// Name under which requests are counted whose line has no service or account.
const NO_NAME: &str = "(none)";

/// Number of requests by outcome, or of other events by kind.
type Counts = BTreeMap<String, u64>;

/// Counts of the outcomes of requests by service, account and period, of calls to the platform's store and
/// of suppressed log lines, and the startup times of instances.
#[derive(Debug, Default)]
pub struct Summary {
    services: BTreeMap<String, Counts>,
    accounts: BTreeMap<String, Counts>,
    /// Highest ratio of each account's usage to its share.
    shares: BTreeMap<String, f64>,
    periods: BTreeMap<u64, Counts>,
    suppressed: Counts,
    store_calls: Counts,
    starts: Starts,
}

impl Summary {
    /// Creates a summary of lines.
    #[must_use]
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a Line>) -> Self {
        let mut summary = Self::default();
        for line in lines {
            summary.add_line(line);
        }
        summary
    }

    /// Returns whether no line reports the outcome of a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn add_line(&mut self, line: &Line) {
        if line.text("msg") == "lines left out" {
            let count = line.number("count").unwrap_or_default() as u64;
            *self
                .suppressed
                .entry(line.text("kind").to_owned())
                .or_default() += count;
            return;
        }
        if line.text("msg") == "account over its share" {
            self.record_share(line);
            return;
        }
        self.starts.add_line(line);
        if line.text("msg") == "store called" {
            *self.store_calls.entry(store_call(line)).or_default() += 1;
            return;
        }
        let Some(outcome) = request_outcome(line) else {
            return;
        };
        let period = (line.second() / PERIOD_SECS) as u64;
        let service = self
            .services
            .entry(name_or_placeholder(line, "service"))
            .or_default();
        let account = self
            .accounts
            .entry(name_or_placeholder(line, "account"))
            .or_default();
        let period = self.periods.entry(period).or_default();
        for counts in [service, account, period] {
            *counts.entry(outcome.clone()).or_default() += 1;
        }
    }

    /// Records the ratio of an account's usage to its share.
    fn record_share(&mut self, line: &Line) {
        let secs = |field| line.number(field).unwrap_or_default();
        let ratio = secs("done_secs") / secs("share_secs").max(f64::MIN_POSITIVE);
        let peak = self
            .shares
            .entry(name_or_placeholder(line, "account"))
            .or_default();
        *peak = peak.max(ratio);
    }
}

fn name_or_placeholder(line: &Line, field: &str) -> String {
    match line.text(field) {
        "" => NO_NAME.to_owned(),
        name => name.to_owned(),
    }
}

/// Returns the topic, operation, reason and outcome of a call to the platform's store.
fn store_call(line: &Line) -> String {
    let words = ["topic", "call", "reason"].map(|field| line.text(field));
    let failed = line.flag("failed");
    let outcome = if failed { " failed" } else { "" };
    format!("{}{outcome}", words.join(" "))
}

/// Returns the outcome of the request that a line is about, if the line reports one.
fn request_outcome(line: &Line) -> Option<String> {
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

/// Returns whether an answer began in time, and if not, whether it waited longer in firdock or at the
/// endpoint.
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
        for (account, ratio) in &self.shares {
            let counts = self.accounts.get(account);
            let refused = |reason| counts.and_then(|c| c.get(reason)).unwrap_or(&0);
            let (over, within) = (refused("not-run over-share"), refused("not-run overload"));
            writeln!(
                f,
                "  {account:<24} {ratio:>7.2}  times its share at most; refused over it {over}, within it {within}"
            )?;
        }
        write_group(f, "from", periods)?;
        if !self.store_calls.is_empty() {
            let rows = std::iter::once(("all", &self.store_calls));
            write_group(f, "calls to the store", rows)?;
        }
        write!(f, "{}", self.starts)?;
        for (kind, count) in &self.suppressed {
            writeln!(f, "left out of the logs: {count} lines of kind {kind}")?;
        }
        Ok(())
    }
}

/// Writes the rows of a group, with the most frequent outcomes of each row first.
fn write_group<'a>(
    f: &mut Formatter<'_>,
    title: &str,
    rows: impl Iterator<Item = (impl Display, &'a Counts)>,
) -> fmt::Result {
    writeln!(f, "{title}")?;
    for (name, counts) in rows {
        let total: u64 = counts.values().sum();
        let mut outcomes: Vec<(&String, &u64)> = counts.iter().collect();
        outcomes.sort_by(|a, b| b.1.cmp(a.1));
        let outcomes: Vec<String> = outcomes
            .iter()
            .map(|(outcome, n)| format!("{outcome} {n}"))
            .collect();
        writeln!(f, "  {name:<24} {total:>7}  {}", outcomes.join(", "))?;
    }
    Ok(())
}
