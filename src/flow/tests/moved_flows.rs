//! Open flows that move to a balancer which has just started, while agents are
//! restarted in turn and the VMs of others are gone.

use rstest::rstest;

use super::moved_fleet::MovedFleet;

/// Agents that were down took the packets of moved flows, and each retransmission took
/// the same chain again: flows beyond the bound of wide rounds reached only other
/// targets for seconds.
#[rstest]
fn moved_flows_reach_their_targets_while_agents_are_restarted(
    #[values(12, 37, 120)] target_count: u8,
    #[values(12, 60, 200)] flows: u16,
    #[values(1_000, 2_000)] restart_millis: u64,
    #[values(&[5, 9], &[1, 2], &[3, 7, 10])] gone: &[u8],
) {
    let mut fleet = MovedFleet::new(target_count, 3, gone, restart_millis, flows);
    fleet.run();
    assert_eq!(fleet.reset_flows(), Vec::<u16>::new());
    assert_eq!(fleet.astray(), Vec::<u16>::new());
}

/// Flows whose own agent was restarted reached only other targets after it ran again:
/// agents that are gone were asked before it.
#[rstest]
fn moved_flows_reach_their_targets_once_their_own_agent_was_restarted(
    #[values(12, 37)] target_count: u8,
    #[values(12, 60, 200)] flows: u16,
) {
    let mut fleet = MovedFleet::new(target_count, 1, &[5, 9], 1_000, flows);
    fleet.run();
    assert_eq!(fleet.reset_flows(), Vec::<u16>::new());
    assert_eq!(fleet.astray(), Vec::<u16>::new());
}
