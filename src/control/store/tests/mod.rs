//! Tests of the store interface.

use super::{ControlStore, MemoryStore, ReadConfirmer, RegistrationChanges, StateHandle};
use crate::{
    control::{
        feed::FeedState,
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, ControlOutcome},
    },
    key::FeedRevision,
};

fn memory_store() -> (StateHandle, ControlStore) {
    let state = StateHandle::new(FeedState::new());
    let store = ControlStore::Memory(MemoryStore::new(state.clone()));
    (state, store)
}

async fn apply_commands(store: &ControlStore) {
    let first = ControlCommand::Apply(manifest(1, 0, &["barge"]).manifest);
    let second = ControlCommand::Announce(announcement("barge", 1, 1));
    for command in [first, second] {
        let outcome = store.propose(&command).await.expect("committed");
        assert!(!matches!(outcome, ControlOutcome::Refused(_)));
    }
}

#[tokio::test]
async fn concurrent_reads_are_confirmed() {
    let (_, store) = memory_store();
    apply_commands(&store).await;
    let confirmer = ReadConfirmer::start(store);
    let readers: Vec<_> = (0..100)
        .map(|_| {
            let confirmer = confirmer.clone();
            tokio::spawn(async move { confirmer.confirm().await })
        })
        .collect();
    for reader in readers {
        let answer = reader.await.expect("no panic");
        assert_eq!(answer, Ok(FeedRevision::new(2)));
    }
}

#[tokio::test]
async fn registration_changes_are_incremental_or_full_after_a_restore() {
    let (state, store) = memory_store();
    apply_commands(&store).await;
    let target = announcement("barge", 1, 1).target;
    let holder = state.lease_holder(target).expect("registered");
    let (revision, changes) = state.registration_changes(FeedRevision::new(1));
    assert_eq!(revision, FeedRevision::new(2));
    let expected = RegistrationChanges::Incremental(vec![(target, Some(holder))]);
    assert_eq!(changes, expected);
    let bytes = state.snapshot().expect("an encodable state");
    state.restore(&bytes).expect("a valid snapshot");
    let (_, changes) = state.registration_changes(FeedRevision::new(1));
    assert_eq!(changes, RegistrationChanges::Full(vec![holder]));
}
