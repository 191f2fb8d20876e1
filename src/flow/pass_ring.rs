use super::HopHeader;

/// The packets of which an agent remembers who may take them next.
const RING_SLOTS: usize = 2_048;

/// Remembers, for packets handed to the target, who may take them if the target
/// gives them back; the tag in the packet names its slot.
#[derive(Debug)]
pub(crate) struct PassRing {
    slots: Vec<Option<(u32, HopHeader)>>,
    last_tag: u32,
}

impl PassRing {
    /// Creates an empty ring; tags go on after `start`, so that a restarted
    /// agent does not take packets of its last run for its own.
    pub(crate) fn new(start: u32) -> Self {
        Self {
            slots: vec![None; RING_SLOTS],
            last_tag: start,
        }
    }

    /// Remembers a header; returns the tag, which is never zero.
    pub(crate) fn remember(&mut self, header: HopHeader) -> u32 {
        self.last_tag = self.last_tag.wrapping_add(1).max(1);
        let slot = slot_of(self.last_tag);
        self.slots[slot] = Some((self.last_tag, header));
        self.last_tag
    }

    /// Takes the header of a packet that was given back.
    pub(crate) fn take(&mut self, tag: u32) -> Option<HopHeader> {
        let slot = &mut self.slots[slot_of(tag)];
        slot.take_if(|(held, _)| *held == tag)
            .map(|(_, header)| header)
    }
}

fn slot_of(tag: u32) -> usize {
    tag as usize % RING_SLOTS
}
