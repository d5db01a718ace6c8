//! States that arrive in parts: any order of the parts gives the state that was sent, and missing parts are
//! requested.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_node::peer::{
    InvalidPart, MissingParts, PART_BYTES, PartialReplies, count_parts, state_part,
};
use firdock_wire::message::StateAnswer;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn sender(n: u8) -> SocketAddr {
    ([127, 0, 0, n], 7_600).into()
}

fn state(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|n| (n * 31 % 251) as u8).collect()
}

fn part(id: u64, state: &[u8], part: u32) -> StateAnswer {
    StateAnswer {
        incarnation: vec![1; 16],
        state: state_part(state, part).to_vec(),
        state_id: id,
        part,
        parts: count_parts(state.len()).expect("few parts"),
        ..StateAnswer::default()
    }
}

#[test]
fn only_a_lost_part_is_requested_again() {
    let sent = state(PART_BYTES * 2 + 7);
    let mut replies = PartialReplies::default();
    assert_eq!(replies.missing(sender(1)), None);
    for n in [0, 2] {
        assert_eq!(replies.add(NOW, sender(1), part(9, &sent, n)), Ok(None));
    }
    let missing = MissingParts {
        state: 9,
        parts: vec![1],
    };
    assert_eq!(replies.missing(sender(1)), Some(missing));
    assert_eq!(replies.missing(sender(2)), None);
    let complete = replies.add(NOW, sender(1), part(9, &sent, 1));
    assert_eq!(complete.map(|state| state.map(|s| s.state)), Ok(Some(sent)));
    assert_eq!(replies.missing(sender(1)), None);
}

#[test]
fn parts_of_a_newer_state_replace_those_of_an_earlier_one() {
    let (old, new) = (state(PART_BYTES + 1), state(PART_BYTES + 9));
    let mut replies = PartialReplies::default();
    assert_eq!(replies.add(NOW, sender(1), part(1, &old, 0)), Ok(None));
    assert_eq!(replies.add(NOW, sender(1), part(2, &new, 1)), Ok(None));
    let complete = replies.add(NOW, sender(1), part(2, &new, 0));
    assert_eq!(
        complete.map(|state| state.map(|s| s.state)),
        Ok(Some(new.clone()))
    );
    // The same number by another process of the sender is another state.
    assert_eq!(replies.add(NOW, sender(1), part(2, &new, 0)), Ok(None));
    let restarted = StateAnswer {
        incarnation: vec![2; 16],
        ..part(2, &new, 1)
    };
    assert_eq!(replies.add(NOW, sender(1), restarted), Ok(None));
}

#[test]
fn invalid_parts_are_rejected_and_the_number_of_senders_is_bounded() {
    let sent = state(PART_BYTES + 1);
    let mut replies = PartialReplies::default();
    let invalid = |part_no: u32, parts: u32| StateAnswer {
        part: part_no,
        parts,
        ..part(1, &sent, 0)
    };
    for (part_no, parts) in [(2, 2), (0, u32::MAX), (u32::MAX, 3)] {
        let outcome = replies.add(NOW, sender(1), invalid(part_no, parts));
        assert_eq!(outcome, Err(InvalidPart), "{part_no} of {parts}");
    }
    for n in 1..=200 {
        let now = NOW + Duration::from_millis(n.into());
        assert_eq!(replies.add(now, sender(n), part(1, &sent, 0)), Ok(None));
    }
    let tracked = (1..=200).filter(|n| replies.missing(sender(*n)).is_some());
    assert_eq!(tracked.count(), 4);
    assert_eq!(count_parts(PART_BYTES * 64), Some(64));
    assert_eq!(
        count_parts(PART_BYTES * 64 + 1),
        None,
        "a larger state is read from the store"
    );
}

proptest! {
    #[test]
    fn parts_in_any_order_and_repeated_give_the_whole_state(
        bytes in 1_usize..PART_BYTES * 6,
        order in prop::collection::vec(0_u32..6, 0..20),
    ) {
        let sent = state(bytes);
        let parts = count_parts(bytes).expect("few parts");
        let mut replies = PartialReplies::default();
        let mut complete = None;
        for n in order.into_iter().map(|n| n % parts).chain(0..parts) {
            if complete.is_none() {
                complete = replies.add(NOW, sender(1), part(1, &sent, n)).expect("a part");
            }
        }
        prop_assert_eq!(complete.map(|s| s.state), Some(sent));
    }
}
