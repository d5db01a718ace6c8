//! The timeline of one request, assembled from the log lines of all instances.
//!
//! Lines may be truncated, mixed with other output or out of order; anything that is not a log line of firdock
//! is ignored.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Fields that every line has and the timeline shows separately, or not at all.
const SHOWN_SEPARATELY: [&str; 6] = ["ts", "instance", "msg", "level", "part", "request_id"];
/// Time in seconds before the first line of a request from which state changes of its endpoints are included.
const BEFORE_SECS: f64 = 10.0;

/// Messages of the lines on a request that was quarantined or released.
const QUARANTINE: [&str; 2] = ["request quarantined", "request out of quarantine"];

/// One log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, ignoring anything before its first brace.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        let known = fields.contains_key("msg") && fields.contains_key("ts");
        known.then_some(Self { fields })
    }

    /// Returns the text of a field; empty if the field is absent or not a string.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the number in a field.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Returns whether a field is true.
    #[must_use]
    pub fn flag(&self, name: &str) -> bool {
        self.fields.get(name) == Some(&Value::Bool(true))
    }

    /// Returns the second of the day, by which lines of one day are sorted.
    #[must_use]
    pub fn second(&self) -> f64 {
        let time = self.text("ts").split_once('T').map_or("", |(_, t)| t);
        let parts = time.trim_end_matches('Z').split(':');
        parts.fold(0.0, |sum, part| {
            sum * 60.0 + part.parse::<f64>().unwrap_or(0.0)
        })
    }

    fn is_about(&self, id: &str) -> bool {
        ["request_id", "call", "resumes"]
            .iter()
            .any(|field| self.text(field) == id)
    }

    /// Formats the line for people: time, instance and message, then the other fields.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = format!(
            "{} {:<24} {}",
            self.text("ts"),
            self.text("instance"),
            self.text("msg")
        );
        for (name, value) in &self.fields {
            if SHOWN_SEPARATELY.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            text.extend([" ", name, "=", &value]);
        }
        text
    }
}

/// Returns the lines about a request in order, found by the id that firdock or the caller gave it, and those about
/// later requests that continue its stream.
///
/// They include the same instances' state changes of its endpoints and of the configuration shortly before and
/// during the request, and the lines on suppressed lines.
#[must_use]
pub fn request_timeline(lines: &[Line], id: &str) -> Vec<Line> {
    let named: Vec<&Line> = lines.iter().filter(|l| l.is_about(id)).collect();
    let ids: BTreeSet<&str> = named.iter().map(|l| l.text("request_id")).collect();
    let own = |l: &Line| l.is_about(id) || ids.contains(l.text("request_id"));
    let mut timeline: Vec<&Line> = lines.iter().filter(|l| own(l)).collect();
    let seconds = || timeline.iter().map(|l| l.second());
    let first = seconds().fold(f64::MAX, f64::min);
    let last = seconds().fold(f64::MIN, f64::max);
    let instances: BTreeSet<&str> = timeline.iter().map(|l| l.text("instance")).collect();
    let endpoints: BTreeSet<String> = timeline
        .iter()
        .flat_map(|l| endpoints_of(l))
        .map(|name| format!("endpoint {name}"))
        .collect();
    let identities = named
        .iter()
        .flat_map(|l| [l.text("content"), l.text("quarantine")]);
    let contents: BTreeSet<&str> = identities.filter(|id| !id.is_empty()).collect();
    // From all instances and however long before, since a quarantine lasts until an operator releases the request.
    let quarantine = lines.iter().filter(|l| {
        let is_quarantine = QUARANTINE.contains(&l.text("msg"));
        is_quarantine && l.second() <= last + 1.0 && contents.contains(l.text("content"))
    });
    let around = lines.iter().filter(|l| {
        let near = (first - BEFORE_SECS..=last + 1.0).contains(&l.second());
        near && instances.contains(l.text("instance")) && is_background(l, &endpoints)
    });
    timeline.extend(around);
    timeline.extend(quarantine);
    timeline.sort_by(|a, b| a.second().total_cmp(&b.second()));
    timeline.into_iter().cloned().collect()
}

/// Returns the endpoint that a line is about, and the endpoints that were skipped as unavailable.
fn endpoints_of(line: &Line) -> impl Iterator<Item = &str> {
    let passed_over = line.text("passed_over").split("; ");
    let named = passed_over.filter_map(|why| Some(why.split_once(": ")?.0));
    named.chain([line.text("endpoint")])
}

/// Returns whether a line may explain the outcome of requests that were sent to these endpoints.
fn is_background(line: &Line, endpoints: &BTreeSet<String>) -> bool {
    match line.text("msg") {
        "belief changed" => {
            let what = line.text("what");
            ["configuration", "coordinator", "links to endpoints"].contains(&what)
                || endpoints.contains(what)
        }
        "endpoint notice" => {
            let start = line.text("endpoint");
            let name = start.rsplit_once('@').map_or(start, |(name, _)| name);
            endpoints.contains(&format!("endpoint {name}"))
        }
        "store lost" | "store reached again" | "stopping" | "started" | "lines left out" => true,
        _ => false,
    }
}
