//! Tests of the clock arithmetic.

use rstest::rstest;

use super::{ClockMillis, SpanMillis};

#[rstest]
#[case(5, 3, 2)]
#[case(3, 5, 0)]
fn since_saturates_at_zero(#[case] now: u64, #[case] earlier: u64, #[case] span: u64) {
    let now = ClockMillis::new(now);
    assert_eq!(now.since(ClockMillis::new(earlier)), SpanMillis::new(span));
}

#[test]
fn after_saturates_at_the_maximum() {
    let late = ClockMillis::new(u64::MAX - 1).after(SpanMillis::new(5));
    assert_eq!(late, ClockMillis::new(u64::MAX));
}
