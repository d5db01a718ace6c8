//! Bodies in reading and held: the memory budget holds, and accounts do not push each other out.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::TierRank;
use firdock_policy::Time;
use firdock_policy::bodies::{BodyBuffers, BodyChanges, BodyId, NewBody, WantedRoom};
use proptest::prelude::*;

/// Budget of the tests, in bytes.
const BUDGET: usize = 16 << 20;
/// A large body, in bytes.
const LARGE: usize = 4 << 20;
/// A small body, in bytes.
const SMALL: usize = 64 << 10;
/// How long bodies wait.
const WAIT: Duration = Duration::from_millis(500);
/// Tiers of the tests, the highest first.
const HIGH: TierRank = 0;
const MIDDLE: TierRank = 1;
const LOW: TierRank = 2;
/// Accounts that flood the budget in the random series.
const FLOODING: usize = 3;

fn at(millis: u64) -> Time {
    Duration::from_hours(1) + Duration::from_millis(millis)
}

fn open(buffers: &mut BodyBuffers, millis: u64, id: BodyId, account: &str, bytes: usize) -> bool {
    let changes = buffers.open(at(millis), id, body(millis, account, bytes));
    changes.granted == [id]
}

/// A body of the middle tier that comes at this time.
fn body(millis: u64, account: &str, bytes: usize) -> NewBody {
    ranked(millis, account, MIDDLE, bytes)
}

fn ranked(millis: u64, account: &str, rank: TierRank, bytes: usize) -> NewBody {
    NewBody {
        account: account.to_owned(),
        rank,
        bytes,
        until: at(millis) + WAIT,
    }
}

/// A flood of one account must keep no small body of another one out, neither in reading nor once it is held.
#[test]
fn a_flood_of_one_account_leaves_room_for_small_bodies_of_others() {
    for held in [false, true] {
        let mut buffers = BodyBuffers::new(BUDGET);
        for (id, bytes) in (0..300).map(|id| (id, if id % 2 == 0 { LARGE } else { SMALL })) {
            if open(&mut buffers, 0, id, "flood", bytes) && held {
                buffers.settle(at(0), id, bytes);
            }
        }
        for (n, account) in ["a", "b", "c", "d"].iter().enumerate() {
            let id = 1_000 + n as BodyId;
            assert!(open(&mut buffers, 1, id, account, SMALL), "{account}");
        }
    }
}

/// An account that sends alone must not be kept from what nobody else uses.
#[test]
fn an_account_alone_gets_all_but_the_part_for_small_users() {
    let mut buffers = BodyBuffers::new(BUDGET);
    let granted = (0..300).filter(|id| open(&mut buffers, 0, *id, "alone", SMALL));
    assert_eq!(granted.count(), buffers.max_body() / SMALL);
    assert!(buffers.max_body() >= BUDGET / 4 * 3);
}

/// Halves of bodies that rest must not keep the large bodies of an account that uses less out for as long as
/// they like, and a body that was read must never be cut.
#[test]
fn a_long_reading_is_cut_for_an_account_that_uses_less_and_a_held_one_is_not() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..3 {
        assert!(open(&mut buffers, 0, id, "slow", LARGE));
    }
    buffers.settle(at(10), 0, LARGE);
    let now = at(1_900);
    let changes = buffers.open(now, 10, body(1_900, "other", LARGE));
    assert_eq!(changes, BodyChanges::default());
    let changes = buffers.advance(now);
    assert_eq!((changes.cut, changes.granted), (vec![1], vec![10]));
    let changes = buffers.open(now, 11, body(1_900, "other", LARGE));
    assert_eq!(changes, BodyChanges::default());
    let changes = buffers.advance(now);
    assert!(changes.cut.is_empty(), "both use the same now");
    assert_eq!(buffers.advance(now + WAIT).refused, [11]);
}

/// A body that is larger than the budget must be refused at once instead of waiting for what never comes.
#[test]
fn what_can_never_fit_is_refused_at_once() {
    let mut buffers = BodyBuffers::new(BUDGET);
    let changes = buffers.open(at(0), 1, body(0, "a", BUDGET));
    assert_eq!(changes.refused, [1]);
    let most = buffers.max_body();
    assert!(open(&mut buffers, 0, 2, "a", most));
}

/// Buffers of many connections must leave less room for large bodies, and none the less room for small ones.
#[test]
fn buffers_of_connections_take_room_from_large_bodies_alone() {
    let mut buffers = BodyBuffers::new(BUDGET);
    buffers.add_buffers(BUDGET);
    assert!(!open(&mut buffers, 0, 1, "large", LARGE));
    assert!(open(&mut buffers, 0, 2, "small", SMALL));
    assert_eq!(buffers.remove_buffers(at(1), BUDGET).granted, [1]);
}

/// Of bodies that wait, the one of the highest tier must be read first, whoever uses least.
#[test]
fn a_body_of_a_higher_tier_is_granted_before_one_of_a_lower_tier() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..3 {
        buffers.open(at(0), id, ranked(0, "busy", HIGH, LARGE));
    }
    buffers.open(at(1), 10, ranked(1, "idle", LOW, LARGE));
    buffers.open(at(2), 11, ranked(2, "busy", HIGH, LARGE));
    assert_eq!(buffers.close(at(3), 0).granted, [11]);
    assert_eq!(buffers.close(at(4), 1).granted, [10]);
}

/// A body of a higher tier must not wait behind bodies in reading of a lower tier, however young they are, and it
/// takes the lowest first.
#[test]
fn readings_of_lower_tiers_are_cut_for_a_body_of_a_higher_tier() {
    let mut buffers = BodyBuffers::new(BUDGET);
    buffers.open(at(0), 0, ranked(0, "a", MIDDLE, LARGE));
    buffers.open(at(0), 1, ranked(0, "b", LOW, LARGE));
    buffers.open(at(0), 2, ranked(0, "c", HIGH, LARGE));
    buffers.open(at(1), 10, ranked(1, "busy", HIGH, LARGE));
    let changes = buffers.advance(at(25));
    assert_eq!((changes.cut, changes.granted), (vec![1], vec![10]));
    buffers.open(at(26), 11, ranked(26, "busy", HIGH, LARGE));
    let changes = buffers.advance(at(50));
    assert_eq!((changes.cut, changes.granted), (vec![0], vec![11]));
}

/// A body of a lower tier must cut none of a higher one, however long that is read.
#[test]
fn a_long_reading_of_a_higher_tier_is_not_cut_for_a_lower_one() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..3 {
        buffers.open(at(0), id, ranked(0, "busy", HIGH, LARGE));
    }
    buffers.open(at(3_000), 10, ranked(3_000, "idle", LOW, LARGE));
    let changes = buffers.advance(at(3_025));
    assert!(changes.cut.is_empty(), "{changes:?}");
}

/// A body of unknown length that grows goes before readings of lower tiers too, and never before those of its own.
#[test]
fn readings_of_lower_tiers_are_cut_for_a_body_that_grows() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for (id, rank) in [(0, MIDDLE), (1, LOW), (2, MIDDLE)] {
        buffers.open(at(0), id, ranked(0, "a", rank, LARGE));
    }
    buffers.open(at(1), 10, ranked(1, "b", MIDDLE, SMALL));
    let changes = buffers.grow(at(2), 10, LARGE).expect("room");
    assert_eq!(changes.cut, [1]);
    assert_eq!(buffers.grow(at(3), 10, LARGE), None);
}

/// A body must not be refused without a word while requests of lower tiers are held: what it lacks is wanted in time
/// before the end of its wait, less what cuts would free.
#[test]
fn a_body_that_is_about_to_be_refused_wants_the_room_that_it_lacks() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..3 {
        buffers.open(at(0), id, ranked(0, "a", HIGH, LARGE));
        buffers.settle(at(0), id, LARGE);
    }
    buffers.open(at(0), 3, ranked(0, "b", LOW, SMALL));
    buffers.open(at(0), 10, ranked(0, "c", HIGH, LARGE));
    assert_eq!(
        buffers.advance(at(25)).wanted,
        None,
        "room may come by itself"
    );
    let missing = 4 * LARGE - buffers.max_body();
    let wanted = WantedRoom {
        rank: HIGH,
        bytes: missing,
    };
    let late = at(450);
    assert_eq!(buffers.advance(late).wanted, Some(wanted));
    assert_eq!(buffers.close(late, 0).granted, [10]);
    assert_eq!(buffers.advance(late).wanted, None);
}

/// Further bodies of a lower tier must not take the room for which one of a higher tier waits; small ones have a part
/// of their own.
#[test]
fn a_lower_tier_takes_no_room_for_which_a_higher_one_waits() {
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..3 {
        buffers.open(at(0), id, ranked(0, "a", MIDDLE, LARGE));
        buffers.settle(at(0), id, LARGE);
    }
    buffers.open(at(1), 10, ranked(1, "busy", HIGH, LARGE));
    let changes = buffers.open(at(2), 11, ranked(2, "idle", LOW, LARGE / 4));
    assert_eq!(changes, BodyChanges::default(), "it waits");
    assert!(open(&mut buffers, 2, 12, "quiet", SMALL));
    assert_eq!(buffers.close(at(3), 0).granted, [10, 11]);
}

/// A body must not be granted and cut in one step: its caller would be refused although it had just got room.
#[test]
fn a_body_that_has_just_been_granted_is_not_cut_in_the_same_step() {
    let half = LARGE / 2;
    let mut buffers = BodyBuffers::new(BUDGET);
    for id in 0..7 {
        buffers.open(at(0), id, ranked(0, "a", LOW, half));
    }
    for id in 0..4 {
        buffers.settle(at(0), id, half);
    }
    let little = (BUDGET - 7 * half) / 8;
    for id in 10..18 {
        assert!(open(&mut buffers, 0, id, &format!("small {id}"), little));
        buffers.settle(at(0), id, little);
    }
    buffers.open(at(1), 20, ranked(1, "quiet", LOW, SMALL));
    buffers.open(at(1), 21, ranked(1, "b", HIGH, half));
    buffers.open(at(1), 22, ranked(1, "c", MIDDLE, half));
    let changes = buffers.advance(at(25));
    assert_eq!(changes.granted[..2], [21, 20], "{changes:?}");
    assert!(!changes.cut.contains(&20), "{changes:?}");
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Reading,
    Held,
}

#[derive(Debug)]
struct Row {
    account: usize,
    rank: TierRank,
    bytes: usize,
    phase: Phase,
    until: Time,
}

#[derive(Debug, Clone)]
enum Step {
    Open(usize, usize),
    Grow(usize, usize),
    Settle(usize),
    Close(usize),
    Advance(u64),
    /// A small body of an account that has no others.
    Quiet,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..FLOODING, prop_oneof![1..SMALL, SMALL..2 * LARGE]).prop_map(|(a, n)| Step::Open(a, n)),
        1 => (any::<usize>(), 1..LARGE).prop_map(|(i, n)| Step::Grow(i, n)),
        2 => any::<usize>().prop_map(Step::Settle),
        2 => any::<usize>().prop_map(Step::Close),
        2 => (0..700_u64).prop_map(Step::Advance),
        1 => Just(Step::Quiet),
    ];
    prop::collection::vec(step, 1..200)
}

/// Applies changes to the model. Only a waiting body may be granted or refused, and only one in reading cut.
fn apply(model: &mut BTreeMap<BodyId, Row>, changes: &BodyChanges) -> Result<(), TestCaseError> {
    for id in &changes.refused {
        let row = model.remove(id);
        prop_assert!(row.is_some_and(|r| r.phase == Phase::Waiting));
    }
    for id in &changes.cut {
        let row = model.remove(id);
        prop_assert!(row.is_some_and(|r| r.phase == Phase::Reading));
    }
    for id in &changes.granted {
        let row = model.get_mut(id).expect("a granted body is known");
        prop_assert_eq!(row.phase, Phase::Waiting);
        row.phase = Phase::Reading;
    }
    Ok(())
}

fn pick(model: &BTreeMap<BodyId, Row>, n: usize, phase: Phase) -> Option<BodyId> {
    let ids = model.iter().filter(|(_, row)| row.phase == phase);
    let ids: Vec<BodyId> = ids.map(|(id, _)| *id).collect();
    (!ids.is_empty()).then(|| ids[n % ids.len()])
}

fn pick_any(model: &BTreeMap<BodyId, Row>, n: usize) -> Option<BodyId> {
    let ids: Vec<BodyId> = model.keys().copied().collect();
    (!ids.is_empty()).then(|| ids[n % ids.len()])
}

proptest! {
    /// Over any series: the budget is never exceeded, only unread and half-read bodies are given up, a wait ends,
    /// no body is kept waiting by an empty budget, and a quiet account's small body is granted at once.
    #[test]
    fn the_budget_holds_over_any_series(steps in steps()) {
        let mut buffers = BodyBuffers::new(BUDGET);
        let mut model: BTreeMap<BodyId, Row> = BTreeMap::new();
        let mut millis = 0;
        for (id, step) in (0..).zip(steps) {
            let now = at(millis);
            match step {
                Step::Open(account, bytes) => {
                    let rank = [HIGH, MIDDLE, LOW][id as usize % 3];
                    let row = Row { account, rank, bytes, phase: Phase::Waiting, until: now + WAIT };
                    let new = ranked(millis, &format!("flood-{account}"), rank, bytes);
                    let changes = buffers.open(now, id, new);
                    model.insert(id, row);
                    apply(&mut model, &changes)?;
                }
                Step::Grow(n, bytes) => {
                    if let Some(id) = pick(&model, n, Phase::Reading)
                        && let Some(changes) = buffers.grow(now, id, bytes)
                    {
                        model.get_mut(&id).expect("a row").bytes += bytes;
                        apply(&mut model, &changes)?;
                    }
                }
                Step::Settle(n) => {
                    if let Some(id) = pick(&model, n, Phase::Reading) {
                        let row = model.get_mut(&id).expect("a row");
                        row.bytes -= row.bytes / 4;
                        row.phase = Phase::Held;
                        let bytes = row.bytes;
                        let changes = buffers.settle(now, id, bytes);
                        apply(&mut model, &changes)?;
                    }
                }
                Step::Close(n) => {
                    if let Some(id) = pick_any(&model, n) {
                        model.remove(&id);
                        let changes = buffers.close(now, id);
                        apply(&mut model, &changes)?;
                    }
                }
                Step::Advance(more) => {
                    millis += more;
                    let changes = buffers.advance(at(millis));
                    apply(&mut model, &changes)?;
                    let over = |r: &&Row| r.phase == Phase::Waiting && r.until <= at(millis);
                    prop_assert_eq!(model.values().filter(over).count(), 0);
                }
                Step::Quiet => {
                    let changes = buffers.open(now, id, body(millis, "quiet", SMALL));
                    prop_assert_eq!(&changes.granted, &[id]);
                    prop_assert!(buffers.close(now, id).cut.is_empty());
                }
            }
            let of_phase = |phase| model.values().filter(move |r| r.phase == phase);
            let taken = of_phase(Phase::Reading).chain(of_phase(Phase::Held));
            let taken: usize = taken.map(|r| r.bytes).sum();
            prop_assert_eq!(buffers.bytes(), taken);
            prop_assert!(taken <= BUDGET);
            prop_assert_eq!(buffers.waiting(), of_phase(Phase::Waiting).count());
            prop_assert!(taken > 0 || buffers.waiting() == 0, "a body waits for an empty budget");
            let least = of_phase(Phase::Waiting).map(|r| (r.rank, r.bytes)).min();
            prop_assert!(
                least.is_none_or(|(_, n)| taken + n > buffers.max_body()),
                "a body of the highest tier that waits would fit"
            );
            prop_assert!(model.values().all(|r| r.account < FLOODING));
        }
    }
}
