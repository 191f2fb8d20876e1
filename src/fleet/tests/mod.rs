//! Tests of the target tracker, the known balancers and the restart notifier.

mod announced_figures;
mod callers_replica;
mod datagrams;
mod directory_copy;
mod discovery;
mod evacuations;
mod odd_notices;
mod target_probes;
mod watch_polls;

use std::net::Ipv4Addr;

use super::{
    TargetNotice, TargetState,
    known_balancers::KnownBalancers,
    restart_notifier::{KnownProcesses, RestartNotifier},
    target_probe::{ProbeOutcome, TargetProbe},
    target_tracker::{NoticeVerdict, TargetTracker},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::TargetStatus,
    flow::TargetLifecycle,
};

const HEARTBEAT: SpanMillis = SpanMillis::new(1_200);
const START: ClockMillis = ClockMillis::new(1_000);

fn notice(id: &str, started_at: u64, sequence: u64, state: TargetState) -> TargetNotice {
    TargetNotice {
        id: id.to_owned(),
        started_at,
        sequence,
        state,
        warm_up_left: SpanMillis::ZERO,
        slots: Some(4),
    }
}

fn tracker() -> TargetTracker {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 50, 7, TargetState::Ready), START);
    tracker
}

fn probe(outcome: ProbeOutcome, started_at: ClockMillis) -> TargetProbe {
    TargetProbe {
        started_at,
        outcome,
    }
}

fn after(heartbeats: u64) -> ClockMillis {
    START.after(HEARTBEAT.saturating_mul(heartbeats))
}

#[test]
fn a_draining_target_is_leaving_once_its_announcement_is_acknowledged() {
    let mut tracker = tracker();
    tracker.apply_notice(notice("i-1", 50, 8, TargetState::Draining), START);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Leaving);
    // A delayed announcement does not bring it back.
    let late = tracker.apply_notice(notice("i-1", 50, 7, TargetState::Ready), START);
    assert_eq!(late, NoticeVerdict::Late);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Leaving);
}

/// Zero is a sequence number like any other, also after a restart.
#[test]
fn a_target_that_counts_from_zero_is_followed() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    for (started_at, state) in [(50, TargetState::Ready), (60, TargetState::Draining)] {
        let mut apply = |sequence| {
            let notice = notice("i-1", started_at, sequence, state);
            tracker.apply_notice(notice, START)
        };
        assert_eq!(apply(0), NoticeVerdict::Taken);
        assert_eq!(apply(0), NoticeVerdict::Late);
        assert_eq!(apply(1), NoticeVerdict::Taken);
    }
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Leaving);
}

#[test]
fn a_restart_under_the_same_id_is_a_new_incarnation() {
    let mut tracker = tracker();
    let before = tracker.incarnation();
    let verdict = tracker.apply_notice(notice("i-1", 60, 1, TargetState::Ready), START);
    assert_eq!(verdict, NoticeVerdict::Taken);
    assert_ne!(tracker.incarnation(), before);
    // A delayed announcement of the earlier incarnation.
    let late = tracker.apply_notice(notice("i-1", 50, 99, TargetState::Draining), START);
    assert_eq!(late, NoticeVerdict::Late);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

#[test]
fn an_ended_target_stays_ended_until_the_next_incarnation() {
    let mut tracker = tracker();
    assert_eq!(tracker.note_ended("i-0"), NoticeVerdict::Late);
    assert_eq!(tracker.note_ended("i-1"), NoticeVerdict::Taken);
    let late = tracker.apply_notice(notice("i-1", 50, 8, TargetState::Ready), START);
    assert_eq!(late, NoticeVerdict::Late);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Ended);
    tracker.apply_notice(notice("i-2", 70, 1, TargetState::Ready), START);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

#[test]
fn a_target_is_silent_only_without_announcements_and_packets() {
    let tracker = tracker();
    assert!(!tracker.is_silent(None, after(2)));
    assert!(tracker.is_silent(None, after(3)));
    assert!(!tracker.is_silent(Some(SpanMillis::new(10)), after(30)));
}

#[test]
fn a_target_is_lost_while_nothing_listens_at_its_address() {
    let mut tracker = tracker();
    tracker.apply_probe(probe(ProbeOutcome::Refused, after(3)), None);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Lost);
    tracker.apply_notice(notice("i-2", 70, 1, TargetState::Ready), after(4));
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
    tracker.apply_probe(probe(ProbeOutcome::Present, after(9)), None);
    assert!(!tracker.is_silent(None, after(11)));
}

#[test]
fn a_target_that_leaves_openings_unanswered_is_announced_as_silent() {
    let tracker = tracker();
    let status = tracker.status(TargetLifecycle::Serving, true, START);
    assert_eq!(status, TargetStatus::Silent);
}

#[test]
fn a_restarted_target_is_warming_for_as_long_as_it_reports() {
    let mut tracker = tracker();
    let mut cold = notice("i-2", 60, 1, TargetState::Ready);
    cold.warm_up_left = SpanMillis::new(2_000);
    tracker.apply_notice(cold, START);
    let status = |at| tracker.status(TargetLifecycle::Serving, false, at);
    assert_eq!(status(START), TargetStatus::Warming);
    assert_eq!(
        status(START.after(SpanMillis::new(2_000))),
        TargetStatus::Serving
    );
}

#[test]
fn an_incarnation_with_more_announcements_may_hold_older_flows() {
    let now = ClockMillis::new(100_000);
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_notice(notice("i-1", 50, 1, TargetState::Ready), now);
    let once = now.since(tracker.stale_flows_before(now));
    assert_eq!(once, SpanMillis::new(1_000 + HEARTBEAT.millis()));
    tracker.apply_notice(notice("i-1", 50, 9, TargetState::Ready), now);
    assert!(now.since(tracker.stale_flows_before(now)) >= HEARTBEAT.saturating_mul(9));
    // A target that is gone holds no flows, however long it had run.
    let later = now.after(SpanMillis::new(1));
    tracker.apply_probe(probe(ProbeOutcome::Refused, later), None);
    let gone = now.since(tracker.stale_flows_before(now));
    assert_eq!(gone, SpanMillis::new(1_000));
}

/// After a power cut the seeds may be the last to start: a replica that starts
/// earlier notifies the processes that it knew.
#[test]
fn a_restarted_replica_notifies_known_processes_until_they_contact_it() {
    let process = |number| Ipv4Addr::new(10, 0, 0, number);
    let known = KnownProcesses {
        agents: [process(1), process(2)].into(),
        balancers: [process(3)].into(),
    };
    let mut notifier = RestartNotifier::default();
    assert_eq!(notifier.recipients(START).count(), 0);
    notifier.start(&known, START);
    notifier.note_heard(process(2));
    let recipients: Vec<Ipv4Addr> = notifier.recipients(START).collect();
    assert_eq!(recipients, [process(1), process(3)]);
    // A process that never returns is not notified for ever.
    assert_eq!(
        notifier
            .recipients(START.after(SpanMillis::new(1_000)))
            .count(),
        0
    );
}

/// Only some replicas may be back after a power outage, and each of them recalls all
/// balancers, not just those that watched it.
#[test]
fn a_balancer_counts_as_running_until_it_has_been_silent_for_ten_seconds() {
    let balancer = |number| Ipv4Addr::new(10, 0, 0, number);
    let mut balancers = KnownBalancers::default();
    balancers.note_heard(balancer(1), START);
    balancers.note_heard(balancer(2), START.after(SpanMillis::new(9_000)));
    let running = balancers.running(START.after(SpanMillis::new(9_999)));
    assert_eq!(Vec::from_iter(running), [balancer(1), balancer(2)]);
    let running = balancers.running(START.after(SpanMillis::new(10_000)));
    assert_eq!(Vec::from_iter(running), [balancer(2)]);
}
