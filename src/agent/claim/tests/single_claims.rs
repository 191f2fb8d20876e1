//! Single claims between two agents: granted, released, refused, and made late.

use super::{broker, peer_views, target};
use crate::{
    agent::{
        claim::{AgentIdentity, BindVerdict, ClaimFrame, ClaimKey, ClaimMessage},
        slot::{SlotOrigin, SlotRequest, SlotVerdict},
    },
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
    manifest::RequestPriority,
};

fn request_within(time_left: u64) -> SlotRequest {
    SlotRequest {
        priority: RequestPriority::Normal,
        deadline: ClockMillis::new(time_left),
        origin: SlotOrigin::Local,
    }
}

#[test]
fn an_idle_peer_grants_a_slot_at_once() {
    let mut busy = broker(0, 0);
    let mut idle = broker(1, 0);
    let now = ClockMillis::ORIGIN;
    let request = request_within(10_000);
    for _ in 0..2 {
        busy.request(request, None, 1, now);
    }
    let (verdict, output) = busy.request(request, Some(&peer_views(0)[..1]), 1, now);
    assert!(matches!(verdict, SlotVerdict::Wait(_)));
    let [claim] = output.frames.as_slice() else {
        panic!("one claim at the only peer");
    };
    let grants = idle.receive(claim.frame, now).frames;
    let output = busy.receive(grants[0].frame, now);
    assert_eq!(output.grants.len(), 1);
    assert_eq!(busy.counts().waiting, 0);
    assert!(matches!(
        idle.bind(output.grants[0].key),
        BindVerdict::Bound(_)
    ));
}

#[test]
fn an_unwanted_grant_is_released_at_once() {
    let mut busy = broker(0, 0);
    let mut idle = broker(1, 0);
    let now = ClockMillis::ORIGIN;
    let request = request_within(10_000);
    for _ in 0..2 {
        busy.request(request, None, 1, now);
    }
    let (verdict, output) = busy.request(request, Some(&peer_views(0)[..1]), 1, now);
    let SlotVerdict::Wait(waiter) = verdict else {
        panic!("both slots are taken: {verdict:?}");
    };
    let granted = idle.receive(output.frames[0].frame, now).frames;
    let mut withdrawn = busy.withdraw(waiter).frames;
    // The release sent by the withdrawal is lost; the one that answers the grant arrives.
    withdrawn.clear();
    let released = busy.receive(granted[0].frame, now).frames;
    idle.receive(released[0].frame, now);
    assert_eq!(idle.counts().running, 0);
}

/// Callers may reach an agent before it has heard of its peers.
#[test]
fn a_request_that_waits_claims_a_slot_once_a_peer_is_known() {
    let mut busy = broker(0, 0);
    let now = ClockMillis::ORIGIN;
    for _ in 0..3 {
        let (_, output) = busy.request(request_within(10_000), Some(&[]), 1, now);
        assert_eq!(output.frames.len(), 0);
    }
    let later = ClockMillis::new(60);
    let output = busy.advance(&peer_views(0)[..1], 1, later);
    let [claim] = output.frames.as_slice() else {
        panic!("one claim at the only peer: {output:?}");
    };
    assert_eq!(claim.to, peer_views(0)[0].target);
}

#[test]
fn a_refused_claim_is_made_again_after_the_time_that_the_peer_asked_for() {
    let mut busy = broker(0, 0);
    let mut full = broker(1, 0);
    let now = ClockMillis::ORIGIN;
    let peers = &peer_views(0)[..1];
    // The slots of the peer and its queue for claims are taken.
    let claimant = AgentIdentity {
        target: target(2),
        incarnation: IncarnationId::new(0),
    };
    for sequence in 1..=8 {
        let key = ClaimKey { claimant, sequence };
        let message = ClaimMessage::Claim {
            priority: RequestPriority::Normal,
            time_left: SpanMillis::new(10_000),
        };
        let frame = ClaimFrame {
            sender: claimant,
            key,
            message,
        };
        full.receive(frame, now);
    }
    for _ in 0..2 {
        busy.request(request_within(10_000), None, 1, now);
    }
    let (_, output) = busy.request(request_within(10_000), Some(peers), 1, now);
    let refusal = full.receive(output.frames[0].frame, now).frames;
    let ClaimMessage::Refuse { retry_after } = refusal[0].frame.message else {
        panic!("not refused: {refusal:?}");
    };
    busy.receive(refusal[0].frame, now);
    let early = ClockMillis::new(retry_after.millis() - 1);
    assert_eq!(busy.advance(peers, 1, early).frames, []);
    let due = ClockMillis::new(retry_after.millis());
    assert_eq!(busy.advance(peers, 1, due).frames.len(), 1);
}
