//! The byte budget of a watcher.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        api::FeedReply,
        feed::{FeedAnswer, FeedScope, FeedState, WatcherBudget},
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, tests::generator::fixed_cases},
    },
    key::{FeedRevision, TargetKey},
};

#[test]
fn a_new_watcher_gets_its_first_reply_at_once() {
    let now = ClockMillis::new(5);
    assert_eq!(WatcherBudget::new(now).reply_delay(now), SpanMillis::ZERO);
}

#[test]
fn a_snapshot_delays_the_next_change_by_at_most_two_seconds() {
    let now = ClockMillis::new(5);
    let mut budget = WatcherBudget::new(now);
    budget.charge(6_000_000, now);
    assert!(budget.reply_delay(now) <= SpanMillis::new(2_000));
}

proptest! {
    #![proptest_config(fixed_cases(256, 41))]

    #[test]
    fn small_replies_stay_within_the_budget(
        sizes in prop::collection::vec(1_usize..3_000, 20..80),
    ) {
        let mut now = ClockMillis::ORIGIN;
        let mut budget = WatcherBudget::new(now);
        let mut sent = 0;
        for size in sizes {
            now = now.after(budget.reply_delay(now));
            budget.charge(size, now);
            sent += size + 900;
        }
        let allowed = now.millis() * 3 + 21_000 + 5_400;
        prop_assert!(sent as u64 <= allowed, "{} bytes in {}", sent, now);
    }
}

#[test]
fn five_hundred_missed_changes_arrive_within_seven_seconds_and_within_the_budget() {
    let mut feed = FeedState::new();
    let apply = |feed: &mut FeedState, command: ControlCommand| {
        feed.apply(&command.encode().expect("an encodable command"));
    };
    apply(
        &mut feed,
        ControlCommand::Apply(manifest(1, 0, &["barge"]).manifest),
    );
    for index in 0..500 {
        let [high, low] = u16::to_be_bytes(index);
        let mut request = announcement("barge", low, u64::MAX - u64::from(index));
        let host = Ipv4Addr::new(10, 1, high, low);
        request.target = TargetKey::new(SocketAddrV4::new(host, 65_535));
        apply(&mut feed, ControlCommand::Announce(request));
    }
    let mut now = ClockMillis::ORIGIN;
    let mut budget = WatcherBudget::new(now);
    let (mut in_force, mut sent) = (FeedRevision::new(1), 0);
    while let FeedAnswer::Update(reply) = feed.answer(FeedScope::All, in_force) {
        now = now.after(budget.reply_delay(now));
        budget.charge(reply.bytes(), now);
        sent += reply.bytes() + 900;
        let Ok(FeedReply::Delta(delta)) = serde_json::from_str(reply.text.get()) else {
            panic!("expected a delta");
        };
        in_force = delta.revision;
    }
    assert_eq!(in_force, FeedRevision::new(501));
    assert!(now <= ClockMillis::new(7_000), "caught up after {now}");
    let allowed = now.millis() * 3 + 21_000 + 5_400;
    assert!(sent as u64 <= allowed, "{sent} bytes in {now}");
}
