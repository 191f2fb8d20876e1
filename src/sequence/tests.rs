use proptest::prelude::*;

use super::{SequenceGuard, SequenceVerdict};
use crate::clock::{ClockMillis, SpanMillis};

const PATIENCE: SpanMillis = SpanMillis::new(2_000);
const INTERVAL: SpanMillis = SpanMillis::new(500);
const START: ClockMillis = ClockMillis::new(10_000);

/// Feeds sound numbers from `first` on, an interval apart; returns how many are judged
/// before one is the newest.
fn sound_until_newest(guard: &mut SequenceGuard, first: u64, mut now: ClockMillis) -> u32 {
    for message in 0..100 {
        let number = first + u64::from(message);
        if guard.judge(number, PATIENCE, now) == SequenceVerdict::Newest {
            return message;
        }
        now = now.after(INTERVAL);
    }
    panic!("sound messages are ignored for good");
}

#[test]
fn delayed_messages_are_stale_while_newer_ones_come() {
    let mut guard = SequenceGuard::new(10);
    let mut now = START;
    for number in 11..60 {
        assert_eq!(guard.judge(number, PATIENCE, now), SequenceVerdict::Newest);
        // A second path delivers everything five messages late.
        assert_eq!(
            guard.judge(number - 5, PATIENCE, now),
            SequenceVerdict::Stale
        );
        now = now.after(INTERVAL);
    }
}

/// Guards against a burst of delayed messages that undoes the newest one.
#[test]
fn a_burst_of_delayed_messages_does_not_win() {
    let mut guard = SequenceGuard::new(100);
    for number in 50..99 {
        let at = START.after(SpanMillis::new(number * 20));
        assert_eq!(guard.judge(number, PATIENCE, at), SequenceVerdict::Stale);
    }
}

/// Guards against one number that holds off all sound messages after it.
#[test]
fn a_number_that_can_not_follow_is_odd_and_changes_nothing() {
    let mut guard = SequenceGuard::new(10);
    for number in [u64::MAX, 1 << 40, 10 + (1 << 17)] {
        assert_eq!(guard.judge(number, PATIENCE, START), SequenceVerdict::Odd);
    }
    assert_eq!(guard.judge(11, PATIENCE, START), SequenceVerdict::Newest);
}

proptest! {
    /// Guards against any first numbers after which sound messages are ignored for good:
    /// they are believed once they have gone on for as long as messages may be delayed.
    #[test]
    fn sound_messages_win_after_any_odd_ones(
        odd in prop::collection::vec(
            prop_oneof![any::<u64>(), 0..200_000_u64, Just(u64::MAX)], 1..12),
        first in 0..100_000_u64,
    ) {
        let mut guard = SequenceGuard::new(odd[0]);
        for number in &odd[1..] {
            guard.judge(*number, PATIENCE, START);
        }
        let waited = sound_until_newest(&mut guard, first, START.after(INTERVAL));
        prop_assert!(INTERVAL.saturating_mul(waited.into()) <= PATIENCE);
    }
}
