use crate::event::event_codes;

event_codes! {
    /// Events of stopping a program.
    pub(crate) enum ProgramEvent {
        StopRequested = 9005 => "stop requested; shutting down gracefully",
        StopForced = 9006 => "second stop request; exiting immediately",
    }
}
