use crate::event::event_codes;

event_codes! {
    /// Events of the agent, 3000 to 3999.
    pub(crate) enum AgentEvent {
        Started = 3001 => "agent started",
    }
}
