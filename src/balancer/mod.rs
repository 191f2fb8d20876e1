//! The balancer forwards datagrams between callers and agents.
//!
//! It keeps no per-flow state; each packet carries its route.

mod balancer_event;
mod balancer_node;
mod balancer_run;
mod balancer_settings;
mod forward_verdict;
mod listener_set;
mod packet_counters;
mod packet_path;

pub use balancer_node::{BalancerDump, BalancerError, BalancerNode, ServiceDump};
pub use balancer_run::run_balancer;
pub use balancer_settings::BalancerSettings;
pub use forward_verdict::{DropCause, ForwardVerdict, decide_datagram};
pub use packet_counters::PacketTotals;

pub(crate) use balancer_event::BalancerEvent;
pub(crate) use listener_set::ListenerSet;
pub(crate) use packet_counters::PacketCounters;
pub(crate) use packet_path::{FrameBuffer, PacketPath};

#[cfg(test)]
mod tests;
