use serde::Serialize;

/// The measured cost of one kind of decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DecisionCost {
    /// The name of the decision.
    pub decision: &'static str,
    /// The number of decisions measured.
    pub rounds: u32,
    /// The mean time of one decision, in nanoseconds.
    pub nanos: f64,
}
