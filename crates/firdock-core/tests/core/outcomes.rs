//! HTTP statuses returned for outcomes.

use firdock_core::{Outcome, Reason};

/// Statuses from which callers conclude that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Finding 19: a request whose first attempt broke and whose second was abandoned because of load may
/// have run, but was answered with a status that states that it has not.
#[test]
fn a_request_that_may_have_run_never_gets_a_status_that_says_it_has_not() {
    for reason in [
        Reason::Overload,
        Reason::WaitedTooLong,
        Reason::NoEndpoint,
        Reason::EndpointLost,
        Reason::PeerLost,
        Reason::KeyInUse,
        Reason::KeyMismatch,
        Reason::KeyUncertain,
        Reason::KeyUnconfirmed,
        Reason::CallerLeft,
        Reason::TimedOut,
        Reason::RateLimited,
        Reason::StateStale,
        Reason::AccessChanged,
    ] {
        let status = reason.status(Outcome::Unknown);
        assert!(!NOT_RUN_STATUSES.contains(&status), "{reason}: {status}");
    }
}
