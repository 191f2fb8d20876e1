use std::fmt::{self, Write};

use serde::Serialize;

/// One measured figure.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CostLine {
    /// The role that pays it.
    pub(crate) role: &'static str,
    /// What was done.
    pub(crate) measure: String,
    /// The figure.
    pub(crate) figure: f64,
    /// Its unit.
    pub(crate) unit: &'static str,
}

impl CostLine {
    /// Notes a figure.
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
pub(crate) fn write_lines(lines: &[CostLine]) -> Result<String, fmt::Error> {
    let mut text = String::new();
    writeln!(text, "| Role | Measure | Figure | Unit |")?;
    writeln!(text, "|---|---|--:|---|")?;
    for line in lines {
        let CostLine {
            role,
            measure,
            figure,
            unit,
        } = line;
        writeln!(text, "| {role} | {measure} | {figure:.2} | {unit} |")?;
    }
    Ok(text)
}
