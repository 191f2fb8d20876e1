use super::EventEntry;
use crate::{
    agent::AgentEvent, balancer::BalancerEvent, cli::CliEvent, control::ControlEvent,
    fleet::FleetEvent, program::ProgramEvent, settings::SettingsEvent, watch::WatchEvent,
};

/// Returns the numbered events of all modules, ordered by number.
#[must_use]
pub fn event_catalogue() -> Vec<EventEntry> {
    let mut entries: Vec<EventEntry> = [
        ControlEvent::ALL,
        BalancerEvent::ALL,
        AgentEvent::ALL,
        CliEvent::ALL,
        SettingsEvent::ALL,
        WatchEvent::ALL,
        FleetEvent::ALL,
        ProgramEvent::ALL,
    ]
    .concat();
    entries.sort_by_key(|entry| entry.number);
    entries
}
