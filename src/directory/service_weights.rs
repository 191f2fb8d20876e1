use std::{cmp::Reverse, collections::HashMap, net::Ipv4Addr};

use super::{TargetRecord, target_weight::TargetWeight};

/// The lowest and highest weight of a target by its speed. A higher bound would
/// let one wrong figure draw most flows of a small service.
const WEIGHT_BOUNDS: (f64, f64) = (0.4, 2.0);
/// A ratio of a target's speed to the median above which the speed is not used: such a
/// target is more likely to fail its requests at once than to work that fast, and
/// answers are not read for decisions.
const MAX_PLAUSIBLE_RATIO: f64 = 3.0;
/// Ratios of a target's speed to the median that count as the usual speed, so that
/// the spread of the figures of equal targets moves no flows.
const DEAD_BAND: (f64, f64) = (0.8, 1.25);
/// The narrower band in which a target that is weighted by its speed returns to the
/// weight of the median: a tenth inside the dead band, so that a speed at the edge
/// moves no flows with each figure.
const RETURN_BAND: (f64, f64) = (0.88, 1.136);
/// A weight in force changes only by more than this share of it, so that most flows
/// keep their ranking.
const WEIGHT_STEP: f64 = 0.1;
/// Failures from which on a target is set aside, in thousandths of its requests.
const SET_ASIDE_PERMILLE: u16 = 250;
/// Failures below which a target that is set aside is taken back. The gap to
/// `SET_ASIDE_PERMILLE` keeps a target at the limit from changing back and forth.
const TAKE_BACK_PERMILLE: u16 = 125;
/// By how much the failures of another target must exceed those of one that is set
/// aside to take its place, in thousandths.
const REPLACE_PERMILLE: u16 = 100;
/// At most one of this many accepting targets of a service is set aside.
const SET_ASIDE_SHARE: usize = 5;

/// The accepting targets of one service with the weights in force, from which their
/// next weights are computed.
#[derive(Debug)]
pub(super) struct ServiceWeights<'a> {
    accepting: &'a [&'a TargetRecord],
    in_force: &'a HashMap<Ipv4Addr, TargetWeight>,
}

impl<'a> ServiceWeights<'a> {
    /// Creates the computation. Targets that `in_force` does not name are weighted
    /// by their status.
    pub(super) fn new(
        accepting: &'a [&'a TargetRecord],
        in_force: &'a HashMap<Ipv4Addr, TargetWeight>,
    ) -> Self {
        Self {
            accepting,
            in_force,
        }
    }

    /// Returns the next weights, without those of targets weighted by their status.
    pub(super) fn next_weights(&self) -> Vec<(Ipv4Addr, TargetWeight)> {
        let mut by_failures = self.accepting.to_vec();
        let count = self.move_worst_to_front(&mut by_failures);
        let (set_aside, served) = by_failures.split_at(count);
        let mut weights: Vec<_> = set_aside
            .iter()
            .map(|record| (record.agent, TargetWeight::SetAside))
            .collect();
        weights.extend(self.weights_by_speed(served));
        weights
    }

    /// Moves the targets to set aside to the front, the worst first; returns their
    /// number.
    fn move_worst_to_front(&self, records: &mut [&TargetRecord]) -> usize {
        let limit = records.len() / SET_ASIDE_SHARE;
        let failing = records
            .iter()
            .filter(|record| self.is_failing(record))
            .count();
        if limit == 0 || failing == 0 {
            return 0;
        }
        records.sort_by_cached_key(|record| {
            let held = if self.is_set_aside(record) {
                REPLACE_PERMILLE
            } else {
                0
            };
            let badness = record.attributes.failures.saturating_add(held);
            let order = (!self.is_failing(record), Reverse(badness));
            (order, record.agent)
        });
        failing.min(limit)
    }

    fn is_failing(&self, record: &TargetRecord) -> bool {
        let threshold = if self.is_set_aside(record) {
            TAKE_BACK_PERMILLE
        } else {
            SET_ASIDE_PERMILLE
        };
        record.attributes.failures >= threshold
    }

    fn is_set_aside(&self, record: &TargetRecord) -> bool {
        self.weight_in_force(record) == TargetWeight::SetAside
    }

    fn weight_in_force(&self, record: &TargetRecord) -> TargetWeight {
        let weight = self.in_force.get(&record.agent);
        weight.copied().unwrap_or_default()
    }

    /// Returns the weights by speed of the targets that are not set aside; none if
    /// too few are measured, or all measured ones are within the dead band.
    fn weights_by_speed(&self, served: &[&TargetRecord]) -> Vec<(Ipv4Addr, TargetWeight)> {
        let measured: Vec<&TargetRecord> = served
            .iter()
            .copied()
            .filter(|record| record.attributes.speed > 0)
            .collect();
        if measured.len() * 2 < served.len() {
            return Vec::new();
        }
        let Some(median) = median_speed(&measured) else {
            return Vec::new();
        };
        let ratio = |record: &TargetRecord| f64::from(record.attributes.speed) / median;
        if measured
            .iter()
            .all(|record| is_within(ratio(record), DEAD_BAND))
        {
            return Vec::new();
        }
        measured
            .iter()
            .map(|record| (record.agent, self.weight_by_ratio(record, ratio(record))))
            .filter(|(_, weight)| *weight != TargetWeight::ByStatus)
            .collect()
    }

    /// Returns the next weight of a target whose speed is `ratio` times the median.
    fn weight_by_ratio(&self, record: &TargetRecord, ratio: f64) -> TargetWeight {
        let in_force = self.weight_in_force(record);
        let band = match in_force {
            TargetWeight::BySpeed(_) => RETURN_BAND,
            TargetWeight::ByStatus | TargetWeight::MedianSpeed | TargetWeight::SetAside => {
                DEAD_BAND
            }
        };
        let wanted = if ratio > MAX_PLAUSIBLE_RATIO || is_within(ratio, band) {
            TargetWeight::MedianSpeed
        } else {
            TargetWeight::BySpeed(ratio.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1))
        };
        match (in_force.of(record), wanted.of(record)) {
            (Some(current), Some(next)) if is_small_step(current, next) => in_force,
            _ => wanted,
        }
    }
}

/// Returns the median speed of measured targets; `None` if there are none.
fn median_speed(measured: &[&TargetRecord]) -> Option<f64> {
    let mut speeds: Vec<u32> = measured
        .iter()
        .map(|record| record.attributes.speed)
        .collect();
    speeds.sort_unstable();
    let upper = *speeds.get(speeds.len() / 2)?;
    let lower = speeds[(speeds.len() - 1) / 2];
    Some(f64::midpoint(f64::from(lower), f64::from(upper)))
}

fn is_within(value: f64, (low, high): (f64, f64)) -> bool {
    (low..=high).contains(&value)
}

fn is_small_step(current: f64, next: f64) -> bool {
    (next - current).abs() <= current * WEIGHT_STEP
}
