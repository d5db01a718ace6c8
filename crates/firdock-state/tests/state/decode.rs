//! Decoding of records from outside: any text is folded or ignored, and never causes a panic.

use std::time::Duration;

use firdock_state::{FoldOutcome, LogRecord, State};
use proptest::prelude::*;

fn log_record(offset: u64, body: String) -> LogRecord {
    LogRecord {
        offset,
        time_millis: offset,
        body,
    }
}

proptest! {
    #[test]
    fn any_text_is_folded_without_a_panic(bodies in proptest::collection::vec(".*", 0..20)) {
        let mut state = State::new();
        for (offset, body) in (0..).zip(bodies) {
            let record = log_record(offset, body).decode();
            state.fold(offset, Duration::ZERO, record.as_ref());
        }
        prop_assert_eq!(state.version, 0);
    }

    #[test]
    fn json_of_an_almost_valid_record_is_ignored(
        kind in "[a-z]{0,8}", base in any::<i64>(), name in ".{0,70}",
    ) {
        let body = format!(
            "{{\"id\":\"00000000-0000-0000-0000-000000000001\",\"body\":{{\"type\":\"change\",\
             \"key\":{{\"kind\":\"{kind}\",\"name\":{name:?}}},\"base\":{base},\
             \"resource\":{{\"kind\":\"tier\",\"rank\":\"no number\"}}}}}}"
        );
        let mut state = State::new();
        let record = log_record(0, body).decode();
        let outcome = state.fold(0, Duration::ZERO, record.as_ref());
        prop_assert_eq!(outcome, FoldOutcome::Ignored);
    }
}
