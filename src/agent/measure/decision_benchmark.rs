use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use super::DecisionCost;
use crate::{
    agent::{
        admission::{
            AcceptRule, AdmissionGate, AgentPhase, CandidatePosition, ClientCid, ConnectionAttempt,
            PeerLoad, TargetLoad,
        },
        claim::{AgentIdentity, PeerView, SlotBroker},
        slot::{SlotLimits, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict},
        ticket::{
            KeptOutcome, LedgerLimits, RequestFingerprint, RunOutcome, TicketLedger, TicketVerdict,
        },
    },
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
    manifest::RequestPriority,
    secret::{DeploymentSecret, KeyRing, SecretError},
};

const LIMITS: SlotLimits = SlotLimits {
    slots: 4,
    queue: 64,
    reserve: 1,
};
const REQUEST: SlotRequest = SlotRequest {
    priority: RequestPriority::Normal,
    deadline: ClockMillis::new(u64::MAX),
    origin: SlotOrigin::Local,
};
const NOW: ClockMillis = ClockMillis::ORIGIN;

/// Measures each decision `rounds` times.
///
/// # Errors
///
/// Fails when the random secret for the tickets is rejected.
pub fn measure_decisions(rounds: u32) -> Result<Vec<DecisionCost>, SecretError> {
    let ring = KeyRing::new(&DeploymentSecret::random(1))?;
    let mut costs = vec![
        admit_new(rounds),
        admit_known(rounds),
        take_and_release_slot(rounds),
        wait_with_claims(rounds),
    ];
    costs.extend(use_tickets(rounds, &ring));
    Ok(costs)
}

fn measure(decision: &'static str, rounds: u32, mut decide: impl FnMut(u32)) -> DecisionCost {
    let start = Instant::now();
    for round in 0..rounds {
        decide(round);
    }
    let nanos = start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds);
    DecisionCost {
        decision,
        rounds,
        nanos,
    }
}

fn admit_new(rounds: u32) -> DecisionCost {
    let mut gate = AdmissionGate::new(AcceptRule::DEFAULT, AgentPhase::Serving);
    measure("admit_new_connection", rounds, |round| {
        black_box(gate.admit(attempt(round), load(), NOW));
    })
}

fn admit_known(rounds: u32) -> DecisionCost {
    let mut gate = AdmissionGate::new(AcceptRule::DEFAULT, AgentPhase::Serving);
    measure("admit_known_connection", rounds, |_| {
        black_box(gate.admit(attempt(1), load(), NOW));
    })
}

fn take_and_release_slot(rounds: u32) -> DecisionCost {
    let mut queue = SlotQueue::new(LIMITS);
    measure("take_and_release_slot", rounds, |_| {
        if let (SlotVerdict::Run(slot), _) = queue.request(REQUEST, NOW) {
            black_box(queue.release(slot, NOW));
        }
    })
}

fn wait_with_claims(rounds: u32) -> DecisionCost {
    let own = AgentIdentity {
        target: target(1),
        incarnation: IncarnationId::new(1),
    };
    let mut broker = SlotBroker::new(own, LIMITS);
    let peers: Vec<PeerView> = (2..8).map(peer_view).collect();
    for _ in 0..LIMITS.slots {
        broker.request(REQUEST, Some(&peers), 0, NOW);
    }
    measure("wait_with_claims_and_leave", rounds, |round| {
        let draw = u64::from(round);
        if let (SlotVerdict::Wait(waiter), _) = broker.request(REQUEST, Some(&peers), draw, NOW) {
            black_box(broker.withdraw(waiter));
        }
    })
}

fn use_tickets(rounds: u32, ring: &KeyRing) -> [DecisionCost; 3] {
    let limits = LedgerLimits {
        tickets: usize::try_from(rounds).unwrap_or(usize::MAX),
        ..LedgerLimits::DEFAULT
    };
    let incarnation = IncarnationId::new(1);
    let mut ledger = TicketLedger::new(target(1), ServiceNumber::new(1), incarnation, limits);
    let fingerprint = RequestFingerprint::new("POST", "/feed", Some(100));
    let mut tickets = Vec::new();
    let mint_cost = measure("mint_ticket", rounds, |_| {
        tickets.push(ledger.mint(ring, NOW));
    });
    let run_cost = measure("run_ticket_and_settle", rounds, |round| {
        let ticket = &tickets[usize::try_from(round).unwrap_or(0)];
        if let TicketVerdict::Run(run) = ledger.present(ticket, ring, fingerprint, NOW) {
            ledger.settle(run, RunOutcome::Finished(kept_outcome()), NOW);
        }
    });
    let replay_cost = measure("answer_resend", rounds, |round| {
        let ticket = &tickets[usize::try_from(round).unwrap_or(0)];
        black_box(ledger.present(ticket, ring, fingerprint, NOW));
    });
    [mint_cost, run_cost, replay_cost]
}

fn kept_outcome() -> KeptOutcome {
    KeptOutcome {
        status: 200,
        headers: Vec::new(),
        body: b"fed".to_vec(),
    }
}

fn attempt(number: u32) -> ConnectionAttempt {
    let mut cid = [0; 8];
    cid[..4].copy_from_slice(&number.to_be_bytes());
    ConnectionAttempt {
        cid: ClientCid::new(&cid).expect("eight bytes are no more than twenty"),
        position: CandidatePosition::HasNext,
        next_load: Some(PeerLoad {
            load: load(),
            reported_at: NOW,
        }),
    }
}

fn load() -> TargetLoad {
    TargetLoad {
        requests: 2,
        slots: 4,
        connections: 900,
        connection_limit: 2_000,
    }
}

fn peer_view(port: u16) -> PeerView {
    PeerView {
        target: target(port),
        request_load_permille: 500,
        reported_at: Some(NOW),
    }
}

fn target(port: u16) -> TargetKey {
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}
