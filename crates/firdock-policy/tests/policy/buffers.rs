//! Answers that wait for slow callers: the budget holds, and who is cut for it.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::buffers::{AnswerBuffers, BufferId, CALLER_STALL};
use proptest::prelude::*;

/// What a small instance can spare for answers.
const BUDGET: usize = 16 << 20;
/// An answer of some thousand tokens, with its events' frames.
const LONG_ANSWER: usize = 400 << 10;
/// One event of such an answer.
const EVENT: usize = 2 << 10;

fn at(millis: u64) -> Time {
    Duration::from_hours(1) + Duration::from_millis(millis)
}

fn buffers_with(budget: usize, answers: &[(BufferId, &str)]) -> AnswerBuffers {
    let mut buffers = AnswerBuffers::new(budget);
    for (id, account) in answers {
        buffers.open(at(0), *id, (*account).to_owned());
    }
    buffers
}

/// A thousand callers who take 1 KB a second each of answers that come at 40 events a second: one of them
/// could fill 400 KB, all together 400 MB. A caller who takes each event at once is never cut.
#[test]
fn a_thousand_slow_callers_share_a_bounded_memory() {
    const SLOW: u64 = 1_000;
    const FAST: BufferId = SLOW;
    let mut buffers = AnswerBuffers::new(BUDGET);
    for id in 0..=SLOW {
        let account = if id == FAST { "brisk" } else { "slow" };
        buffers.open(at(0), id, account.to_owned());
    }
    let mut cut = Vec::new();
    for event in 0..(LONG_ANSWER / EVENT) as u64 {
        let now = at(event * 25);
        for id in 0..=SLOW {
            cut.extend(buffers.hold(now, id, EVENT));
            assert!(buffers.bytes() <= BUDGET);
            let taken = if id == FAST { EVENT } else { 25 };
            buffers.consume(now, id, taken);
        }
    }
    assert!(!cut.contains(&FAST), "who reads is not cut");
    let kept = SLOW as usize - cut.len();
    assert!(kept >= BUDGET / LONG_ANSWER, "{kept} are served whole");
}

/// A caller stopped reading one answer long ago; another account's answer comes in one large burst.
#[test]
fn the_caller_who_holds_most_for_longest_is_cut_first() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a"), (3, "a")]);
    assert!(buffers.hold(at(0), 1, 300).is_empty());
    assert!(buffers.hold(at(9_000), 2, 500).is_empty());
    assert_eq!(buffers.hold(at(10_000), 3, 300), [1]);
    assert_eq!(buffers.bytes(), 800);
}

#[test]
fn an_account_with_many_slow_callers_pays_for_them_itself() {
    let mut buffers = buffers_with(1_000, &[(1, "small"), (2, "large"), (3, "large")]);
    buffers.hold(at(0), 1, 400);
    buffers.hold(at(5_000), 2, 300);
    assert_eq!(
        buffers.hold(at(6_000), 3, 301),
        [2],
        "though 1 waits longest"
    );
}

#[test]
fn an_answer_that_is_whole_is_kept_as_long_as_others_can_be_cut() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a")]);
    buffers.hold(at(0), 1, 900);
    buffers.mark_complete(1);
    let cut = buffers.hold(at(20_000), 2, 200);
    assert_eq!(cut, [2], "the endpoint's work for 1 is done");
    assert_eq!(buffers.bytes(), 900);
}

#[test]
fn a_caller_who_has_caught_up_begins_anew() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a"), (3, "a")]);
    buffers.hold(at(0), 1, 400);
    buffers.hold(at(4_000), 2, 350);
    buffers.consume(at(5_000), 1, 400);
    buffers.hold(at(5_000), 1, 400);
    assert_eq!(buffers.hold(at(6_000), 3, 300), [2]);
}

#[test]
fn a_caller_who_stops_reading_for_good_is_cut_though_there_is_room() {
    let mut buffers = buffers_with(BUDGET, &[(1, "a"), (2, "a"), (3, "a")]);
    buffers.hold(at(0), 1, 100);
    buffers.mark_complete(1);
    buffers.hold(at(0), 2, 100);
    let stall = CALLER_STALL.as_millis() as u64;
    let nearly = at(stall - 1);
    buffers.consume(nearly, 2, 1);
    assert!(buffers.cut_stalled(nearly, CALLER_STALL).is_empty());
    assert_eq!(buffers.cut_stalled(at(stall), CALLER_STALL), [1]);
    assert_eq!(
        buffers.bytes(),
        99,
        "2 reads on, and 3 waits for its first part"
    );
}

/// A caller who paused is waited for once the endpoint is done with its answer, and not before: until
/// then, the endpoint might work for nobody.
#[test]
fn a_caller_is_late_once_when_it_is_behind_a_whole_answer() {
    let mut buffers = buffers_with(BUDGET, &[(1, "a"), (2, "a")]);
    buffers.hold(at(0), 1, 100);
    buffers.hold(at(0), 2, 100);
    assert!(buffers.became_late(at(5_000)).is_empty());
    buffers.mark_complete(1);
    assert_eq!(buffers.became_late(at(5_000)), [1]);
    assert!(buffers.became_late(at(5_200)).is_empty());
}

#[test]
fn what_ended_counts_no_more() {
    let mut buffers = buffers_with(1_000, &[(1, "a")]);
    buffers.hold(at(0), 1, 700);
    buffers.close(1);
    assert!(buffers.hold(at(1), 1, 700).is_empty(), "a late part");
    buffers.consume(at(1), 1, 700);
    buffers.close(1);
    assert_eq!(buffers.bytes(), 0);
}

/// What is known of an answer in the property below, kept apart from the accounting.
#[derive(Debug, Clone)]
struct AnswerModel {
    account: usize,
    bytes: usize,
    since: u64,
    whole: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Hold(usize),
    Take(usize),
    Whole,
    Close,
}

fn steps() -> impl Strategy<Value = Vec<(BufferId, u64, Step)>> {
    let step = prop_oneof![
        6 => (1_usize..400).prop_map(Step::Hold),
        3 => (1_usize..600).prop_map(Step::Take),
        1 => Just(Step::Whole),
        1 => Just(Step::Close),
    ];
    prop::collection::vec((0_u64..12, 0_u64..500, step), 1..200)
}

/// Checks that what was cut is what the order says: each beside all that were left at that moment.
fn check_cut(seen: &mut BTreeMap<BufferId, AnswerModel>, cut: &[BufferId], now: u64) {
    for id in cut {
        let gone = seen[id].clone();
        let total = |account: usize| -> usize {
            let rows = seen.values().filter(|s| s.account == account);
            rows.map(|s| s.bytes).sum()
        };
        let weight = |s: &AnswerModel| s.bytes as u64 * (now - s.since);
        assert!(gone.bytes > 0);
        for left in seen.values().filter(|s| s.bytes > 0) {
            if gone.whole {
                assert!(left.whole, "an unfinished answer was left");
            }
            if left.whole == gone.whole {
                let (gone_total, left_total) = (total(gone.account), total(left.account));
                assert!(gone_total >= left_total, "another account holds more");
                let same = left.account == gone.account;
                assert!(!same || weight(&gone) >= weight(left), "another was cut");
            }
        }
        seen.remove(id);
    }
}

proptest! {
    #[test]
    fn the_budget_holds_and_cuts_come_in_their_order(steps in steps()) {
        const SMALL: usize = 1_000;
        let mut buffers = AnswerBuffers::new(SMALL);
        let mut seen = BTreeMap::new();
        for id in 0..12 {
            let account = (id % 3) as usize;
            buffers.open(at(0), id, format!("account-{account}"));
            seen.insert(id, AnswerModel { account, bytes: 0, since: 0, whole: false });
        }
        let mut now = 0;
        for (id, pause, step) in steps {
            now += pause;
            match step {
                Step::Hold(n) => {
                    if let Some(row) = seen.get_mut(&id) {
                        row.since = if row.bytes == 0 { now } else { row.since };
                        row.bytes += n;
                    }
                    let cut = buffers.hold(at(now), id, n);
                    check_cut(&mut seen, &cut, now);
                }
                Step::Take(n) => {
                    buffers.consume(at(now), id, n);
                    if let Some(row) = seen.get_mut(&id) {
                        row.bytes -= n.min(row.bytes);
                    }
                }
                Step::Whole => {
                    buffers.mark_complete(id);
                    if let Some(row) = seen.get_mut(&id) {
                        row.whole = true;
                    }
                }
                Step::Close => {
                    buffers.close(id);
                    seen.remove(&id);
                }
            }
            let held: usize = seen.values().map(|s| s.bytes).sum();
            prop_assert_eq!(buffers.bytes(), held);
            prop_assert!(held <= SMALL);
        }
    }
}
