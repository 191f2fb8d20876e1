use std::hint::black_box;

use super::{CostEffort, CostResult, batch_timer::nanos_per_call, sample_routes::target_route};
use crate::{
    agent::{
        admission::{
            AcceptRule, AdmissionGate, AgentPhase, CandidatePosition, ClientCid, ConnectionAttempt,
            TargetLoad,
        },
        slot::{SlotLimits, SlotOrigin, SlotQueue, SlotRequest, SlotVerdict},
        ticket::{LedgerLimits, RequestFingerprint, RunOutcome, TicketLedger, TicketVerdict},
    },
    clock::ClockMillis,
    lab::LabError,
    manifest::RequestPriority,
    proof::{CallHead, CallProof},
    secret::{DeploymentSecret, KeyRing},
};

const ROLE: &str = "agent";
/// Decisions per batch.
const ROUNDS: usize = 100_000;
/// Decisions per millisecond of simulated time.
const DECISIONS_PER_MILLI: usize = 10;

/// Measures an agent's decisions and the proof of a call to control.
pub(super) fn measure_agent(effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
    let keys = KeyRing::new(&DeploymentSecret::random(1))?;
    let rounds = effort.rounds(ROUNDS);
    Ok(vec![
        measure_admission(rounds),
        measure_slots(rounds),
        measure_tickets(&keys, rounds),
        measure_proofs(&keys, rounds / 10),
    ])
}

fn measure_admission(rounds: usize) -> CostResult {
    let mut gate = AdmissionGate::new(AcceptRule::DEFAULT, AgentPhase::Serving);
    let load = TargetLoad {
        requests: 2,
        slots: 4,
        connections: 100,
        connection_limit: 2_000,
    };
    let mut number = 0_u64;
    let nanos = nanos_per_call(rounds, |_| {
        number += 1;
        let Some(cid) = ClientCid::new(&number.to_be_bytes()) else {
            return;
        };
        let attempt = ConnectionAttempt {
            cid,
            position: CandidatePosition::HasNext,
            next_load: None,
        };
        let now = ClockMillis::new(number / DECISIONS_PER_MILLI as u64);
        black_box(gate.admit(attempt, load, now));
    });
    CostResult::new(ROLE, "decision on a new connection", nanos, "ns")
}

fn measure_slots(rounds: usize) -> CostResult {
    let limits = SlotLimits {
        slots: 4,
        queue: 64,
        reserve: 1,
    };
    let mut queue = SlotQueue::new(limits);
    let nanos = nanos_per_call(rounds, |round| {
        let now = ClockMillis::new((round / DECISIONS_PER_MILLI) as u64);
        let request = SlotRequest {
            priority: RequestPriority::Normal,
            deadline: ClockMillis::new(u64::MAX),
            origin: SlotOrigin::Local,
        };
        let (verdict, _) = queue.request(request, now);
        if let SlotVerdict::Run(slot) = verdict {
            black_box(queue.release(slot, now));
        }
    });
    CostResult::new(
        ROLE,
        "slot for a request, taken and given back",
        nanos,
        "ns",
    )
}

fn measure_tickets(keys: &KeyRing, rounds: usize) -> CostResult {
    let target = target_route(0, 0, 0);
    let limits = LedgerLimits::DEFAULT;
    let mut ledger = TicketLedger::new(target.key, target.service, target.incarnation, limits);
    let fingerprint = RequestFingerprint::new("POST", "/feed/start", Some(200));
    // All batches together must stay below the ledger's capacity.
    let rounds = rounds.min(limits.tickets / 8);
    let nanos = nanos_per_call(rounds, |_| {
        let now = ClockMillis::ORIGIN;
        let text = ledger.mint(keys, now);
        if let TicketVerdict::Run(run) = ledger.present(&text, keys, fingerprint, now) {
            ledger.settle(run, RunOutcome::NotRun, now);
        }
    });
    let measure = "ticket minted, presented and settled";
    CostResult::new(ROLE, measure, nanos, "ns")
}

fn measure_proofs(keys: &KeyRing, rounds: usize) -> CostResult {
    let head = CallHead {
        method: "POST",
        path: "/",
    };
    let body = [b' '; 200];
    let time = ClockMillis::new(1_000);
    let nanos = nanos_per_call(rounds.max(1), |round| {
        let proof = CallProof::new(keys.active(), head, &body, time, round as u64);
        black_box(proof.verify(keys, head, time).is_ok());
        black_box(proof.verify_body(&body).is_ok());
    });
    let measure = "proof of a call of 200 bytes, signed and verified";
    CostResult::new("control", measure, nanos / 1e3, "\u{b5}s")
}
