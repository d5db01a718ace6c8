//! The story of one request, put together from the log lines of all instances.
//!
//! Lines may be cut, mixed with others or out of order; what is no line of firdock is passed over.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Fields that every line has and the story shows apart, or not at all.
const SHOWN_APART: [&str; 6] = ["ts", "instance", "msg", "level", "part", "request_id"];
/// Seconds before the first line of a request in which beliefs about its endpoints belong to it.
const BEFORE_SECS: f64 = 10.0;

/// Lines on a request that came into quarantine, or out of it.
const QUARANTINE: [&str; 2] = ["request quarantined", "request out of quarantine"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; whatever stands before its first brace is passed over.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        let known = fields.contains_key("msg") && fields.contains_key("ts");
        known.then_some(Self { fields })
    }

    /// Gives a field's text; empty where it has none.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Gives a field's number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// Tells whether a field is true.
    #[must_use]
    pub fn flag(&self, name: &str) -> bool {
        self.fields.get(name) == Some(&Value::Bool(true))
    }

    /// Gives the second of the day, by which lines of one day are put in order.
    #[must_use]
    pub fn second(&self) -> f64 {
        let time = self.text("ts").split_once('T').map_or("", |(_, t)| t);
        let parts = time.trim_end_matches('Z').split(':');
        parts.fold(0.0, |sum, part| {
            sum * 60.0 + part.parse::<f64>().unwrap_or(0.0)
        })
    }

    fn is_about(&self, id: &str) -> bool {
        self.text("request_id") == id || self.text("call") == id
    }

    /// Writes the line for people: when, where, what, then the inputs.
    #[must_use]
    pub fn describe(&self) -> String {
        let mut text = format!(
            "{} {:<24} {}",
            self.text("ts"),
            self.text("instance"),
            self.text("msg")
        );
        for (name, value) in &self.fields {
            if SHOWN_APART.contains(&name.as_str()) || value.is_null() {
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

/// Gives the lines about a request, in order, by the id that firdock or the caller gave it.
///
/// With them come what the same instances believed of its endpoints and of their configuration
/// shortly before and during it, and their words on lines left out.
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
    let contents: BTreeSet<&str> = named.iter().map(|l| l.text("content")).collect();
    // Whoever saw it, and however long before: it holds until an operator lets the request go.
    let quarantine = lines.iter().filter(|l| {
        let told = QUARANTINE.contains(&l.text("msg"));
        told && l.second() <= last + 1.0 && contents.contains(l.text("content"))
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

/// Gives the endpoints that a line is about, and those that were passed over for what they said.
fn endpoints_of(line: &Line) -> impl Iterator<Item = &str> {
    let passed_over = line.text("passed_over").split("; ");
    let named = passed_over.filter_map(|why| Some(why.split_once(": ")?.0));
    named.chain([line.text("endpoint")])
}

/// Tells whether a line may explain what became of requests that go to these endpoints.
fn is_background(line: &Line, endpoints: &BTreeSet<String>) -> bool {
    match line.text("msg") {
        "belief changed" => {
            let what = line.text("what");
            what == "configuration" || what == "coordinator" || endpoints.contains(what)
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
