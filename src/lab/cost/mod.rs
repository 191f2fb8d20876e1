//! Measures time and memory per packet, route, change and request.

mod agent_cost;
mod batch_timer;
mod control_cost;
mod cost_result;
mod packet_cost;
mod process_usage;
mod relay_cost;
mod route_cost;
mod sample_routes;

pub(crate) use cost_result::{CostResult, write_cost_table};

use std::str::FromStr;

use thiserror::Error;

use crate::lab::LabError;

/// The size of the measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CostEffort {
    /// Full sizes.
    Full,
    /// Small sizes: they only test that the code runs; the figures are meaningless.
    Short,
}

impl CostEffort {
    /// Returns the number of rounds: `full`, or a thousandth of it in a short run.
    pub(crate) fn rounds(self, full: usize) -> usize {
        match self {
            Self::Full => full,
            Self::Short => (full / 1_000).max(1),
        }
    }

    /// Returns a sample size: `full`, or a hundredth of it, at least 7, in a short run.
    pub(crate) fn size(self, full: usize) -> usize {
        match self {
            Self::Full => full,
            Self::Short => (full / 100).max(7),
        }
    }
}

/// A part of the measurements; each is best run in a process of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CostPart {
    /// The balancer's route table.
    Routes,
    /// The balancer's packet decisions.
    Packets,
    /// The balancer's packet path, through sockets.
    Relays,
    /// A replica's state.
    Control,
    /// An agent's decisions.
    Agent,
}

/// The name is not that of a [`CostPart`].
#[derive(Debug, Error)]
#[error("a part is one of routes, packets, relays, control, agent")]
pub(crate) struct CostPartError;

impl CostPart {
    pub(crate) const ALL: [Self; 5] = [
        Self::Routes,
        Self::Packets,
        Self::Relays,
        Self::Control,
        Self::Agent,
    ];

    pub(crate) fn measure(self, effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
        match self {
            Self::Routes => route_cost::measure_routes(effort),
            Self::Packets => packet_cost::measure_packets(effort),
            Self::Relays => relay_cost::measure_relays(effort),
            Self::Control => control_cost::measure_control(effort),
            Self::Agent => agent_cost::measure_agent(effort),
        }
    }
}

impl FromStr for CostPart {
    type Err = CostPartError;

    fn from_str(text: &str) -> Result<Self, CostPartError> {
        match text {
            "routes" => Ok(Self::Routes),
            "packets" => Ok(Self::Packets),
            "relays" => Ok(Self::Relays),
            "control" => Ok(Self::Control),
            "agent" => Ok(Self::Agent),
            _ => Err(CostPartError),
        }
    }
}
