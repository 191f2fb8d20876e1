use crate::event::event_codes;

event_codes! {
    /// Log events of the command line; numbers 4000 to 4999.
    pub(crate) enum CliEvent {
        Started = 4001 => "cli started",
    }
}
