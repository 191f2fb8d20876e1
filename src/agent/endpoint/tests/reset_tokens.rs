//! Reset tokens must be the same in every run of every agent.

use quinn_proto::crypto::HmacKey;

use crate::{
    agent::endpoint::{EpochResetKey, ResetWriter},
    clock::ClockMillis,
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
fn a_token_is_unchanged_after_a_restart_and_a_rotation() {
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

#[test]
fn a_reset_ends_with_the_token_and_is_smaller_than_its_trigger() {
    let store = SecretStore::new(&secret(1, &[1])).expect("a good secret");
    let route = ConnectionRoute {
        service: ServiceNumber::new(4),
        target: TargetKey::new("10.0.0.1:4000".parse().expect("an address")),
        incarnation_tag: 1,
        nonce: 5,
    };
    let id = route.seal(&store.keys());
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&id);
    datagram.extend_from_slice(&[0; 10]);
    let writer = ResetWriter::new(store.clone());
    let now = ClockMillis::new(10);
    let reset = writer.write(&datagram, now).expect("room for a reset");
    assert!(reset.len() < datagram.len());
    assert_eq!(reset[reset.len() - 16..], token(&store, &id)[..16]);
    assert_eq!(
        writer.write(&datagram, now),
        None,
        "two within a millisecond"
    );
    let later = ClockMillis::new(20);
    assert_eq!(writer.write(&datagram[..20], later), None, "no room");
    datagram[0] = 0xc0;
    assert_eq!(writer.write(&datagram, later), None, "a handshake");
}
