//! The lease manager follows the committed registrations.

use kameo::{Actor, actor::ActorRef};

use crate::{
    clock::ProcessClock,
    control::{
        api::{AnnounceRequest, WithdrawRequest},
        feed::FeedState,
        lease::{CountLeases, DecideExpiries, GrantAllLeases, LeaseManager, RenewLease},
        server::tests::fixture::{announcement, manifest},
        state::ControlCommand,
        store::StateHandle,
    },
};

fn commit(state: &StateHandle, command: &ControlCommand) {
    state.apply(&command.encode().expect("an encodable command"));
}

async fn renew(manager: &ActorRef<LeaseManager>, request: &AnnounceRequest) -> bool {
    let renewal = RenewLease {
        target: request.target,
        incarnation: request.incarnation,
    };
    manager.ask(renewal).await.expect("a running manager")
}

#[tokio::test]
async fn a_replaced_incarnation_loses_its_lease_and_its_successor_keeps_its_own() {
    let state = StateHandle::new(FeedState::new());
    let manager = LeaseManager::spawn(LeaseManager::new(state.clone(), ProcessClock::new()));
    let (old, new) = (announcement("barge", 1, 1), announcement("barge", 1, 2));
    commit(
        &state,
        &ControlCommand::Apply(manifest(1, 0, &["barge"]).manifest),
    );
    manager
        .ask(GrantAllLeases)
        .await
        .expect("a running manager");
    commit(&state, &ControlCommand::Announce(old.clone()));
    assert!(renew(&manager, &old).await);
    commit(&state, &ControlCommand::Announce(new.clone()));
    // The new incarnation sends a heartbeat before the manager has synced either change.
    assert!(renew(&manager, &new).await);
    manager
        .ask(DecideExpiries)
        .await
        .expect("a running manager");
    assert!(renew(&manager, &new).await);
    assert!(!renew(&manager, &old).await);
    let withdrawal = ControlCommand::Withdraw(WithdrawRequest {
        target: new.target,
        incarnation: new.incarnation,
    });
    commit(&state, &withdrawal);
    manager
        .ask(DecideExpiries)
        .await
        .expect("a running manager");
    assert!(!renew(&manager, &new).await);
    let count = manager.ask(CountLeases).await.expect("a running manager");
    assert_eq!(count.leases, 0);
}
