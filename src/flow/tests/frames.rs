use proptest::prelude::*;

use super::{BALANCER, agent};
use crate::{
    flow::{HopFrame, HopHeader},
    listener::ServiceTag,
};

proptest! {
    #[test]
    fn a_frame_survives_encoding_and_decoding(
        service: u64,
        candidates in proptest::collection::vec(1_u8.., 0..8),
        packet: Vec<u8>,
    ) {
        let header = HopHeader::new(ServiceTag::from_number(service), BALANCER)
            .with_candidates(candidates.iter().copied().map(agent));
        let mut bytes = Vec::new();
        header.encode(&packet, &mut bytes);
        let frame = HopFrame::decode(&mut bytes).expect("a frame");
        prop_assert_eq!(frame.header, header);
        prop_assert_eq!(&*frame.packet, packet.as_slice());
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_none(mut bytes: Vec<u8>) {
        let length = bytes.len();
        if let Some(frame) = HopFrame::decode(&mut bytes) {
            prop_assert!(frame.packet.len() < length);
        }
    }
}

#[test]
fn each_hop_removes_one_candidate_until_none_is_left() {
    let header =
        HopHeader::new(ServiceTag::of("logbook"), BALANCER).with_candidates([agent(1), agent(2)]);
    let (first, header) = header.next_hop().expect("two candidates");
    let (second, header) = header.next_hop().expect("one candidate");
    assert_eq!((first, second), (agent(1), agent(2)));
    assert_eq!(header.hops, 2);
    assert_eq!(header.next_hop(), None);
}
