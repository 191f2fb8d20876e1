use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use super::{PolicyCase, PolicyResult};
use crate::lab::model::{LabModel, RunReport};

/// The number of seeds that each case is run with.
const SEEDS: u64 = 5;
/// The number of worker threads.
const THREADS: usize = 4;

/// Runs all cases in parallel and returns their results in the same order.
pub(crate) fn run_cases(cases: &[PolicyCase]) -> Vec<PolicyResult> {
    let next = AtomicUsize::new(0);
    let mut results: Vec<(usize, PolicyResult)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(|| run_worker(cases, &next)))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    results.sort_by_key(|&(index, _)| index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn run_worker(cases: &[PolicyCase], next: &AtomicUsize) -> Vec<(usize, PolicyResult)> {
    let mut results = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(case) = cases.get(index) else {
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
        results.push((index, result));
    }
}
