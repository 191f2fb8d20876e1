//! Tests of encrypting, decrypting and forging connection IDs.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use crate::{
    key::{ServiceNumber, TargetKey},
    route::{ConnectionRoute, PacketHeader},
    secret::{DeploymentSecret, KeyRing, SecretEpoch},
};

fn ring(active: u8, epochs: &[u8]) -> KeyRing {
    let epochs = epochs
        .iter()
        .map(|epoch| SecretEpoch {
            epoch: *epoch,
            secret: vec![*epoch; 32],
        })
        .collect();
    KeyRing::new(&DeploymentSecret { active, epochs }).expect("a valid secret")
}

prop_compose! {
    fn any_route()(
        service: u16, ip: u32, port: u16, incarnation_tag: u16, nonce in 0u32..1 << 24,
    ) -> ConnectionRoute {
        ConnectionRoute {
            service: ServiceNumber::new(service),
            target: TargetKey::new(SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)),
            incarnation_tag,
            nonce,
        }
    }
}

proptest! {
    #[test]
    fn every_balancer_with_the_key_decrypts_the_route(route in any_route()) {
        let sealed = route.seal(&ring(1, &[1]));
        prop_assert_eq!(ConnectionRoute::open(&sealed, &ring(1, &[1])), Some(route));
    }

    #[test]
    fn a_connection_id_stays_valid_while_its_key_epoch_is_kept(route in any_route()) {
        let sealed = route.seal(&ring(1, &[1]));
        prop_assert_eq!(ConnectionRoute::open(&sealed, &ring(2, &[1, 2])), Some(route));
        prop_assert_eq!(ConnectionRoute::open(&sealed, &ring(2, &[2])), None);
    }

    #[test]
    fn a_modified_connection_id_is_rejected(
        route in any_route(), place in 1usize..17, flip in 1u8..,
    ) {
        let mut sealed = route.seal(&ring(1, &[1]));
        sealed[place] ^= flip;
        // The keys are fixed; a modified ID passes the 24-bit check with probability 2^-24.
        prop_assert_eq!(ConnectionRoute::open(&sealed, &ring(1, &[1])), None);
    }

    #[test]
    fn arbitrary_datagrams_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let keys = ring(1, &[1]);
        if let Some(header) = PacketHeader::read(&bytes) {
            let _ = ConnectionRoute::open(header.destination, &keys);
        }
    }
}
