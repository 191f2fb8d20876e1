/// What became of a wish to open one more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CountVerdict {
    /// It is counted as open until it is closed.
    Open,
    /// The limit is reached; nothing was counted.
    Full,
}

/// Counts open connections or open streams against a limit.
#[derive(Debug)]
pub(crate) struct OpenCount {
    open: u32,
    limit: u32,
    refused: u64,
}

impl OpenCount {
    /// Creates a count of none with room for `limit`.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            open: 0,
            limit,
            refused: 0,
        }
    }

    /// Counts one more if there is room.
    pub(crate) fn open(&mut self) -> CountVerdict {
        if self.open >= self.limit {
            self.refused += 1;
            return CountVerdict::Full;
        }
        self.open += 1;
        CountVerdict::Open
    }

    /// Counts one less.
    pub(crate) fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Puts a changed limit in force; what is open stays open.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns how many are open.
    pub(crate) fn count(&self) -> u32 {
        self.open
    }

    /// Returns how many were refused since the start.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }
}
