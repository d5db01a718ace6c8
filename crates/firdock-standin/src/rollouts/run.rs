//! One drawn roll-out, decided in one way.

use std::collections::VecDeque;
use std::time::Duration;

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::Evidence;
use firdock_policy::rollout::allowance::Progress;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::case::{Badness, Case};
use super::strategy::{Decision, RolloutStrategy};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(50);
/// Age of what a way is told, and of its decision where it takes effect: two heartbeats of 200 ms.
const WORD: Duration = Duration::from_millis(400);
/// How long an order may have been there unread.
const UNSURE: Duration = Duration::from_millis(600);
/// Endpoints at which a new version is tried.
const CANARIES: usize = 8;
/// Speeds of endpoints against the middle one, as the users' sites have them.
const SPEEDS: [f64; 3] = [0.55, 1.0, 2.8];
/// Part of answers of a good version that fail.
const FAILURES: f64 = 0.02;
/// Part of answers of a grey endpoint that fail.
const GREY_FAILURES: f64 = 0.4;
/// Bad answers after which a version must soon get nothing more.
const MARKED_BAD: u64 = 50;

/// How a roll-out ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Requests until the time was up.
    pub sent: u64,
    /// Those among them that the new version got.
    pub exposed: u64,
    /// Whether a version was given up, and when.
    pub halted: Option<Duration>,
    /// Whether everything moved, and when.
    pub moved: Option<Duration>,
    /// When the version gave its 50th bad answer.
    pub marked: Option<Duration>,
}

/// An endpoint of the model.
struct Place {
    name: String,
    speed: f64,
    /// When it is grey, as a part of the time.
    grey: Option<f64>,
}

struct Model<'a> {
    case: &'a Case,
    rng: SmallRng,
    old: Vec<Place>,
    new: Vec<Place>,
    seen: Evidence,
    bad: u64,
}

impl<'a> Model<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut places = |count: usize, prefix: &str| -> Vec<Place> {
            let place = |n: usize| Place {
                name: format!("{prefix}-{n}"),
                speed: SPEEDS[rng.random_range(0..SPEEDS.len())],
                grey: rng
                    .random_bool(case.grey)
                    .then(|| rng.random_range(0.0..0.7)),
            };
            (0..count).map(place).collect()
        };
        Self {
            old: places(case.endpoints, "old"),
            new: places(case.endpoints, "new"),
            case,
            rng,
            seen: Evidence::default(),
            bad: 0,
        }
    }

    /// Sends one request at a part of the time.
    fn send(&mut self, part: f64, ratio: f64, moved: bool) {
        const GREY_TIME: f64 = 0.33;
        let new = moved || self.rng.random_bool(ratio.clamp(0.0, 1.0));
        let service = self.draw_service();
        let places = if new { &self.new } else { &self.old };
        let used = if new && !moved {
            places.len().min(CANARIES)
        } else {
            places.len()
        };
        let place = &places[self.rng.random_range(0..used)];
        let grey = place
            .grey
            .is_some_and(|at| (at..at + GREY_TIME).contains(&part));
        let mut fails = self
            .rng
            .random_bool(if grey { GREY_FAILURES } else { FAILURES });
        let mut stretch = place.speed * self.rng.random_range(-0.7..0.7_f64).exp();
        let spoiled =
            new && is_bad(self.case, part, service) && self.rng.random_bool(self.case.spoiled);
        if spoiled && self.case.badness == Badness::Slow {
            stretch *= self.case.slower;
        } else {
            fails |= spoiled;
        }
        self.bad += u64::from(new && (fails || spoiled));
        self.seen.sent += 1;
        self.seen.exposed += u64::from(new);
        let endpoint = if new {
            place.name.clone()
        } else {
            String::new()
        };
        let tally = self.seen.tally(&format!("service-{service}"), &endpoint);
        if fails {
            tally.failed += 1;
        } else {
            tally.record_answer(stretch);
        }
    }

    fn draw_service(&mut self) -> usize {
        let mut drawn = self.rng.random_range(0.0..1.0);
        for (at, part) in self.case.services.iter().enumerate() {
            drawn -= part;
            if drawn < 0.0 {
                return at;
            }
        }
        0
    }
}

/// Tells whether a version spoils answers to a service's requests at a part of the time.
fn is_bad(case: &Case, part: f64, service: usize) -> bool {
    const LOAD_TURNS: f64 = 3.0;
    match case.badness {
        Badness::Good => false,
        Badness::Fails | Badness::Slow => true,
        Badness::Later => part >= case.from,
        Badness::OneService => service == 0,
        Badness::UnderLoad => (part * LOAD_TURNS).fract() >= case.from.min(0.5),
    }
}

/// Plays a drawn roll-out, decided in one way.
pub fn run(case: &Case, way: &impl RolloutStrategy, bounds: Rollouts, seed: u64) -> Outcome {
    let mut model = Model::new(case, seed);
    let mut outcome = Outcome::default();
    let mut told: VecDeque<(Duration, Evidence)> = VecDeque::new();
    let mut decided: Option<(Duration, Decision)> = None;
    let mut now = Duration::ZERO;
    let known_from = UNSURE.mul_f64(model.rng.random_range(0.0..1.0));
    let mut owed = 0.0;
    while now < case.time {
        now += STEP;
        let part = now.as_secs_f64() / case.time.as_secs_f64();
        let in_force = decided.filter(|(at, _)| *at + WORD <= now).map(|(_, d)| d);
        let known = now >= known_from;
        let old_news = told.iter().rev().find(|(at, _)| *at + WORD <= now);
        let heard = old_news.map(|(_, e)| e.clone()).unwrap_or_default();
        let progress = Progress {
            elapsed: now.saturating_sub(known_from) + UNSURE,
            uncertainty: UNSURE,
            time: case.time,
            sent: heard.sent,
            exposed: heard.exposed,
        };
        let ratio = match in_force {
            Some(Decision::Halt) => 0.0,
            _ if known => way.ratio(progress, bounds),
            _ => 0.0,
        };
        owed += case.rate * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            model.send(part, ratio, in_force == Some(Decision::Move));
        }
        if model.bad >= MARKED_BAD {
            outcome.marked.get_or_insert(now);
        }
        told.push_back((now, model.seen.clone()));
        while told.len() > 1 && told[1].0 + WORD <= now {
            told.pop_front();
        }
        let decision = if known && decided.is_none() {
            way.decide(progress, bounds, &heard, case.endpoints)
        } else {
            Decision::Watch
        };
        match decision {
            Decision::Watch => continue,
            Decision::Move => outcome.moved = Some(now),
            Decision::Halt => outcome.halted = Some(now),
        }
        decided = Some((now, decision));
    }
    outcome.sent = model.seen.sent;
    outcome.exposed = model.seen.exposed;
    outcome
}
