//! A straight line learned from samples, of which old ones are forgotten.

/// Weight that the samples so far keep at each new one: about fifteen of them count, which an
/// engine of a busy site gives in two or three seconds.
const KEEP: f64 = 0.93;
/// Weight of each of the two samples that stand for what is assumed at first, which are not
/// forgotten: they hold the line where all samples lie at one place.
const ASSUMED_WEIGHT: f64 = 0.02;
/// Most that a sample may be above what the line says, as a multiple: one that waited for something
/// else says nothing of the line.
const MOST_ABOVE: f64 = 5.0;
/// Least value of the line.
const LEAST: f64 = 1e-3;

/// A line through weighted samples, by least squares.
#[derive(Debug, Clone, Copy)]
pub struct LinearFit {
    keep: f64,
    assumed: Sums,
    seen: Sums,
}

/// Sums over weighted samples.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    /// Makes the sums of one sample.
    fn of(weight: f64, x: f64, y: f64) -> Self {
        Self {
            weight,
            x: weight * x,
            y: weight * y,
            xx: weight * x * x,
            xy: weight * x * y,
        }
    }

    /// Gives these sums with `share` of the others.
    fn plus(self, share: f64, others: Self) -> Self {
        Self {
            weight: self.weight + share * others.weight,
            x: self.x + share * others.x,
            y: self.y + share * others.y,
            xx: self.xx + share * others.xx,
            xy: self.xy + share * others.xy,
        }
    }
}

impl LinearFit {
    /// Makes a line that is assumed to begin at `base` and to reach `base + rise` at `span`.
    #[must_use]
    pub fn new(base: f64, span: f64, rise: f64) -> Self {
        let first = Sums::of(ASSUMED_WEIGHT, 0.0, base);
        let last = Sums::of(ASSUMED_WEIGHT, span, base + rise);
        Self {
            keep: KEEP,
            assumed: first.plus(1.0, last),
            seen: Sums::default(),
        }
    }

    /// Sets the weight that the samples so far keep at each new one, where more of them come.
    #[must_use]
    pub fn with_keep(mut self, keep: f64) -> Self {
        self.keep = keep;
        self
    }

    /// Takes a sample.
    pub fn learn(&mut self, x: f64, y: f64) {
        self.learn_weighted(1.0, x, y);
    }

    /// Takes a sample that counts for more or less than others.
    pub fn learn_weighted(&mut self, weight: f64, x: f64, y: f64) {
        let y = y.min(self.at(x) * MOST_ABOVE);
        self.seen = Sums::of(weight, x, y).plus(self.keep, self.seen);
    }

    /// Gives the line's value; it neither falls nor begins below nothing.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        let all = self.assumed.plus(1.0, self.seen);
        let (mean_x, mean_y) = (all.x / all.weight, all.y / all.weight);
        let spread = all.xx / all.weight - mean_x * mean_x;
        let common = all.xy / all.weight - mean_x * mean_y;
        let steepest = mean_y / mean_x.max(f64::MIN_POSITIVE);
        let slope = (common / spread.max(f64::MIN_POSITIVE)).clamp(0.0, steepest);
        (mean_y + slope * (x - mean_x)).max(LEAST)
    }
}
