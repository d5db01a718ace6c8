//! Answers in parts: whatever order parts come in, and whatever lacks, the whole is what was told.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_node::peer::{
    InvalidPart, MissingParts, PART_BYTES, PartialReplies, count_parts, state_part,
};
use firdock_wire::message::StateAnswer;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn teller(n: u8) -> SocketAddr {
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
fn a_part_that_is_lost_is_asked_for_alone() {
    let told = state(PART_BYTES * 2 + 7);
    let mut answers = PartialReplies::default();
    assert_eq!(answers.missing(teller(1)), None);
    for n in [0, 2] {
        assert_eq!(answers.add(NOW, teller(1), part(9, &told, n)), Ok(None));
    }
    let missing = MissingParts {
        state: 9,
        parts: vec![1],
    };
    assert_eq!(answers.missing(teller(1)), Some(missing));
    assert_eq!(answers.missing(teller(2)), None);
    let whole = answers.add(NOW, teller(1), part(9, &told, 1));
    assert_eq!(whole.map(|w| w.map(|w| w.state)), Ok(Some(told)));
    assert_eq!(answers.missing(teller(1)), None);
}

#[test]
fn parts_of_a_state_that_was_made_anew_replace_those_before() {
    let (old, new) = (state(PART_BYTES + 1), state(PART_BYTES + 9));
    let mut answers = PartialReplies::default();
    assert_eq!(answers.add(NOW, teller(1), part(1, &old, 0)), Ok(None));
    assert_eq!(answers.add(NOW, teller(1), part(2, &new, 1)), Ok(None));
    let whole = answers.add(NOW, teller(1), part(2, &new, 0));
    assert_eq!(whole.map(|w| w.map(|w| w.state)), Ok(Some(new.clone())));
    // The same number by another start of the teller is another state.
    assert_eq!(answers.add(NOW, teller(1), part(2, &new, 0)), Ok(None));
    let restarted = StateAnswer {
        incarnation: vec![2; 16],
        ..part(2, &new, 1)
    };
    assert_eq!(answers.add(NOW, teller(1), restarted), Ok(None));
}

#[test]
fn parts_that_cannot_be_and_tellers_without_end_take_no_room() {
    let told = state(PART_BYTES + 1);
    let mut answers = PartialReplies::default();
    let hostile = |part_no: u32, parts: u32| StateAnswer {
        part: part_no,
        parts,
        ..part(1, &told, 0)
    };
    for (part_no, parts) in [(2, 2), (0, u32::MAX), (u32::MAX, 3)] {
        let taken = answers.add(NOW, teller(1), hostile(part_no, parts));
        assert_eq!(taken, Err(InvalidPart), "{part_no} of {parts}");
    }
    for n in 1..=200 {
        let now = NOW + Duration::from_millis(n.into());
        assert_eq!(answers.add(now, teller(n), part(1, &told, 0)), Ok(None));
    }
    let kept = (1..=200).filter(|n| answers.missing(teller(*n)).is_some());
    assert_eq!(kept.count(), 4);
    assert_eq!(count_parts(PART_BYTES * 64), Some(64));
    assert_eq!(
        count_parts(PART_BYTES * 64 + 1),
        None,
        "read from the store"
    );
}

proptest! {
    #[test]
    fn parts_in_any_order_and_doubled_give_the_whole(
        bytes in 1_usize..PART_BYTES * 6,
        order in prop::collection::vec(0_u32..6, 0..20),
    ) {
        let told = state(bytes);
        let parts = count_parts(bytes).expect("few parts");
        let mut answers = PartialReplies::default();
        let mut whole = None;
        for n in order.into_iter().map(|n| n % parts).chain(0..parts) {
            if whole.is_none() {
                whole = answers.add(NOW, teller(1), part(1, &told, n)).expect("a part");
            }
        }
        prop_assert_eq!(whole.map(|w| w.state), Some(told));
    }
}
