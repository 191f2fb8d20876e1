use super::{TargetRecord, TargetStatus};

/// Weight of a target that has just started, relative to a warm one: cold targets
/// run at about half their speed.
const WARMING_WEIGHT: f64 = 0.5;
/// Weight of a target of usual speed.
const SERVING_WEIGHT: f64 = 1.0;
/// Weight of a target that is set aside: it still gets a few flows, so that its
/// agent sees whether it has recovered.
const PROBE_WEIGHT: f64 = 0.05;

/// What decides the share of new flows that an accepting target gets.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) enum TargetWeight {
    /// Its status: no speed of it is used.
    #[default]
    ByStatus,
    /// Its speed, which is about the median of its service.
    MedianSpeed,
    /// Its speed, as a multiple of the median of its service.
    BySpeed(f64),
    /// Its failures: it is set aside and gets flows only as a probe.
    SetAside,
}

impl TargetWeight {
    /// Returns the weight of a target; `None` if it accepts no new flows.
    pub(super) fn of(self, record: &TargetRecord) -> Option<f64> {
        let by_status = match record.status {
            TargetStatus::Warming => WARMING_WEIGHT,
            TargetStatus::Serving => SERVING_WEIGHT,
            TargetStatus::Leaving | TargetStatus::Silent | TargetStatus::Ended => return None,
        };
        Some(match self {
            Self::ByStatus => by_status,
            Self::MedianSpeed => SERVING_WEIGHT,
            Self::BySpeed(weight) => weight,
            Self::SetAside => PROBE_WEIGHT,
        })
    }
}
