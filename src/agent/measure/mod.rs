//! What the agent's decisions cost, measured in this process.

mod decision_figure;
mod decision_run;

pub use decision_figure::DecisionFigure;
pub use decision_run::measure_decisions;
