use std::time::Instant;

/// The fastest of several batches counts, which reduces the effect of other load.
const BATCHES: usize = 5;

/// Returns the mean nanoseconds per call in the fastest of several batches.
pub(super) fn nanos_per_call(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..BATCHES {
        let start = Instant::now();
        for round in 0..rounds {
            call(round);
        }
        let nanos = start.elapsed().as_nanos() as f64 / rounds.max(1) as f64;
        best = best.min(nanos);
    }
    best
}
