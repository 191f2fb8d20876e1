use crate::event::event_codes;

event_codes! {
    /// Events of the cli, 4000 to 4999.
    pub(crate) enum CliEvent {
        Started = 4001 => "cli started",
    }
}
