use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use super::{PolicyCase, PolicyResult};
use crate::lab::model::{LabModel, RunReport};

/// Seeds over which each case is averaged.
const SEEDS: u64 = 5;
/// Threads that run cases at once.
const THREADS: usize = 4;

/// Runs all cases and returns their results in the same order.
pub(crate) fn run_cases(cases: &[PolicyCase]) -> Vec<PolicyResult> {
    let next = AtomicUsize::new(0);
    let mut results: Vec<(usize, PolicyResult)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(|| run_some(cases, &next)))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    results.sort_by_key(|&(place, _)| place);
    results.into_iter().map(|(_, result)| result).collect()
}

fn run_some(cases: &[PolicyCase], next: &AtomicUsize) -> Vec<(usize, PolicyResult)> {
    let mut results = Vec::new();
    loop {
        let place = next.fetch_add(1, Ordering::Relaxed);
        let Some(case) = cases.get(place) else {
            return results;
        };
        let seeds = case.setup.seed..case.setup.seed + SEEDS;
        let reports: Vec<RunReport> = seeds
            .map(|seed| LabModel::new(case.setup.clone().with_seed(seed)).run())
            .collect();
        let report = RunReport::mean_of(&case.setup, &reports);
        let result = PolicyResult {
            group: case.group,
            title: case.title.clone(),
            report,
        };
        results.push((place, result));
    }
}
