use std::fmt::{self, Write};

use serde::Serialize;

/// A measured figure.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CostResult {
    /// The role whose process bears the cost.
    pub(crate) role: &'static str,
    /// What was measured.
    pub(crate) measure: String,
    pub(crate) figure: f64,
    /// The unit of the figure.
    pub(crate) unit: &'static str,
}

impl CostResult {
    pub(crate) fn new(
        role: &'static str,
        measure: impl Into<String>,
        figure: f64,
        unit: &'static str,
    ) -> Self {
        Self {
            role,
            measure: measure.into(),
            figure,
            unit,
        }
    }
}

/// Writes the figures as a Markdown table.
pub(crate) fn write_cost_table(results: &[CostResult]) -> Result<String, fmt::Error> {
    let mut text = String::new();
    writeln!(text, "| Role | Measure | Figure | Unit |")?;
    writeln!(text, "|---|---|--:|---|")?;
    for result in results {
        let CostResult {
            role,
            measure,
            figure,
            unit,
        } = result;
        writeln!(text, "| {role} | {measure} | {figure:.2} | {unit} |")?;
    }
    Ok(text)
}
