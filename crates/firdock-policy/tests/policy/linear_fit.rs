//! Linear fit from which the time to the first token is predicted.

use firdock_policy::table::linear_fit::LinearFit;

/// Seconds to the first token on an engine that takes 0.04 s and reads 50,000 tokens a second.
fn observed(tokens: f64) -> f64 {
    0.04 + tokens / 50_000.0
}

fn assumed() -> LinearFit {
    LinearFit::new(0.1, 5_000.0, 0.5)
}

#[test]
fn samples_of_short_prompts_do_not_make_long_ones_appear_slow() {
    let mut fit = assumed();
    for n in 0..60 {
        let tokens = f64::from(200 + 97 * (n % 30));
        fit.learn(tokens, observed(tokens));
    }
    let long = fit.at(30_000.0);
    assert!((long / observed(30_000.0) - 1.0).abs() < 0.2, "{long} s");
}

#[test]
fn samples_of_one_size_move_the_fit_there_and_keep_it_rising() {
    let mut fit = assumed();
    for _ in 0..40 {
        fit.learn(1_000.0, observed(1_000.0));
    }
    assert!((fit.at(1_000.0) - observed(1_000.0)).abs() < 0.01);
    assert!(fit.at(20_000.0) > fit.at(1_000.0));
}

#[test]
fn an_engine_that_becomes_slow_is_detected_after_some_samples() {
    let mut fit = assumed();
    for slow in [1.0, 4.0] {
        for n in 0..30 {
            let tokens = f64::from(500 + 401 * (n % 10));
            fit.learn(tokens, slow * observed(tokens));
        }
        let at = fit.at(2_000.0);
        assert!(
            (at / (slow * observed(2_000.0)) - 1.0).abs() < 0.25,
            "{at} s"
        );
    }
}

#[test]
fn one_sample_far_above_the_fit_has_little_effect() {
    let mut fit = assumed();
    for _ in 0..30 {
        fit.learn(1_000.0, 0.06);
    }
    fit.learn(1_000.0, 30.0);
    assert!(fit.at(1_000.0) < 0.1);
}
