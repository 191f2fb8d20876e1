//! The state machine of one request, from arrival to completion.

mod request_action;
mod request_event;
mod request_machine;
mod request_profile;
mod request_stage;

pub(crate) use request_action::{RequestAction, SettledRun};
pub(crate) use request_event::{CallerDeparture, RequestEvent};
pub(crate) use request_machine::RequestMachine;
pub(crate) use request_profile::{AnswerDeadline, ProfileError, RequestKind, RequestProfile};
pub(crate) use request_stage::{RequestStage, RunPlace};

#[cfg(test)]
mod tests;
