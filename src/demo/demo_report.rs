use std::fmt;

use serde::Serialize;

/// The results of the demo.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete successful answer from the right service.
    pub answered: u64,
    /// Requests refused with a guarantee that they did not run.
    pub refused_not_run: u64,
    /// Requests with any other unsuccessful answer.
    pub failed: u64,
    /// Connection attempts that failed; no request was sent on them.
    pub unconnected: u64,
    /// The longest connection attempt, in milliseconds.
    pub slowest_connect_ms: u64,
    /// Streams that ended or lost a line, and requests cut after they were sent.
    pub broken_flows: u64,
    /// The causes of the first of them.
    pub cuts: Vec<String>,
    /// Streams opened at the start, to last until the end.
    pub streams: u64,
    /// Lines received on the streams.
    pub stream_lines: u64,
    /// Answers from another service, and frames that reached an agent of another service.
    pub misrouted: u64,
    /// Commands that ran more than once.
    pub run_twice: u64,
    /// Commands that ran although they were refused as not run.
    pub ran_though_refused: u64,
    /// Requests that reached the drained upstream after the drain should have ended them.
    pub late_work: u64,
    /// The requests of the busiest target relative to the mean of its service, for the
    /// worst service.
    pub imbalance: f64,
    /// The milliseconds until the second manifest was in force on every balancer; none
    /// after a timeout.
    pub in_force_ms: Option<u64>,
}

impl DemoReport {
    /// Returns whether all checks of the demo passed.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.broken_flows == 0
            && self.misrouted == 0
            && self.run_twice == 0
            && self.ran_though_refused == 0
            && self.late_work == 0
            && self.answered > 0
            && self.in_force_ms.is_some()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests             {}", self.requests)?;
        writeln!(formatter, "  answered whole     {}", self.answered)?;
        writeln!(formatter, "  refused, not run   {}", self.refused_not_run)?;
        writeln!(formatter, "  failed             {}", self.failed)?;
        writeln!(formatter, "connections refused  {}", self.unconnected)?;
        writeln!(
            formatter,
            "slowest connection   {} ms",
            self.slowest_connect_ms
        )?;
        writeln!(
            formatter,
            "streams              {} with {} lines",
            self.streams, self.stream_lines
        )?;
        writeln!(formatter, "broken flows         {}", self.broken_flows)?;
        for cut in &self.cuts {
            writeln!(formatter, "  {cut}")?;
        }
        writeln!(formatter, "misrouted            {}", self.misrouted)?;
        writeln!(formatter, "commands run twice   {}", self.run_twice)?;
        writeln!(
            formatter,
            "ran though refused   {}",
            self.ran_though_refused
        )?;
        writeln!(formatter, "work after the drain {}", self.late_work)?;
        writeln!(formatter, "imbalance            {:.2}", self.imbalance)?;
        match self.in_force_ms {
            Some(millis) => writeln!(formatter, "manifest in force    after {millis} ms")?,
            None => writeln!(formatter, "manifest in force    never")?,
        }
        let verdict = if self.is_success() { "kept" } else { "BROKEN" };
        write!(formatter, "promises             {verdict}")
    }
}
