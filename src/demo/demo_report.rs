use std::fmt;

use serde::Serialize;

/// What the demo counted, with the promises that it watches.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoReport {
    /// Requests that were sent.
    pub requests: u64,
    /// Requests whose whole answer came from the right service.
    pub answered: u64,
    /// Requests that were refused with the word that they did not run.
    pub refused_not_run: u64,
    /// Requests with another answer than success.
    pub failed: u64,
    /// Connections that no agent accepted; no request was sent on them.
    pub unconnected: u64,
    /// The longest time that a caller waited for a connection.
    pub slowest_connect_ms: u64,
    /// Streams that ended or lost a line, and requests that were cut.
    pub broken_flows: u64,
    /// How the first of them were cut.
    pub cuts: Vec<String>,
    /// Streams that were open all the time.
    pub streams: u64,
    /// Lines that the streams brought.
    pub stream_lines: u64,
    /// Answers from another service, and frames for one at an agent.
    pub misrouted: u64,
    /// Commands that ran more than once.
    pub run_twice: u64,
    /// Commands that ran although they were refused as not run.
    pub ran_though_refused: u64,
    /// Requests that reached the drained upstream later than allowed.
    pub late_work: u64,
    /// The busiest target's requests over the mean of its service.
    pub imbalance: f64,
    /// The time until the second manifest was in force on every balancer.
    pub in_force_ms: Option<u64>,
}

impl DemoReport {
    /// Returns whether every promise that the demo watches was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
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
        let verdict = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(formatter, "promises             {verdict}")
    }
}
