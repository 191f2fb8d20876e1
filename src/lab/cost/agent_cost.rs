use std::hint::black_box;

use super::{CostEffort, CostLine, sample_routes::target_route, stop_watch::nanos_each};
use crate::{
    agent::{
        admission::{
            AcceptRule, AdmissionGate, AgentPhase, CandidatePlace, ClientCid, ConnectionOffer,
            TargetLoad,
        },
        slot::{SlotLimits, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict},
        ticket::{LedgerLimits, RequestFingerprint, RunOutcome, TicketLedger, TicketVerdict},
    },
    clock::ClockMillis,
    lab::LabError,
    manifest::RequestPriority,
    proof::{CallLine, CallProof},
    secret::{DeploymentSecret, KeyRing},
};

const ROLE: &str = "agent";
/// Decisions of one batch.
const ROUNDS: usize = 100_000;
/// Requests of one millisecond of the made-up time.
const EACH_MILLI: usize = 10;

/// Measures the decisions of an agent.
pub(super) fn measure_agent(effort: CostEffort) -> Result<Vec<CostLine>, LabError> {
    let keys = KeyRing::new(&DeploymentSecret::random(1))?;
    let rounds = effort.rounds(ROUNDS);
    Ok(vec![
        admission(rounds),
        slots(rounds),
        tickets(&keys, rounds),
        proofs(&keys, rounds / 10),
    ])
}

fn admission(rounds: usize) -> CostLine {
    let mut gate = AdmissionGate::new(AcceptRule::DEFAULT, AgentPhase::Serving);
    let load = TargetLoad {
        requests: 2,
        slots: 4,
        connections: 100,
        connection_limit: 2_000,
    };
    let mut number = 0_u64;
    let nanos = nanos_each(rounds, |_| {
        number += 1;
        let Some(cid) = ClientCid::new(&number.to_be_bytes()) else {
            return;
        };
        let offer = ConnectionOffer {
            cid,
            place: CandidatePlace::Followed,
            next: None,
        };
        let now = ClockMillis::new(number / EACH_MILLI as u64);
        black_box(gate.admit(offer, load, now));
    });
    CostLine::new(ROLE, "decision on a new connection", nanos, "ns")
}

fn slots(rounds: usize) -> CostLine {
    let limits = SlotLimits {
        slots: 4,
        queue: 64,
        reserve: 1,
    };
    let mut queue = SlotQueue::new(limits);
    let nanos = nanos_each(rounds, |round| {
        let now = ClockMillis::new((round / EACH_MILLI) as u64);
        let request = SlotRequest {
            priority: RequestPriority::Normal,
            deadline: ClockMillis::new(u64::MAX),
            origin: SlotOrigin::Own,
        };
        let (verdict, _) = queue.request(request, now);
        if let SlotVerdict::Run(slot) = verdict {
            black_box(queue.release(slot, now));
        }
    });
    CostLine::new(
        ROLE,
        "slot for a request, taken and given back",
        nanos,
        "ns",
    )
}

fn tickets(keys: &KeyRing, rounds: usize) -> CostLine {
    let target = target_route(0, 0, 0);
    let limits = LedgerLimits::DEFAULT;
    let mut ledger = TicketLedger::new(target.key, target.service, target.incarnation, limits);
    let fingerprint = RequestFingerprint::new("POST", "/feed/start", Some(200));
    // A ledger holds so many tickets; a batch stays below.
    let rounds = rounds.min(limits.tickets / 8);
    let nanos = nanos_each(rounds, |_| {
        let now = ClockMillis::ORIGIN;
        let text = ledger.mint(keys, now);
        if let TicketVerdict::Run(run) = ledger.present(&text, keys, fingerprint, now) {
            ledger.settle(run, RunOutcome::NotRun, now);
        }
    });
    let measure = "ticket minted, presented and settled";
    CostLine::new(ROLE, measure, nanos, "ns")
}

fn proofs(keys: &KeyRing, rounds: usize) -> CostLine {
    let line = CallLine {
        method: "POST",
        path: "/",
    };
    let body = [b' '; 200];
    let time = ClockMillis::new(1_000);
    let nanos = nanos_each(rounds.max(1), |round| {
        let proof = CallProof::new(keys.active(), line, &body, time, round as u64);
        black_box(proof.verify(keys, line, time).is_ok());
        black_box(proof.verify_body(&body).is_ok());
    });
    let measure = "proof of a call of 200 bytes, signed and verified";
    CostLine::new("control", measure, nanos / 1e3, "\u{b5}s")
}
