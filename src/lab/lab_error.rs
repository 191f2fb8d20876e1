use std::{fmt, io};

use miette::Diagnostic;
use thiserror::Error;

use super::policy::PlotError;
use crate::{control::StateError, route::RouteError, secret::SecretError};

/// Why an experiment or a measurement failed, or its results could not be written.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum LabError {
    /// The plot could not be drawn.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] PlotError),
    /// The results could not be written as JSON.
    #[error("the results can't be written as JSON: {0}")]
    #[diagnostic(code(lab::json))]
    Json(#[from] serde_json::Error),
    /// The results could not be written as tables.
    #[error("the results can't be written as tables: {0}")]
    #[diagnostic(code(lab::table))]
    Table(#[from] fmt::Error),
    /// A file or socket operation of a measurement failed.
    #[error("the measurement failed: {0}")]
    #[diagnostic(code(lab::system))]
    System(#[from] io::Error),
    /// The route table rejected the sample.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Route(#[from] RouteError),
    /// The control state rejected the sample.
    #[error(transparent)]
    #[diagnostic(transparent)]
    State(#[from] StateError),
    /// The keys could not be derived.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
}
