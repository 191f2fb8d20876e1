//! Instants and spans in milliseconds, and the process clock.

mod clock_millis;
mod process_clock;
mod span_millis;

pub use clock_millis::ClockMillis;
pub use process_clock::ProcessClock;
pub use span_millis::SpanMillis;

#[cfg(test)]
mod tests;
