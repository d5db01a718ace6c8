//! The clock of an instance whose machine is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use firdock_node::clock::{Clock, counts_suspensions};

/// Time that the steady clock of the test leaves out, in milliseconds.
static SUSPENDED_MILLIS: AtomicU64 = AtomicU64::new(0);

fn steady_time() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

fn time_with_suspensions() -> Duration {
    steady_time() + Duration::from_millis(SUSPENDED_MILLIS.load(Ordering::Relaxed))
}

/// Guards against waits that last longer by the length of a suspension, as those of the runtime's timers do.
#[tokio::test]
async fn a_wait_by_the_clock_ends_soon_after_a_suspension() {
    let clock = Clock::with_source(time_with_suspensions).with_steady_source(steady_time);
    let until = clock.now() + Duration::from_secs(10);
    let waiting = tokio::spawn(async move { clock.sleep_until(until).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished());
    assert!(
        clock.suspended(clock.now()) < Duration::from_millis(100),
        "not yet"
    );
    SUSPENDED_MILLIS.store(20_000, Ordering::Relaxed);
    let resumed = Instant::now();
    waiting.await.expect("the wait ends");
    assert!(resumed.elapsed() < Duration::from_secs(1));
    assert!(clock.suspended(clock.now()) >= Duration::from_secs(20));
}

/// Guards against a build that reads the steady clock on a system which has one that counts suspensions.
#[test]
#[cfg(target_os = "linux")]
fn the_clock_counts_suspensions_on_linux() {
    assert!(counts_suspensions());
    let clock = Clock::new();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now() >= before + Duration::from_millis(20));
    assert!(
        clock.suspended(clock.now()) < Duration::from_millis(100),
        "not suspended"
    );
}
