use crate::event::event_codes;

event_codes! {
    /// Events of the control replicas, 1000 to 1999.
    pub(crate) enum ControlEvent {
        Started = 1001 => "control replica started",
        LinkUp = 1110 => "connected to another replica",
        LinkDown = 1111 => "connection to another replica failed",
        LinkRefused = 1112 => "connection of another replica refused",
        TornTailCut = 1101 => "torn end of the log cut off",
    }
}
