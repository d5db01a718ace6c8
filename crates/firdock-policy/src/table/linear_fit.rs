//! A linear function learned from samples with exponential forgetting.

/// Weight that earlier samples keep at each new one: about fifteen of them count, which an engine
/// of a busy site delivers in two or three seconds.
const KEEP: f64 = 0.93;
/// Weight of each of the two samples that represent the initial assumption. They are not forgotten,
/// and keep the fit determined when all samples are close together.
const ASSUMED_WEIGHT: f64 = 0.02;
/// Maximum multiple of the fitted value that a sample may count as: a request that waited for
/// something else says nothing about the fit.
const MAX_SAMPLE_FACTOR: f64 = 5.0;
/// Minimum value of the fit.
const MIN_VALUE: f64 = 1e-3;

/// Weighted least-squares fit of a line.
#[derive(Debug, Clone, Copy)]
pub struct LinearFit {
    keep: f64,
    assumed: Sums,
    observed: Sums,
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
    /// Creates the sums of one sample.
    fn of(weight: f64, x: f64, y: f64) -> Self {
        Self {
            weight,
            x: weight * x,
            y: weight * y,
            xx: weight * x * x,
            xy: weight * x * y,
        }
    }

    /// Returns these sums plus `share` times others.
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
    /// Creates a fit with the initial assumption of `base` at zero and `base + rise` at `span`.
    #[must_use]
    pub fn new(base: f64, span: f64, rise: f64) -> Self {
        let first = Sums::of(ASSUMED_WEIGHT, 0.0, base);
        let last = Sums::of(ASSUMED_WEIGHT, span, base + rise);
        Self {
            keep: KEEP,
            assumed: first.plus(1.0, last),
            observed: Sums::default(),
        }
    }

    /// Sets the weight that earlier samples keep at each new one, for uses with more samples.
    #[must_use]
    pub fn with_keep(mut self, keep: f64) -> Self {
        self.keep = keep;
        self
    }

    /// Adds a sample.
    pub fn learn(&mut self, x: f64, y: f64) {
        self.learn_weighted(1.0, x, y);
    }

    /// Adds a sample with a weight.
    pub fn learn_weighted(&mut self, weight: f64, x: f64, y: f64) {
        let y = y.min(self.at(x) * MAX_SAMPLE_FACTOR);
        self.observed = Sums::of(weight, x, y).plus(self.keep, self.observed);
    }

    /// Returns the fitted value; the fit neither decreases nor starts below zero.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        let all = self.assumed.plus(1.0, self.observed);
        let (mean_x, mean_y) = (all.x / all.weight, all.y / all.weight);
        let variance = all.xx / all.weight - mean_x * mean_x;
        let covariance = all.xy / all.weight - mean_x * mean_y;
        let steepest = mean_y / mean_x.max(f64::MIN_POSITIVE);
        let slope = (covariance / variance.max(f64::MIN_POSITIVE)).clamp(0.0, steepest);
        (mean_y + slope * (x - mean_x)).max(MIN_VALUE)
    }
}
