//! The seeded, event-driven model of one service.

mod accept_rule;
mod central_line;
mod connection_pool;
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
mod run_measure;
mod run_setup;
mod system_profile;
mod target_station;

pub(crate) use accept_rule::AcceptRule;
pub(crate) use fault_plan::{FaultEntry, FaultKind};
pub(crate) use lab_model::LabModel;
pub(crate) use model_micros::ModelMicros;
pub(crate) use relay_rule::RelayRule;
pub(crate) use run_measure::RunReport;
pub(crate) use run_setup::{RetryHabit, RunSetup};
pub(crate) use system_profile::{SystemProfile, WorkClass};

use central_line::CentralLine;
use connection_pool::{ConnectionKey, ConnectionPool};
use event_queue::{EventQueue, ModelEvent};
use model_message::{MessageKind, ModelMessage};
use model_request::{ModelRequest, ProbeState, RequestKey, RequestState};
use run_measure::RunMeasure;
use target_station::{LineEntry, StationEvent, StationPhase, TargetStation};
