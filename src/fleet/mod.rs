//! The processes of a deployment that discover each other from seed addresses.
//!
//! Every entry VM runs a balancer; those with a disk also run a replica of the
//! control group. An agent runs beside every target. The types here own
//! sockets, clocks and tasks; `flow`, `directory`, `listener` and `control` make
//! the decisions.

mod agent_policy;
mod announced_figures;
mod directory_copy;
mod entry_datagrams;
mod entry_formation;
mod entry_handle;
mod entry_journal;
mod entry_maintenance;
mod entry_node;
mod entry_packets;
mod entry_replica;
mod entry_sockets;
mod fleet_counters;
mod fleet_datagram;
mod fleet_error;
mod fleet_event;
mod fleet_settings;
mod formation_file;
mod group_view;
mod hint_file;
mod inspect_server;
mod known_balancers;
mod local_replica;
mod log_limiter;
mod restart_notifier;
mod settings_source;
mod side_handle;
mod side_node;
mod side_packets;
mod side_target;
mod target_probe;
mod target_tracker;
mod watch_client;
mod watch_frame;
mod watch_server;

pub use entry_handle::{ApplyRefusal, EntryHandle, EvacuationRefusal, ReadRefusal};
pub use entry_node::EntryNode;
pub use fleet_error::FleetError;
pub use fleet_settings::{FleetPorts, FleetSettings, SideSettings};
pub use inspect_server::{InspectRequest, inspect_process};
pub use settings_source::SettingsSource;
pub use side_handle::{NoticeOutcome, SideHandle, TargetNotice, TargetState};
pub use side_node::SideNode;

pub(crate) use fleet_event::FleetEvent;

#[cfg(test)]
mod tests;
