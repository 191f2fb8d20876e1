use crate::event::event_codes;

event_codes! {
    /// Events of the balancer, 2000 to 2999.
    pub(crate) enum BalancerEvent {
        Started = 2001 => "balancer started",
    }
}
