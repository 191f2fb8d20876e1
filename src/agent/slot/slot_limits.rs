use crate::manifest::{RequestPriority, ServiceSpec};

/// Slots that bulk requests leave free where urgent ones may come.
const URGENT_RESERVE: u16 = 1;

/// The limits of one target's slots and queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotLimits {
    /// Requests that run at once.
    pub(crate) slots: u16,
    /// Requests that wait at once.
    pub(crate) queue: u16,
    /// Slots that bulk requests never hold.
    pub(crate) reserve: u16,
}

impl SlotLimits {
    /// Reads the limits of a service.
    ///
    /// Only a service with an urgent rule keeps a reserve; at any other it
    /// would be a slot that nobody uses.
    pub(crate) fn new(spec: &ServiceSpec) -> Self {
        let urgent = spec
            .rules
            .iter()
            .any(|rule| rule.priority == RequestPriority::Urgent);
        let reserve = if urgent && spec.limits.slots > URGENT_RESERVE {
            URGENT_RESERVE
        } else {
            0
        };
        Self {
            slots: spec.limits.slots,
            queue: spec.limits.queue,
            reserve,
        }
    }

    /// Returns the most slots that requests of this priority may hold together.
    pub(super) fn slots_for(self, priority: RequestPriority) -> u16 {
        match priority {
            RequestPriority::Urgent | RequestPriority::Normal => self.slots,
            RequestPriority::Bulk => self.slots.saturating_sub(self.reserve),
        }
    }
}
