/// The result of opening a connection or stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenVerdict {
    /// Counted as open until `close` is called.
    Open,
    /// The limit is reached; the count did not change.
    Full,
}

/// Counts open connections or open streams against a limit.
#[derive(Debug)]
pub(crate) struct OpenLimiter {
    open: u32,
    limit: u32,
    refused: u64,
}

impl OpenLimiter {
    /// Creates a limiter with nothing open.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            open: 0,
            limit,
            refused: 0,
        }
    }

    /// Counts one more unless the limit is reached.
    pub(crate) fn open(&mut self) -> OpenVerdict {
        if self.open >= self.limit {
            self.refused += 1;
            return OpenVerdict::Full;
        }
        self.open += 1;
        OpenVerdict::Open
    }

    /// Counts one fewer.
    pub(crate) fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Changes the limit; does not close what exceeds it.
    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of open ones.
    pub(crate) fn count(&self) -> u32 {
        self.open
    }

    /// Returns the number refused since the start.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }
}
