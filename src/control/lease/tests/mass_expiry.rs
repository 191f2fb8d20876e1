//! Many leases that run out together.

use rstest::rstest;

use super::renewal::{claim, expired, renew, three_targets};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::lease::{HoldReport, LeaseTable},
    key::ServiceNumber,
};

#[test]
fn targets_that_fall_silent_together_are_kept_and_reported() {
    let (mut table, claims) = three_targets();
    // Their last heartbeats were spread over the heartbeat's period.
    renew(&mut table, claims[0], 10_000);
    renew(&mut table, claims[1], 11_500);
    renew(&mut table, claims[2], 13_000);
    let verdict = table.decide(ClockMillis::new(25_000));
    assert!(verdict.expired.is_empty());
    let report = HoldReport {
        service: ServiceNumber::new(1),
        silent: 3,
        targets: 3,
        hold: SpanMillis::new(60_000),
    };
    assert_eq!(verdict.held, [report]);
    for now in [26_500, 28_000, 60_000, 84_999] {
        let verdict = table.decide(ClockMillis::new(now));
        assert!(verdict.expired.is_empty() && verdict.held.is_empty());
    }
}

#[test]
fn while_nobody_is_heard_the_hold_is_renewed_and_reported_again() {
    let (mut table, _) = three_targets();
    let mut reports = 0;
    for now in (0..600_000).step_by(250) {
        let verdict = table.decide(ClockMillis::new(now));
        assert!(verdict.expired.is_empty());
        reports += verdict.held.len();
    }
    assert_eq!(reports, 10);
}

#[test]
fn targets_still_silent_after_the_hold_expire_if_others_are_heard() {
    let (mut table, claims) = three_targets();
    assert!(expired(&mut table, 15_000).is_empty());
    for now in (16_000..75_000).step_by(5_000) {
        renew(&mut table, claims[0], now);
        assert!(expired(&mut table, now).is_empty());
    }
    let mut gone = expired(&mut table, 75_000);
    gone.sort_by_key(|claim| claim.target);
    assert_eq!(gone, claims[1..]);
}

#[test]
fn targets_that_are_heard_again_end_the_hold() {
    let (mut table, claims) = three_targets();
    assert!(expired(&mut table, 15_000).is_empty());
    for now in (20_000..120_000).step_by(5_000) {
        for claim in claims {
            renew(&mut table, claim, now);
        }
        assert!(expired(&mut table, now).is_empty());
    }
    // A single one that falls silent later expires without another hold.
    renew(&mut table, claims[0], 124_000);
    renew(&mut table, claims[1], 124_000);
    assert_eq!(expired(&mut table, 130_000), [claims[2]]);
}

#[rstest]
#[case::less_than_half(7, 3, true)]
#[case::more_than_half(7, 4, false)]
#[case::half(2, 1, true)]
#[case::the_only_one(1, 1, false)]
fn the_share_of_silent_targets_decides(
    #[case] targets: u8,
    #[case] silent: u8,
    #[case] expire: bool,
) {
    let claims: Vec<_> = (1..=targets).map(|host| claim(1, host, 1)).collect();
    let mut table = LeaseTable::with_claims(claims.clone(), ClockMillis::ORIGIN);
    for claim in &claims[usize::from(silent)..] {
        renew(&mut table, *claim, 14_000);
    }
    let gone = expired(&mut table, 15_000).len();
    assert_eq!(gone, if expire { usize::from(silent) } else { 0 });
}

#[test]
fn a_hold_of_one_service_leaves_the_others_alone() {
    let mut claims: Vec<_> = (1..=3).map(|host| claim(1, host, 1)).collect();
    claims.extend((4..=6).map(|host| claim(2, host, 1)));
    let mut table = LeaseTable::with_claims(claims.clone(), ClockMillis::ORIGIN);
    renew(&mut table, claims[3], 14_000);
    renew(&mut table, claims[4], 14_000);
    let verdict = table.decide(ClockMillis::new(15_000));
    assert_eq!(verdict.held.len(), 1);
    let gone = (claims[5].target, claims[5].incarnation);
    assert_eq!(verdict.expired, [gone]);
    assert_eq!(table.holds(), 1);
}
