//! A seeded discrete-event simulation of one service.

mod accept_rule;
mod caller_population;
mod central_queue;
mod connection_step;
mod event_queue;
mod fault_plan;
mod fault_step;
mod lab_model;
mod message_step;
mod model_message;
mod model_micros;
mod model_request;
mod relay_rule;
mod relay_step;
mod request_step;
mod run_metrics;
mod run_setup;
mod service_profile;
mod target_station;

pub(crate) use accept_rule::AcceptRule;
pub(crate) use fault_plan::{FaultEntry, FaultKind};
pub(crate) use lab_model::LabModel;
pub(crate) use model_micros::ModelMicros;
pub(crate) use relay_rule::RelayRule;
pub(crate) use run_metrics::RunReport;
pub(crate) use run_setup::{RetryPolicy, RunSetup};
pub(crate) use service_profile::{RequestClass, ServiceProfile};

use caller_population::{CallerKey, CallerPopulation};
use central_queue::CentralQueue;
use event_queue::{EventQueue, ModelEvent};
use model_message::{MessageKind, ModelMessage};
use model_request::{ModelRequest, ProbeState, RequestKey, RequestState};
use run_metrics::RunMetrics;
use target_station::{QueueEntry, StationEvent, StationPhase, TargetStation};
