use crate::event::event_codes;

event_codes! {
    /// Events of starting and stopping any program.
    pub(crate) enum ProgramEvent {
        StopRequested = 9005 => "stop requested; leaving in order",
        StopForced = 9006 => "second stop request; leaving at once",
    }
}
