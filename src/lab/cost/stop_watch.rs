use std::time::Instant;

/// Batches of which the quickest counts, so that other load shows less.
const BATCHES: usize = 5;

/// Returns the nanoseconds of one call in the quickest of several batches.
pub(super) fn nanos_each(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
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
