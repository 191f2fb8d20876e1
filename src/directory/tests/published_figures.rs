//! Which changes of figures a directory tells its watchers.

use rstest::rstest;

use super::{SETTLED, START, record};
use crate::{
    clock::SpanMillis,
    directory::{DirectoryPosition, TargetAttributes, TargetDirectory, TargetRecord, TargetStatus},
};

fn with_figures(sequence: u64, speed: u32, failures: u16) -> TargetRecord {
    TargetRecord {
        attributes: TargetAttributes {
            speed,
            failures,
            ..TargetAttributes::default()
        },
        ..record(0, sequence, TargetStatus::Serving)
    }
}

/// Equal targets under load announce another figure each time; told to all
/// balancers, they would fill the links of small entry VMs.
#[test]
fn figures_that_vary_a_little_are_not_published() {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(with_figures(1, 769, 300), START);
    let position = directory.position();
    for (sequence, speed) in (2..).zip([749, 790, 800, 740, 769]) {
        let failures = if sequence % 2 == 0 { 270 } else { 330 };
        let changed = directory.announce(with_figures(sequence, speed, failures), START);
        assert!(!changed, "{speed}");
    }
    assert_eq!(directory.position(), position);
}

/// A target that slows down a little with each announcement must not keep its first
/// figure.
#[test]
fn a_drift_of_figures_is_published() {
    let mut directory = TargetDirectory::new(7, START);
    for sequence in 1..40 {
        let speed = 1_000 - 10 * u32::try_from(sequence).unwrap();
        let failures = 10 * u16::try_from(sequence).unwrap();
        directory.announce(with_figures(sequence, speed, failures), START);
        let update = directory.changes_since(DirectoryPosition::default(), SETTLED);
        let published = update.records[0].attributes;
        assert!(
            published.speed.abs_diff(speed) <= speed / 15,
            "{published:?}"
        );
        assert!(published.failures.abs_diff(failures) <= 50, "{published:?}");
    }
}

/// Zero means unmeasured, or recovered, and always counts.
#[rstest]
#[case::restarted_agent((769, 0), (0, 0))]
#[case::first_figure((0, 0), (5, 0))]
#[case::first_failure((769, 0), (769, 31))]
#[case::recovered((769, 31), (769, 0))]
fn figures_that_become_zero_or_known_are_published(
    #[case] old: (u32, u16),
    #[case] new: (u32, u16),
) {
    let mut directory = TargetDirectory::new(7, START);
    directory.announce(with_figures(1, old.0, old.1), START);
    let later = START.after(SpanMillis::new(500));
    assert!(directory.announce(with_figures(2, new.0, new.1), later));
    let update = directory.changes_since(DirectoryPosition::default(), SETTLED);
    assert_eq!(update.records, [with_figures(2, new.0, new.1)]);
}
