//! Final answers that the agent sends in place of an upstream's answer.

mod final_answer;
mod not_run_cause;
mod problem_document;

pub(crate) use final_answer::FinalAnswer;
pub(crate) use not_run_cause::NotRunCause;
pub(crate) use problem_document::{ProblemDocument, RunState};

#[cfg(test)]
mod tests;
