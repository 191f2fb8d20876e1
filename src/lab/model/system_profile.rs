use serde::Serialize;

use super::ModelMicros;
use crate::manifest::RequestPriority;

/// One of the users' services, as the model knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SystemProfile {
    /// Havbruk's control of feed barges.
    BargeControl,
    /// Havbruk's uploads of logbooks.
    Logbook,
    /// Trinacria's tables and release feeds.
    Tavole,
    /// Trinacria's census returns.
    Raccolta,
}

/// The share and the mean work of one kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkClass {
    /// The place in the queue.
    pub(crate) priority: RequestPriority,
    /// The requests of this kind in a hundred.
    pub(crate) percent: u32,
    /// The mean time in a slot.
    pub(crate) mean_work: ModelMicros,
}

impl SystemProfile {
    /// Requests that one target runs at once.
    pub(crate) const SLOTS: usize = 4;
    /// Connections that one target holds at most.
    pub(crate) const CONNECTIONS: usize = 2_000;
    /// The users' failure domains.
    pub(crate) const FAILURE_DOMAINS: usize = 3;
    /// The time of a message within a failure domain.
    pub(crate) const INNER_DELAY: ModelMicros = ModelMicros::new(100);

    /// Returns the service's name.
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

    /// Returns the time of a message between failure domains.
    pub(crate) const fn domain_delay(self) -> ModelMicros {
        match self {
            Self::BargeControl | Self::Logbook => ModelMicros::new(500),
            Self::Tavole | Self::Raccolta => ModelMicros::new(1_000),
        }
    }

    /// Returns the kinds of request; their shares add up to a hundred.
    pub(crate) const fn classes(self) -> [WorkClass; 3] {
        match self {
            Self::BargeControl => [
                WorkClass::new(RequestPriority::Urgent, 10, 10),
                WorkClass::new(RequestPriority::Normal, 70, 40),
                WorkClass::new(RequestPriority::Bulk, 20, 160),
            ],
            Self::Tavole => [
                WorkClass::new(RequestPriority::Urgent, 5, 10),
                WorkClass::new(RequestPriority::Normal, 85, 30),
                WorkClass::new(RequestPriority::Bulk, 10, 160),
            ],
            Self::Logbook | Self::Raccolta => [
                WorkClass::new(RequestPriority::Urgent, 0, 10),
                WorkClass::new(RequestPriority::Normal, 40, 60),
                WorkClass::new(RequestPriority::Bulk, 60, 200),
            ],
        }
    }

    /// Returns the slots of a target that bulk requests leave free.
    ///
    /// Only a service with an urgent rule keeps one.
    pub(crate) const fn reserve(self) -> u16 {
        match self {
            Self::BargeControl | Self::Tavole => 1,
            Self::Logbook | Self::Raccolta => 0,
        }
    }
}

impl WorkClass {
    const fn new(priority: RequestPriority, percent: u32, mean_millis: u64) -> Self {
        Self {
            priority,
            percent,
            mean_work: ModelMicros::from_millis(mean_millis),
        }
    }
}
