//! In-process benchmarks of the agent's decisions.

mod decision_benchmark;
mod decision_cost;

pub use decision_benchmark::measure_decisions;
pub use decision_cost::DecisionCost;
