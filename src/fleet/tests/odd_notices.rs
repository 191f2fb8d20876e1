//! Announcements of a target that fit their types and can't be true.

use proptest::prelude::*;
use rstest::rstest;

use super::{HEARTBEAT, START, notice};
use crate::{
    clock::ClockMillis,
    fleet::{
        TargetNotice, TargetState,
        target_tracker::{NoticeVerdict, TargetTracker},
    },
    flow::TargetLifecycle,
};

/// Heartbeats within which a target that runs must be followed, whatever was said before.
const FOLLOWED_WITHIN: u64 = 3;

/// Feeds sound announcements, a heartbeat apart, until one is applied; returns how many were
/// not.
fn sound_until_taken(
    tracker: &mut TargetTracker,
    id: &str,
    started_at: u64,
    first: u64,
    mut now: ClockMillis,
) -> u64 {
    for count in 0..20 {
        let sound = notice(id, started_at, first + count, TargetState::Ready);
        if tracker.apply_notice(sound, now) == NoticeVerdict::Taken {
            return count;
        }
        now = now.after(HEARTBEAT);
    }
    panic!("the announcements of a running target are ignored for good");
}

/// Guards against one announcement after which the target's own are ignored for good.
#[rstest]
#[case::sequence_far_ahead(notice("i-1", 50, u64::MAX, TargetState::Ready))]
#[case::sequence_ahead(notice("i-1", 50, 40_000, TargetState::Ready))]
#[case::draining_ahead(notice("i-1", 50, 9_000, TargetState::Draining))]
#[case::started_in_the_future(notice("i-1", u64::MAX, 1, TargetState::Ready))]
#[case::started_a_little_later(notice("i-1", 2_450, 1, TargetState::Ready))]
#[case::another_id_from_the_future(notice("i-9", u64::MAX, u64::MAX, TargetState::Draining))]
fn a_running_target_is_followed_after_an_odd_announcement(#[case] odd: TargetNotice) {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 50, 7, TargetState::Ready), START);
    tracker.apply_notice(odd, START);
    let now = START.after(HEARTBEAT);
    let ignored = sound_until_taken(&mut tracker, "i-1", 50, 8, now);
    assert!(ignored <= FOLLOWED_WITHIN, "{ignored} were ignored");
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

/// Guards against a target that is taken for ended for good after someone else's DELETE.
#[test]
fn a_running_target_is_followed_after_it_was_said_to_have_ended() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 50, 7, TargetState::Ready), START);
    tracker.note_ended("i-1");
    let now = START.after(HEARTBEAT);
    let ignored = sound_until_taken(&mut tracker, "i-1", 50, 8, now);
    assert!(ignored <= FOLLOWED_WITHIN, "{ignored} were ignored");
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

/// Guards against a boot whose clock jumped back before it started: it looks like an
/// earlier one.
#[test]
fn a_boot_that_states_an_earlier_start_is_followed() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 5_000, 7, TargetState::Ready), START);
    let now = START.after(HEARTBEAT);
    let ignored = sound_until_taken(&mut tracker, "i-2", 2_600, 1, now);
    assert!(ignored <= FOLLOWED_WITHIN, "{ignored} were ignored");
    let draining = notice("i-2", 2_600, 30, TargetState::Draining);
    let later = now.after(HEARTBEAT.saturating_mul(30));
    assert_eq!(tracker.apply_notice(draining, later), NoticeVerdict::Taken);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Leaving);
}

/// Guards against delayed announcements of an earlier boot that win over a running one.
#[test]
fn announcements_of_an_earlier_boot_never_win_while_the_target_announces_itself() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    let mut now = START;
    for count in 0..30 {
        let sound = notice("i-1", 50, 7 + count, TargetState::Ready);
        assert_eq!(tracker.apply_notice(sound, now), NoticeVerdict::Taken);
        now = now.after(HEARTBEAT);
        let delayed = notice("i-0", 40, 900 + count, TargetState::Draining);
        assert_eq!(tracker.apply_notice(delayed, now), NoticeVerdict::Late);
    }
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

/// Guards against an acknowledgement of what is not in force.
#[test]
fn only_what_is_in_force_counts_as_acknowledged() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 50, 7, TargetState::Ready), START);
    assert!(tracker.is_in_force(&notice("i-1", 50, 6, TargetState::Ready)));
    assert!(!tracker.is_in_force(&notice("i-1", 50, 6, TargetState::Draining)));
    assert!(!tracker.is_in_force(&notice("i-2", 40, 6, TargetState::Ready)));
    tracker.note_ended("i-1");
    assert!(!tracker.is_in_force(&notice("i-1", 50, 6, TargetState::Ready)));
}

#[derive(Debug, Clone)]
enum OddCall {
    Notice {
        id: u8,
        started_at: u64,
        sequence: u64,
        draining: bool,
    },
    End {
        id: u8,
    },
}

fn odd_call() -> impl Strategy<Value = OddCall> {
    let number = || prop_oneof![Just(u64::MAX), any::<u64>(), 0..100_u64, 0..100_000_u64];
    prop_oneof![
        4 => (0..3_u8, number(), number(), any::<bool>()).prop_map(
            |(id, started_at, sequence, draining)| OddCall::Notice {
                id,
                started_at,
                sequence,
                draining,
            }
        ),
        1 => (0..3_u8).prop_map(|id| OddCall::End { id }),
    ]
}

proptest! {
    /// Guards against any calls after which a running target is ignored for good.
    #[test]
    fn a_running_target_is_followed_after_any_calls(
        calls in prop::collection::vec(odd_call(), 0..20),
        started_at in 0..100_000_u64,
        first in 0..50_000_u64,
    ) {
        let mut tracker = TargetTracker::new(HEARTBEAT, START);
        for call in calls {
            match call {
                OddCall::Notice { id, started_at, sequence, draining } => {
                    let state = if draining { TargetState::Draining } else { TargetState::Ready };
                    tracker.apply_notice(notice(&format!("i-{id}"), started_at, sequence, state), START);
                }
                OddCall::End { id } => drop(tracker.note_ended(&format!("i-{id}"))),
            }
        }
        let now = START.after(HEARTBEAT);
        let ignored = sound_until_taken(&mut tracker, "i-1", started_at, first, now);
        prop_assert!(ignored <= FOLLOWED_WITHIN, "{} were ignored", ignored);
    }
}
