//! Reset tokens are the same in every run of every agent.

use quinn_proto::crypto::HmacKey;

use crate::{
    agent::endpoint::EpochResetKey,
    key::{IncarnationId, ServiceNumber, TargetKey},
    route::ConnectionRoute,
    secret::{DeploymentSecret, SecretEpoch, SecretStore},
};

fn secret(active: u8, epochs: &[u8]) -> DeploymentSecret {
    let epochs = epochs
        .iter()
        .map(|epoch| SecretEpoch {
            epoch: *epoch,
            secret: vec![*epoch; 32],
        })
        .collect();
    DeploymentSecret { active, epochs }
}

fn token(store: &SecretStore, id: &[u8]) -> [u8; 32] {
    let mut token = [0; 32];
    EpochResetKey::new(store.clone()).sign(id, &mut token);
    token
}

#[test]
fn a_token_outlives_a_restart_and_a_rotation() {
    let before = SecretStore::new(&secret(1, &[1])).expect("a good secret");
    let route = ConnectionRoute {
        service: ServiceNumber::new(4),
        target: TargetKey::new("10.0.0.1:4000".parse().expect("an address")),
        incarnation_tag: IncarnationId::new(77).tag(),
        nonce: 5,
    };
    let id = route.seal(&before.keys());
    let issued = token(&before, &id);
    let restarted = SecretStore::new(&secret(2, &[1, 2])).expect("a good secret");
    assert_eq!(token(&restarted, &id), issued);
    let other = SecretStore::new(&secret(2, &[2])).expect("a good secret");
    assert_ne!(token(&other, &id), issued);
}
