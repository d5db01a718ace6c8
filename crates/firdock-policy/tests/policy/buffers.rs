//! Answers buffered for slow callers: the memory budget holds, and in which order answers are cut.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::buffers::{AnswerBuffers, BufferId, CALLER_STALL, MAX_PART_BYTES};
use proptest::prelude::*;

/// Memory that a small instance can spare for answers.
const BUDGET: usize = 16 << 20;
/// Size of an answer of a few thousand tokens, event framing included.
const LONG_ANSWER: usize = 400 << 10;
/// Time since its last read for which a caller counts as one that reads, in milliseconds.
const READING_MILLIS: u64 = 1_000;
/// Size of one event of such an answer.
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

/// A thousand callers read 1 KB a second each, of answers that arrive at 40 events a second: one of them
/// could fill 400 KB, all together 400 MB. A caller that reads each event at once is never cut.
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
    assert!(!cut.contains(&FAST), "a caller that reads is not cut");
    let kept = SLOW as usize - cut.len();
    assert!(kept >= BUDGET / LONG_ANSWER, "{kept} are served completely");
}

/// A caller stopped reading one answer long ago; later answers arrive in one large burst each.
#[test]
fn the_answer_with_most_bytes_times_age_is_cut_first() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a"), (3, "a")]);
    assert!(buffers.hold(at(0), 1, 300).is_empty());
    assert!(buffers.hold(at(9_000), 2, 500).is_empty());
    assert_eq!(buffers.hold(at(10_000), 3, 300), [1]);
    assert_eq!(buffers.bytes(), 800);
}

#[test]
fn the_account_that_holds_most_is_cut_first() {
    let mut buffers = buffers_with(1_000, &[(1, "small"), (2, "large"), (3, "large")]);
    buffers.hold(at(0), 1, 400);
    buffers.hold(at(5_000), 2, 300);
    assert_eq!(
        buffers.hold(at(6_000), 3, 301),
        [2],
        "although 1 waits longest"
    );
}

#[test]
fn a_complete_answer_is_kept_while_incomplete_ones_can_be_cut() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a")]);
    buffers.hold(at(0), 1, 900);
    buffers.mark_complete(1);
    let cut = buffers.hold(at(20_000), 2, 200);
    assert_eq!(cut, [2], "the endpoint's work for 1 is done");
    assert_eq!(buffers.bytes(), 900);
}

#[test]
fn the_age_of_a_caller_that_caught_up_starts_again() {
    let mut buffers = buffers_with(1_000, &[(1, "a"), (2, "a"), (3, "a")]);
    buffers.hold(at(0), 1, 400);
    buffers.hold(at(4_000), 2, 350);
    buffers.consume(at(5_000), 1, 400);
    buffers.hold(at(5_000), 1, 400);
    assert_eq!(buffers.hold(at(6_000), 3, 300), [2]);
}

#[test]
fn a_caller_that_stops_reading_is_cut_even_within_the_budget() {
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
        "2 still reads, and 3 waits for its first part"
    );
}

/// A caller that paused counts as late only after the endpoint has completed its answer: until then,
/// the endpoint might work for a caller that is gone.
#[test]
fn a_caller_becomes_late_once_after_its_answer_is_complete() {
    let mut buffers = buffers_with(BUDGET, &[(1, "a"), (2, "a")]);
    buffers.hold(at(0), 1, 100);
    buffers.hold(at(0), 2, 100);
    assert!(buffers.became_late(at(5_000)).is_empty());
    buffers.mark_complete(1);
    assert_eq!(buffers.became_late(at(5_000)), [1]);
    assert!(buffers.became_late(at(5_200)).is_empty());
}

#[test]
fn closed_answers_no_longer_count() {
    let mut buffers = buffers_with(1_000, &[(1, "a")]);
    buffers.hold(at(0), 1, 700);
    buffers.close(1);
    assert!(
        buffers.hold(at(1), 1, 700).is_empty(),
        "a part that arrives late"
    );
    buffers.consume(at(1), 1, 700);
    buffers.close(1);
    assert_eq!(buffers.bytes(), 0);
}

/// Model of an answer in the property test below, independent of the tested accounting.
#[derive(Debug, Clone)]
struct AnswerModel {
    account: usize,
    bytes: usize,
    since: u64,
    read: u64,
    complete: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Hold(usize),
    Consume(usize),
    Complete,
    Close,
}

fn steps() -> impl Strategy<Value = Vec<(BufferId, u64, Step)>> {
    let step = prop_oneof![
        6 => (1_usize..400).prop_map(Step::Hold),
        3 => (1_usize..600).prop_map(Step::Consume),
        1 => Just(Step::Complete),
        1 => Just(Step::Close),
    ];
    prop::collection::vec((0_u64..12, 0_u64..500, step), 1..200)
}

/// Checks the order of the cuts: compares each cut answer with all that were left at that moment.
fn check_cut(model: &mut BTreeMap<BufferId, AnswerModel>, cut: &[BufferId], now: u64) {
    for id in cut {
        let cut_answer = model[id].clone();
        let total = |account: usize| -> usize {
            let rows = model.values().filter(|s| s.account == account);
            rows.map(|s| s.bytes).sum()
        };
        let weight = |s: &AnswerModel| {
            let stopped = s.read + READING_MILLIS <= now;
            (stopped, s.bytes as u64 * (now - s.since))
        };
        assert!(cut_answer.bytes > 0);
        for kept in model.values().filter(|s| s.bytes > 0) {
            if cut_answer.complete {
                assert!(kept.complete, "an incomplete answer was kept");
            }
            if kept.complete == cut_answer.complete {
                let (cut_total, kept_total) = (total(cut_answer.account), total(kept.account));
                assert!(cut_total >= kept_total, "another account holds more");
                let same = kept.account == cut_answer.account;
                assert!(
                    !same || weight(&cut_answer) >= weight(kept),
                    "another was cut"
                );
            }
        }
        model.remove(id);
    }
}

proptest! {
    #[test]
    fn the_budget_holds_and_cuts_follow_the_order(steps in steps()) {
        const SMALL: usize = 1_000;
        let mut buffers = AnswerBuffers::new(SMALL);
        let mut model = BTreeMap::new();
        for id in 0..12 {
            let account = (id % 3) as usize;
            buffers.open(at(0), id, format!("account-{account}"));
            model.insert(id, AnswerModel { account, bytes: 0, since: 0, read: 0, complete: false });
        }
        let mut now = 0;
        for (id, pause, step) in steps {
            now += pause;
            match step {
                Step::Hold(n) => {
                    if let Some(row) = model.get_mut(&id) {
                        if row.bytes == 0 {
                            (row.since, row.read) = (now, now);
                        }
                        row.bytes += n;
                    }
                    let cut = buffers.hold(at(now), id, n);
                    check_cut(&mut model, &cut, now);
                }
                Step::Consume(n) => {
                    buffers.consume(at(now), id, n);
                    if let Some(row) = model.get_mut(&id) {
                        row.bytes -= n.min(row.bytes);
                        row.read = now;
                    }
                }
                Step::Complete => {
                    buffers.mark_complete(id);
                    if let Some(row) = model.get_mut(&id) {
                        row.complete = true;
                    }
                }
                Step::Close => {
                    buffers.close(id);
                    model.remove(&id);
                }
            }
            let held: usize = model.values().map(|s| s.bytes).sum();
            prop_assert_eq!(buffers.bytes(), held);
            prop_assert!(held <= SMALL);
        }
    }
}

/// While much of the budget is used, the next bytes of a caller that reads cost another answer its end: its endpoint waits
/// then, but not for a caller that stopped reading, nor for one that has less than its share.
#[test]
fn endpoints_wait_for_callers_that_read_once_half_of_the_budget_is_used() {
    const SMALL: usize = 800;
    let mut buffers = buffers_with(SMALL, &[(1, "shop"), (2, "shop"), (3, "shop")]);
    assert_eq!(buffers.hold(at(0), 1, SMALL / 2), Vec::<BufferId>::new());
    assert_eq!(buffers.wait(at(0), 1, 0), None, "half is free");
    assert_eq!(buffers.hold(at(10), 2, 100), Vec::<BufferId>::new());
    assert_eq!(
        buffers.wait(at(10), 2, 0),
        None,
        "it has less than its share"
    );
    assert_eq!(buffers.wait(at(10), 3, 0), None, "its caller is not behind");
    let wait = buffers
        .wait(at(10), 1, 0)
        .expect("it has more than its share");
    assert_eq!(
        buffers.wait(at(10) + wait, 1, 0),
        None,
        "its caller stopped"
    );
    buffers.consume(at(900), 1, 1);
    assert!(
        buffers.wait(at(10) + wait, 1, 0).is_some(),
        "its caller reads"
    );
    buffers.close(2);
    assert_eq!(buffers.wait(at(1_000), 1, 0), None, "half is free again");
}

/// A caller that has read everything gets its next part also while those that hold bytes wait: the last quarter is for it.
#[test]
fn the_last_quarter_of_the_budget_is_for_callers_that_have_read_everything() {
    const SMALL: usize = 800;
    let mut buffers = buffers_with(SMALL, &[(1, "shop"), (2, "shop"), (3, "shop")]);
    buffers.hold(at(0), 1, SMALL / 2);
    buffers.hold(at(0), 2, 100);
    assert_eq!(buffers.wait(at(10), 2, 100), None, "it has its share then");
    assert!(buffers.wait(at(10), 2, 101).is_some(), "it has more then");
    buffers.consume(at(10), 1, SMALL / 2 - 1);
    buffers.hold(at(10), 2, SMALL / 2);
    assert_eq!(buffers.wait(at(10), 1, 98), None, "a quarter is left");
    assert!(buffers.wait(at(10), 1, 100).is_some(), "less is left");
    assert_eq!(buffers.wait(at(10), 3, 200), None, "it holds nothing");
}

/// A caller stopped reading while another one of its account reads a longer answer: the reader was cut for it.
#[test]
fn a_caller_that_reads_is_not_cut_for_one_of_its_account_that_stopped() {
    let mut buffers = buffers_with(1_000, &[(1, "shop"), (2, "shop")]);
    buffers.hold(at(0), 1, 700);
    buffers.hold(at(0), 2, 200);
    buffers.consume(at(1_500), 1, 50);
    assert_eq!(buffers.hold(at(1_600), 1, 200), [2]);
}

/// An answer in the simulation below, and its caller.
#[derive(Debug)]
struct Transfer {
    id: BufferId,
    /// Bytes that its endpoint has not sent yet.
    unsent: usize,
    /// Bytes that wait for the caller.
    held: usize,
    /// Bytes of the part that the caller reads now.
    taken: usize,
    /// Bytes that the caller reads in each step.
    pace: usize,
}

impl Transfer {
    fn is_whole(&self) -> bool {
        self.unsent + self.held + self.taken == 0
    }
}

/// Length of a step of the simulation.
const STEP_MILLIS: u64 = 10;

/// Simulates endpoints that send at once whatever may be held. Returns the ids that were cut, and checks that all other
/// answers are whole after `limit`.
fn simulate(transfers: &mut Vec<Transfer>, limit: Duration) -> Vec<BufferId> {
    let mut buffers = AnswerBuffers::new(BUDGET);
    for transfer in transfers.iter() {
        buffers.open(at(0), transfer.id, "shop".to_owned());
    }
    let mut cut = Vec::new();
    for step in 0..limit.as_millis() as u64 / STEP_MILLIS {
        let now = at(step * STEP_MILLIS);
        for n in 0..transfers.len() {
            while let Some(transfer) = transfers.get_mut(n) {
                let part = transfer.unsent.min(MAX_PART_BYTES);
                if part == 0 || buffers.wait(now, transfer.id, part).is_some() {
                    break;
                }
                transfer.unsent -= part;
                transfer.held += part;
                if transfer.unsent == 0 {
                    buffers.mark_complete(transfer.id);
                }
                let ids = buffers.hold(now, transfer.id, part);
                transfers.retain(|t| !ids.contains(&t.id));
                cut.extend(ids);
            }
        }
        for transfer in transfers.iter_mut() {
            let mut left = transfer.pace;
            while left > 0 && transfer.taken + transfer.held > 0 {
                if transfer.taken == 0 {
                    transfer.taken = transfer.held.min(MAX_PART_BYTES);
                    transfer.held -= transfer.taken;
                    buffers.consume(now, transfer.id, transfer.taken);
                }
                let read = left.min(transfer.taken);
                transfer.taken -= read;
                left -= read;
            }
        }
    }
    for transfer in transfers.iter().filter(|t| t.pace > 0) {
        assert!(transfer.is_whole(), "{transfer:?}");
    }
    cut
}

/// Callers read at 0.3 to 1 MB/s, more of them than the budget holds answers, and some stop: those who read were cut at the
/// budget, or ahead of those who stopped. No endpoint waits for the latter.
#[test]
fn no_caller_that_reads_is_cut_for_the_budget_and_those_that_stopped_are() {
    for (readers, pace, answer) in [
        (8, 1_000_000, 6_000_000),
        (24, 500_000, 1_000_000),
        (32, 1_000_000, 1_500_000),
        (32, 300_000, 1_500_000),
        (128, 300_000, 1_500_000),
    ] {
        for stopped in [0, 4] {
            let transfer = |id| {
                let reads = id < readers;
                Transfer {
                    id,
                    unsent: if reads { answer } else { BUDGET },
                    held: 0,
                    taken: 0,
                    pace: if reads { pace / 100 } else { 0 },
                }
            };
            let mut transfers: Vec<_> = (0..readers + stopped).map(transfer).collect();
            let time = Duration::from_secs((answer / pace) as u64 + 2);
            let mut cut = simulate(&mut transfers, time);
            cut.sort_unstable();
            let expected: Vec<BufferId> = (readers..readers + stopped).collect();
            assert_eq!(cut, expected, "{readers} read {pace} bytes a second");
        }
    }
}
