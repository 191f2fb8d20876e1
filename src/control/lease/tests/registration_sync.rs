//! The lease keeper follows the committed registrations.

use kameo::{Actor, actor::ActorRef};

use crate::{
    clock::ProcessClock,
    control::{
        api::{AnnounceRequest, WithdrawRequest},
        feed::ReplicaState,
        lease::{CountLeases, DecideExpiries, GrantAllLeases, LeaseKeeper, RenewLease},
        server::tests::fixture::{announcement, manifest},
        state::ControlCommand,
        store::StateHandle,
    },
};

fn commit(state: &StateHandle, command: &ControlCommand) {
    state.apply(&command.encode().expect("an encodable command"));
}

async fn renew(keeper: &ActorRef<LeaseKeeper>, request: &AnnounceRequest) -> bool {
    let renewal = RenewLease {
        target: request.target,
        incarnation: request.incarnation,
    };
    keeper.ask(renewal).await.expect("a running keeper")
}

#[tokio::test]
async fn a_replaced_incarnation_loses_its_lease_and_its_successor_keeps_its_own() {
    let state = StateHandle::new(ReplicaState::new());
    let keeper = LeaseKeeper::spawn(LeaseKeeper::new(state.clone(), ProcessClock::new()));
    let (old, new) = (announcement("barge", 1, 1), announcement("barge", 1, 2));
    commit(
        &state,
        &ControlCommand::Apply(manifest(1, 0, &["barge"]).manifest),
    );
    keeper.ask(GrantAllLeases).await.expect("a running keeper");
    commit(&state, &ControlCommand::Announce(old.clone()));
    assert!(renew(&keeper, &old).await);
    commit(&state, &ControlCommand::Announce(new.clone()));
    // The new incarnation sends a heartbeat before the keeper has synced either change.
    assert!(renew(&keeper, &new).await);
    keeper.ask(DecideExpiries).await.expect("a running keeper");
    assert!(renew(&keeper, &new).await);
    assert!(!renew(&keeper, &old).await);
    let withdrawal = ControlCommand::Withdraw(WithdrawRequest {
        target: new.target,
        incarnation: new.incarnation,
    });
    commit(&state, &withdrawal);
    keeper.ask(DecideExpiries).await.expect("a running keeper");
    assert!(!renew(&keeper, &new).await);
    let count = keeper.ask(CountLeases).await.expect("a running keeper");
    assert_eq!(count.leases, 0);
}
