use crate::flow::HopHeader;

/// Number of delivered packets whose headers are kept.
const RING_SLOTS: usize = 2_048;

/// Ring buffer with the headers of packets delivered to the target, so that a
/// bounced packet can go to its next candidate. The tag in the packet selects
/// the slot.
#[derive(Debug)]
pub(crate) struct DeliveryRing {
    slots: Vec<Option<(u32, HopHeader)>>,
    last_tag: u32,
}

impl DeliveryRing {
    /// Creates an empty ring whose tags follow `start`. A restarted agent passes
    /// another start, so that it ignores packets bounced from its previous run.
    pub(crate) fn new(start: u32) -> Self {
        Self {
            slots: vec![None; RING_SLOTS],
            last_tag: start,
        }
    }

    /// Stores a header; returns its tag, which is never zero.
    pub(crate) fn insert(&mut self, header: HopHeader) -> u32 {
        self.last_tag = self.last_tag.wrapping_add(1).max(1);
        let slot = slot_of(self.last_tag);
        self.slots[slot] = Some((self.last_tag, header));
        self.last_tag
    }

    /// Removes and returns the header of a bounced packet.
    pub(crate) fn take(&mut self, tag: u32) -> Option<HopHeader> {
        let slot = &mut self.slots[slot_of(tag)];
        slot.take_if(|(slot_tag, _)| *slot_tag == tag)
            .map(|(_, header)| header)
    }
}

fn slot_of(tag: u32) -> usize {
    tag as usize % RING_SLOTS
}
