use crate::event::event_codes;

event_codes! {
    /// Events of the control replicas, 1000 to 1999.
    pub(crate) enum ControlEvent {
        Started = 1001 => "control replica started",
        TornTailCut = 1101 => "torn end of the log cut off",
    }
}
