use std::fmt;

use serde::Serialize;

/// A fault or warning, with its position in the file if the JSON could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckEntry {
    place: String,
    line: Option<usize>,
    column: Option<usize>,
    message: String,
}

impl CheckEntry {
    /// Creates an entry about the value at `place`.
    #[must_use]
    pub fn new(place: impl Into<String>, message: impl fmt::Display) -> Self {
        Self {
            place: place.into(),
            line: None,
            column: None,
            message: message.to_string(),
        }
    }

    /// Returns the entry with a position in the file.
    #[must_use]
    pub fn with_position(self, line: usize, column: usize) -> Self {
        Self {
            line: Some(line),
            column: Some(column),
            ..self
        }
    }
}

impl fmt::Display for CheckEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "`{}`", self.place)?;
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(formatter, ", line {line}, column {column}")?;
        }
        write!(formatter, ": {}", self.message)
    }
}
