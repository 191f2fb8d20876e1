use serde::Serialize;

/// The cost of one kind of decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DecisionFigure {
    /// What was decided.
    pub decision: &'static str,
    /// How often it was decided.
    pub rounds: u32,
    /// The mean time of one decision, in nanoseconds.
    pub nanos: f64,
}
