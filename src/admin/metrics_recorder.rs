use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};

use super::latency_histogram::LatencyHistogram;

/// Records the metrics of a process and renders them in the Prometheus text format.
///
/// It reads no clock: the recorders of the usual exporters calibrate the CPU's clock
/// when they are built, which stalls a process on a small VM for 200 ms.
#[derive(Debug, Clone, Default)]
pub(crate) struct MetricsRecorder {
    series: Arc<Mutex<SeriesTable>>,
}

#[derive(Debug, Default)]
struct SeriesTable {
    counters: BTreeMap<Key, Arc<AtomicU64>>,
    /// The bits of each value, an `f64`.
    gauges: BTreeMap<Key, Arc<AtomicU64>>,
    histograms: BTreeMap<Key, Arc<LatencyHistogram>>,
}

impl MetricsRecorder {
    /// Returns all series as text.
    pub(crate) fn render(&self) -> String {
        let series = self.lock();
        let mut page = MetricsPage::default();
        for (key, counter) in &series.counters {
            page.start(key, "counter");
            page.sample(key, "", &[], counter.load(Ordering::Relaxed));
        }
        for (key, gauge) in &series.gauges {
            page.start(key, "gauge");
            page.sample(key, "", &[], f64::from_bits(gauge.load(Ordering::Relaxed)));
        }
        for (key, histogram) in &series.histograms {
            let counts = histogram.counts();
            page.start(key, "histogram");
            for (bound, count) in counts.cumulative {
                page.sample(key, "_bucket", &[("le", &bound.to_string())], count);
            }
            page.sample(key, "_bucket", &[("le", "+Inf")], counts.count);
            page.sample(key, "_sum", &[], counts.sum);
            page.sample(key, "_count", &[], counts.count);
        }
        page.text
    }

    fn lock(&self) -> MutexGuard<'_, SeriesTable> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Recorder for MetricsRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(find_or_insert(&mut self.lock().counters, key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(find_or_insert(&mut self.lock().gauges, key))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::from_arc(find_or_insert(&mut self.lock().histograms, key))
    }
}

fn find_or_insert<T: Default>(series: &mut BTreeMap<Key, Arc<T>>, key: &Key) -> Arc<T> {
    if let Some(found) = series.get(key) {
        return Arc::clone(found);
    }
    Arc::clone(series.entry(key.clone()).or_default())
}

/// Text in the Prometheus format.
#[derive(Debug, Default)]
struct MetricsPage {
    text: String,
    /// The name of the metric that was started last.
    name: String,
}

impl MetricsPage {
    /// Writes the type of a metric before its first series.
    fn start(&mut self, key: &Key, kind: &str) {
        if self.name != key.name() {
            key.name().clone_into(&mut self.name);
            // Writing to a string can't fail.
            let _ = writeln!(self.text, "# TYPE {} {kind}", self.name);
        }
    }

    fn sample(
        &mut self,
        key: &Key,
        suffix: &str,
        extra_labels: &[(&str, &str)],
        value: impl std::fmt::Display,
    ) {
        let own_labels = key.labels().map(|label| (label.key(), label.value()));
        let labels: Vec<String> = own_labels
            .chain(extra_labels.iter().copied())
            .map(|(name, value)| format!("{name}=\"{}\"", escape_label(value)))
            .collect();
        let _ = if labels.is_empty() {
            writeln!(self.text, "{}{suffix} {value}", key.name())
        } else {
            writeln!(
                self.text,
                "{}{suffix}{{{}}} {value}",
                key.name(),
                labels.join(",")
            )
        };
    }
}

fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
