//! How long instances took from their start to each step towards serving, from their log lines.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::timeline::Line;

/// Steps of a start in their usual order: the line that tells of each first, and what it is called.
const STEPS: [(&str, &str); 4] = [
    ("manifest taken", "configuration known"),
    ("instances known", "other instances known"),
    ("dispatched", "first request sent"),
    ("answered", "first whole answer"),
];

/// Times from the starts of instances to each step.
#[derive(Debug, Default)]
pub struct Starts {
    /// When each instance last started, and the steps that it has not taken since.
    running: BTreeMap<String, (f64, Vec<&'static str>)>,
    seconds: BTreeMap<&'static str, Vec<f64>>,
    count: u64,
}

impl Starts {
    /// Takes a line over; those of one instance have to come in order.
    pub fn take(&mut self, line: &Line) {
        let instance = line.text("instance");
        let msg = line.text("msg");
        if msg == "started" {
            let steps = STEPS.iter().map(|(line, _)| *line).collect();
            let start = (line.second(), steps);
            self.running.insert(instance.to_owned(), start);
            self.count += 1;
            return;
        }
        let Some((started, open)) = self.running.get_mut(instance) else {
            return;
        };
        let Some(at) = open.iter().position(|step| *step == msg) else {
            return;
        };
        let step = open.remove(at);
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
            let part = |tenths: usize| sorted[(sorted.len() * tenths).div_ceil(10) - 1];
            writeln!(
                f,
                "  {name:<24} {:>7}  half after {:.2} s, nine in ten after {:.2} s, last after {:.2} s",
                sorted.len(),
                part(5),
                part(9),
                part(10)
            )?;
        }
        Ok(())
    }
}
