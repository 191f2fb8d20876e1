/// An entry of the event catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventEntry {
    /// The number in the field `event` of a log line.
    pub number: u16,
    /// The name of the enum variant.
    pub name: &'static str,
    /// The fixed message of the log line.
    pub message: &'static str,
}

impl EventEntry {
    /// Creates an entry.
    #[must_use]
    pub const fn new(number: u16, name: &'static str, message: &'static str) -> Self {
        Self {
            number,
            name,
            message,
        }
    }
}
