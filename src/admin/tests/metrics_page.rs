//! The metrics page of a process.

use std::time::Instant;

use metrics::{Key, Label, Level, Metadata, Recorder};

use crate::admin::MetricsRecorder;

const METADATA: Metadata<'static> = Metadata::new("test", Level::INFO, None);

fn series(name: &'static str, kind: &'static str) -> Key {
    Key::from_parts(name, vec![Label::new("kind", kind)])
}

#[test]
fn every_series_is_rendered_under_the_type_of_its_metric() {
    let recorder = MetricsRecorder::default();
    let sent = series("packets_total", "sent");
    recorder.register_counter(&sent, &METADATA).absolute(7);
    recorder.register_counter(&sent, &METADATA).increment(1);
    let refused = series("packets_total", "a \"b\"\\\n");
    recorder.register_counter(&refused, &METADATA).increment(2);
    recorder
        .register_gauge(&Key::from_name("flows"), &METADATA)
        .set(2.5);
    let expected = "# TYPE packets_total counter\n\
        packets_total{kind=\"a \\\"b\\\"\\\\\\n\"} 2\n\
        packets_total{kind=\"sent\"} 8\n\
        # TYPE flows gauge\n\
        flows 2.5\n";
    assert_eq!(recorder.render(), expected);
}

#[test]
fn a_histogram_counts_each_value_in_all_buckets_above_it() {
    let recorder = MetricsRecorder::default();
    let waits = recorder.register_histogram(&Key::from_name("wait_ms"), &METADATA);
    for millis in [0.5, 5.0, 40.0, 20_000.0] {
        waits.record(millis);
    }
    let page = recorder.render();
    for line in [
        "# TYPE wait_ms histogram",
        "wait_ms_bucket{le=\"1\"} 1",
        "wait_ms_bucket{le=\"5\"} 2",
        "wait_ms_bucket{le=\"10000\"} 3",
        "wait_ms_bucket{le=\"+Inf\"} 4",
        "wait_ms_sum 20045.5",
        "wait_ms_count 4",
    ] {
        assert!(page.lines().any(|other| other == line), "{line} in\n{page}");
    }
}

/// A process that has just started must not spend its share of a small VM's CPU on
/// its metrics; a busy host may delay single builds.
#[test]
fn a_recorder_is_built_at_once() {
    let build = || {
        let started = Instant::now();
        MetricsRecorder::default().render();
        started.elapsed()
    };
    let fastest = (0..20).map(|_| build()).min().expect("twenty builds");
    assert!(fastest.as_millis() < 5, "{fastest:?}");
}
