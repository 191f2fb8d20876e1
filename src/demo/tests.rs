//! Tests of the checks and figures of the demo report.

use rstest::rstest;

use super::{DemoReport, demo_load::LineReader, demo_tasks::busiest_to_mean};

fn passing_report() -> DemoReport {
    DemoReport {
        requests: 10,
        answered: 10,
        refused_not_run: 0,
        failed: 0,
        unconnected: 0,
        slowest_connect_ms: 5,
        broken_flows: 0,
        cuts: Vec::new(),
        streams: 4,
        stream_lines: 100,
        misrouted: 0,
        run_twice: 0,
        ran_though_refused: 0,
        late_work: 0,
        imbalance: 1.1,
        in_force_ms: Some(20),
    }
}

#[rstest]
#[case::all_pass(|_: &mut DemoReport| (), true)]
#[case::broken(|it: &mut DemoReport| it.broken_flows = 1, false)]
#[case::misrouted(|it: &mut DemoReport| it.misrouted = 1, false)]
#[case::twice(|it: &mut DemoReport| it.run_twice = 1, false)]
#[case::refused(|it: &mut DemoReport| it.ran_though_refused = 1, false)]
#[case::late(|it: &mut DemoReport| it.late_work = 1, false)]
#[case::silent(|it: &mut DemoReport| it.answered = 0, false)]
#[case::never(|it: &mut DemoReport| it.in_force_ms = None, false)]
fn any_failed_check_fails_the_report(#[case] change: fn(&mut DemoReport), #[case] passes: bool) {
    let mut report = passing_report();
    change(&mut report);
    assert_eq!(report.is_success(), passes);
}

#[rstest]
#[case::whole(&["a 0\na 1\n", "a 2\n"], true)]
#[case::split(&["a 0\na", " 1\n"], true)]
#[case::gap(&["a 0\n", "a 2\n"], false)]
#[case::repeated(&["a 0\n", "a 0\n"], false)]
#[case::crossed(&["a 0\n", "b 1\n"], false)]
fn a_stream_must_be_complete_and_in_order(#[case] parts: &[&str], #[case] whole: bool) {
    let mut reader = LineReader::default();
    let is_complete = parts
        .iter()
        .all(|part| reader.read_part(part.as_bytes()).is_some());
    assert_eq!(is_complete, whole);
}

#[test]
fn the_busiest_target_is_compared_with_the_mean() {
    assert!((busiest_to_mean(&[30, 10, 20]) - 1.5).abs() < 1e-9);
    assert!((busiest_to_mean(&[]) - 1.0).abs() < 1e-9);
}
