use crate::manifest::{RequestPriority, ServiceSpec};

/// Slots kept free of bulk requests on a service that has urgent ones.
const URGENT_RESERVE_SLOTS: u16 = 1;

/// The limits of one target's slots and queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotLimits {
    /// The maximum number of concurrent requests.
    pub(crate) slots: u16,
    /// The maximum number of waiting requests.
    pub(crate) queue: u16,
    /// Slots that bulk requests can't occupy.
    pub(crate) reserve: u16,
}

impl SlotLimits {
    /// Derives the limits from a service's manifest entry.
    ///
    /// Only a service with an urgent rule has a reserve; on any other the
    /// reserved slot would stay idle under bulk load.
    pub(crate) fn new(spec: &ServiceSpec) -> Self {
        let urgent = spec
            .rules
            .iter()
            .any(|rule| rule.priority == RequestPriority::Urgent);
        let reserve = if urgent && spec.limits.slots > URGENT_RESERVE_SLOTS {
            URGENT_RESERVE_SLOTS
        } else {
            0
        };
        Self {
            slots: spec.limits.slots,
            queue: spec.limits.queue,
            reserve,
        }
    }

    /// Returns the maximum number of slots for requests of this priority.
    pub(super) fn slots_for(self, priority: RequestPriority) -> u16 {
        match priority {
            RequestPriority::Urgent | RequestPriority::Normal => self.slots,
            RequestPriority::Bulk => self.slots.saturating_sub(self.reserve),
        }
    }
}
