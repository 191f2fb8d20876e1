use serde::Serialize;

use super::ModelMicros;
use crate::manifest::RequestPriority;

/// The size and request mix of one of the users' services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ServiceProfile {
    /// Havbruk's feed barge control.
    BargeControl,
    /// Havbruk's logbook uploads.
    Logbook,
    /// Trinacria's tables and release feeds.
    Tavole,
    /// Trinacria's census returns.
    Raccolta,
}

/// A class of requests: its priority, its share and its mean service time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClass {
    /// The priority in the queue.
    pub(crate) priority: RequestPriority,
    /// The percentage of requests in this class.
    pub(crate) percent: u32,
    /// The mean time in a slot at full speed.
    pub(crate) mean_service_time: ModelMicros,
}

impl ServiceProfile {
    /// The concurrent requests of one target.
    pub(crate) const SLOTS: usize = 4;
    /// The connection limit of one target.
    pub(crate) const CONNECTIONS: usize = 2_000;
    /// The number of failure domains of each user.
    pub(crate) const FAILURE_DOMAINS: usize = 3;
    /// The shortest delay of a message within a failure domain.
    pub(crate) const INTRA_DOMAIN_DELAY: ModelMicros = ModelMicros::new(100);

    /// Returns the name of the service.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::BargeControl => "barge-control",
            Self::Logbook => "logbook",
            Self::Tavole => "tavole",
            Self::Raccolta => "raccolta",
        }
    }

    /// Returns the number of targets.
    pub(crate) const fn targets(self) -> usize {
        match self {
            Self::BargeControl | Self::Tavole => 7,
            Self::Logbook | Self::Raccolta => 3,
        }
    }

    /// Returns the shortest delay of a message between failure domains.
    pub(crate) const fn domain_delay(self) -> ModelMicros {
        match self {
            Self::BargeControl | Self::Logbook => ModelMicros::new(500),
            Self::Tavole | Self::Raccolta => ModelMicros::new(1_000),
        }
    }

    /// Returns the request classes; their percentages add up to 100.
    pub(crate) const fn classes(self) -> [RequestClass; 3] {
        match self {
            Self::BargeControl => [
                RequestClass::new(RequestPriority::Urgent, 10, 10),
                RequestClass::new(RequestPriority::Normal, 70, 40),
                RequestClass::new(RequestPriority::Bulk, 20, 160),
            ],
            Self::Tavole => [
                RequestClass::new(RequestPriority::Urgent, 5, 10),
                RequestClass::new(RequestPriority::Normal, 85, 30),
                RequestClass::new(RequestPriority::Bulk, 10, 160),
            ],
            Self::Logbook | Self::Raccolta => [
                RequestClass::new(RequestPriority::Urgent, 0, 10),
                RequestClass::new(RequestPriority::Normal, 40, 60),
                RequestClass::new(RequestPriority::Bulk, 60, 200),
            ],
        }
    }

    /// Returns the slots of a target that bulk requests leave free.
    ///
    /// Only services with urgent requests reserve one.
    pub(crate) const fn reserve(self) -> u16 {
        match self {
            Self::BargeControl | Self::Tavole => 1,
            Self::Logbook | Self::Raccolta => 0,
        }
    }
}

impl RequestClass {
    const fn new(priority: RequestPriority, percent: u32, mean_millis: u64) -> Self {
        Self {
            priority,
            percent,
            mean_service_time: ModelMicros::from_millis(mean_millis),
        }
    }
}
