//! Requests that are held give way to the bodies of higher tiers that lack room.

use firdock_core::TierRank;
use firdock_policy::bodies::WantedRoom;
use firdock_policy::{Action, Event, NewRequest};
use uuid::Uuid;

use crate::fixtures::{TestScheduler, id, request, settings};

/// Tiers of the fixtures.
const INSTANT: TierRank = 0;
const GUIDE: TierRank = 1;
const DRAFT: TierRank = 2;

/// A scheduler whose engines are busy, which holds drafts of 1,000 and 100,000 bytes and a guide of 50,000.
fn holding() -> TestScheduler {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=3 {
        d.arrive(request(n, "draft", "shop"));
    }
    for (n, service, bytes) in [
        (11, "draft", 1_000),
        (12, "draft", 100_000),
        (13, "guide", 50_000),
    ] {
        d.arrive(NewRequest {
            bytes,
            ..request(n, service, "shop")
        });
    }
    assert_eq!(d.scheduler.tables().requests.held(), 3);
    d
}

/// Returns the requests that are refused for room.
fn given_up(d: &mut TestScheduler, rank: TierRank, bytes: usize) -> Vec<Uuid> {
    let actions = d.step(Event::RoomWanted(WantedRoom { rank, bytes }));
    let answered = |a: &Action| match a {
        Action::Answer { id, verdict } => {
            assert_eq!(verdict.outcome, firdock_core::Outcome::NotRun);
            Some(*id)
        }
        _ => None,
    };
    actions.iter().filter_map(answered).collect()
}

/// A body of a higher tier was refused for lack of room while requests of lower tiers were held.
#[test]
fn the_lowest_tier_held_gives_way_to_a_body_that_lacks_room() {
    let mut d = holding();
    assert_eq!(given_up(&mut d, INSTANT, 80_000), [id(12)]);
    assert_eq!(given_up(&mut d, INSTANT, 50_500), [id(11), id(13)]);
}

/// Nothing that was accepted is given up for a body of the same or a lower tier, nor where that makes too little room.
#[test]
fn what_is_held_goes_for_higher_tiers_alone_and_only_where_it_suffices() {
    let mut d = holding();
    assert!(given_up(&mut d, DRAFT, 1).is_empty());
    assert!(given_up(&mut d, INSTANT, 151_001).is_empty());
    assert!(given_up(&mut d, GUIDE, 101_001).is_empty());
    assert_eq!(given_up(&mut d, GUIDE, 101_000), [id(12), id(11)]);
    assert!(given_up(&mut d, GUIDE, 1).is_empty());
}
