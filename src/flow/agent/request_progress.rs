use crate::flow::{FULL_PACKET_BYTES, FlowPacket};

/// How much of a flow's latest request has arrived at the target.
///
/// A target starts a request once it is whole. An upload takes many round trips
/// until then, and occupies no slot of the target meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct RequestProgress {
    /// The sequence number after the last data byte from the caller, if it sent
    /// any; bytes before it are retransmissions.
    next_sequence: Option<u32>,
    /// The sequence number up to which all bytes have arrived.
    received_until: u32,
    /// Whether the packet with the last data byte ended the request.
    ended: bool,
}

/// What a packet changed about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestChange {
    /// Nothing: it repeats what had arrived.
    Nothing,
    /// More of the request has arrived, but not all.
    Receiving,
    /// The request has arrived in full.
    Complete,
}

impl RequestProgress {
    /// Records the data of a caller's packet.
    pub(super) fn record_data(&mut self, packet: &FlowPacket) -> RequestChange {
        if packet.data_bytes == 0 {
            return RequestChange::Nothing;
        }
        let was_complete = self.is_complete();
        let end = packet.sequence.wrapping_add(packet.data_bytes.into());
        let Some(next_sequence) = self.next_sequence else {
            self.next_sequence = Some(end);
            self.received_until = end;
            self.ended = packet.data_bytes < FULL_PACKET_BYTES;
            return self.change(false);
        };
        if is_after(end, next_sequence) {
            self.next_sequence = Some(end);
            self.ended = packet.data_bytes < FULL_PACKET_BYTES;
        } else if !is_after(end, self.received_until) {
            return RequestChange::Nothing;
        }
        if !is_after(packet.sequence, self.received_until) && is_after(end, self.received_until) {
            self.received_until = end;
        }
        self.change(was_complete && !is_after(end, next_sequence))
    }

    /// Records up to which sequence number the target has acknowledged the caller's
    /// data: packets may arrive out of order, so the contiguous part is known
    /// from the target alone.
    pub(super) fn record_acknowledged(&mut self, acknowledged: u32) -> RequestChange {
        let Some(next_sequence) = self.next_sequence else {
            return RequestChange::Nothing;
        };
        let is_plausible = !is_after(acknowledged, next_sequence);
        if self.is_complete() || !is_plausible || !is_after(acknowledged, self.received_until) {
            return RequestChange::Nothing;
        }
        self.received_until = acknowledged;
        if self.is_complete() {
            RequestChange::Complete
        } else {
            RequestChange::Nothing
        }
    }

    fn change(self, was_complete: bool) -> RequestChange {
        match (self.is_complete(), was_complete) {
            (true, true) => RequestChange::Nothing,
            (true, false) => RequestChange::Complete,
            (false, _) => RequestChange::Receiving,
        }
    }

    fn is_complete(self) -> bool {
        self.ended && self.next_sequence == Some(self.received_until)
    }
}

/// Returns whether a sequence number is after another one; they wrap around, so
/// that half of their range counts as newer.
fn is_after(sequence: u32, other: u32) -> bool {
    sequence.wrapping_sub(other).cast_signed() > 0
}
