//! Cyclamenrouter: a layer-4 load balancer whose packets carry their own route.
//!
//! One module per responsibility; `docs/DESIGN.md` describes how they interact.

pub mod admin;
pub mod agent;
pub mod balancer;
pub mod caller;
pub mod check;
pub mod cli;
pub mod clock;
pub mod control;
pub mod demo;
pub mod directory;
pub mod event;
pub mod fleet;
pub mod flow;
pub mod key;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the results of the model are rounded"
)]
pub mod lab;
pub mod listener;
pub mod manifest;
pub mod program;
pub mod proof;
pub mod route;
pub mod secret;
mod sequence;
pub mod settings;
pub mod tls;
pub mod tunnel;
mod watch;
