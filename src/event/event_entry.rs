/// One line of the event catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventEntry {
    /// The number that log lines carry in the field `event`.
    pub number: u16,
    /// The event's name in the code.
    pub name: &'static str,
    /// The fixed message of the log line.
    pub message: &'static str,
}

impl EventEntry {
    /// Creates a catalogue line.
    #[must_use]
    pub const fn new(number: u16, name: &'static str, message: &'static str) -> Self {
        Self {
            number,
            name,
            message,
        }
    }
}
