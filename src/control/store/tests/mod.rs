//! Tests of the stores.

use super::{ControlStore, MemoryStore, ReadConfirmer, RegistrationChanges, StateHandle};
use crate::{
    control::{
        feed::ReplicaState,
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, ControlOutcome},
    },
    key::FeedRevision,
};

fn memory() -> (StateHandle, ControlStore) {
    let state = StateHandle::new(ReplicaState::new());
    let store = ControlStore::Memory(MemoryStore::new(state.clone()));
    (state, store)
}

async fn prepare(store: &ControlStore) {
    let first = ControlCommand::Apply(manifest(1, 0, &["barge"]).manifest);
    let second = ControlCommand::Announce(announcement("barge", 1, 1));
    for command in [first, second] {
        let outcome = store.propose(&command).await.expect("committed");
        assert!(!matches!(outcome, ControlOutcome::Refused(_)));
    }
}

#[tokio::test]
async fn many_askers_share_confirmations() {
    let (_, store) = memory();
    prepare(&store).await;
    let confirmer = ReadConfirmer::start(store);
    let askers: Vec<_> = (0..100)
        .map(|_| {
            let confirmer = confirmer.clone();
            tokio::spawn(async move { confirmer.confirm().await })
        })
        .collect();
    for asker in askers {
        let answer = asker.await.expect("no panic");
        assert_eq!(answer, Ok(FeedRevision::new(2)));
    }
}

#[tokio::test]
async fn registrations_are_followed_from_a_revision_or_whole() {
    let (state, store) = memory();
    prepare(&store).await;
    let target = announcement("barge", 1, 1).target;
    let holder = state.lease_holder(target).expect("registered");
    let (revision, changes) = state.registration_changes(FeedRevision::new(1));
    assert_eq!(revision, FeedRevision::new(2));
    let expected = RegistrationChanges::Incremental(vec![(target, Some(holder))]);
    assert_eq!(changes, expected);
    let bytes = state.snapshot().expect("a state has bytes");
    state.restore(&bytes).expect("its own bytes");
    let (_, changes) = state.registration_changes(FeedRevision::new(1));
    assert_eq!(changes, RegistrationChanges::Full(vec![holder]));
}
