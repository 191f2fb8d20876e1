//! Slopes: what a packet, a route, a change and a request cost.

mod agent_cost;
mod control_cost;
mod cost_line;
mod packet_cost;
mod process_usage;
mod relay_cost;
mod route_cost;
mod sample_routes;
mod stop_watch;

pub(crate) use cost_line::{CostLine, write_lines};

use std::str::FromStr;

use thiserror::Error;

use crate::lab::LabError;

/// How thoroughly the costs are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CostEffort {
    /// The full sizes.
    Full,
    /// Small sizes, which show that the code runs and nothing more.
    Short,
}

impl CostEffort {
    /// Returns `full`, or a thousandth of it at a short run.
    pub(crate) fn rounds(self, full: usize) -> usize {
        match self {
            Self::Full => full,
            Self::Short => (full / 1_000).max(1),
        }
    }

    /// Returns `full`, or a hundredth of it at a short run.
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
    /// The balancer's decisions.
    Packets,
    /// The balancer's packet path through sockets.
    Relays,
    /// A replica's state.
    Control,
    /// An agent's decisions.
    Agent,
}

/// The text names no part of the measurements.
#[derive(Debug, Error)]
#[error("a part is one of routes, packets, relays, control, agent")]
pub(crate) struct CostPartError;

impl CostPart {
    /// Every part.
    pub(crate) const ALL: [Self; 5] = [
        Self::Routes,
        Self::Packets,
        Self::Relays,
        Self::Control,
        Self::Agent,
    ];

    /// Measures this part.
    pub(crate) fn measure(self, effort: CostEffort) -> Result<Vec<CostLine>, LabError> {
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
