//! Times from the starts of instances to each step of their startup, from their log lines.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::timeline::Line;

/// Steps of the startup in their usual order: the message that first reports each, and its name.
const STEPS: [(&str, &str); 4] = [
    ("manifest taken", "configuration known"),
    ("instances known", "other instances known"),
    ("dispatched", "first request sent"),
    ("answered", "first whole answer"),
];

/// Times from the starts of instances to each step.
#[derive(Debug, Default)]
pub struct Starts {
    /// Time of the last start of each instance, and the steps that it has not completed since.
    current: BTreeMap<String, (f64, Vec<&'static str>)>,
    seconds: BTreeMap<&'static str, Vec<f64>>,
    count: u64,
}

impl Starts {
    /// Adds a line; the lines of an instance have to be added in order.
    pub fn add_line(&mut self, line: &Line) {
        let instance = line.text("instance");
        let msg = line.text("msg");
        if msg == "started" {
            let steps = STEPS.iter().map(|(line, _)| *line).collect();
            let start = (line.second(), steps);
            self.current.insert(instance.to_owned(), start);
            self.count += 1;
            return;
        }
        let Some((started, remaining)) = self.current.get_mut(instance) else {
            return;
        };
        let Some(at) = remaining.iter().position(|step| *step == msg) else {
            return;
        };
        let step = remaining.remove(at);
        let took = line.second() - *started;
        self.seconds.entry(step).or_default().push(took);
    }
}

impl Display for Starts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.count == 0 {
            return Ok(());
        }
        writeln!(f, "starts of instances: {}", self.count)?;
        for (line, name) in STEPS {
            let Some(seconds) = self.seconds.get(line) else {
                continue;
            };
            let mut sorted = seconds.clone();
            sorted.sort_by(f64::total_cmp);
            let quantile = |tenths: usize| sorted[(sorted.len() * tenths).div_ceil(10) - 1];
            writeln!(
                f,
                "  {name:<24} {:>7}  half after {:.2} s, nine in ten after {:.2} s, last after {:.2} s",
                sorted.len(),
                quantile(5),
                quantile(9),
                quantile(10)
            )?;
        }
        Ok(())
    }
}
