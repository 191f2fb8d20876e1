//! One command under one ticket, resent to agents that are killed, drained and
//! partitioned from each other.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use slotmap::SlotMap;

use super::{
    super::{
        CallerDeparture, RequestAction, RequestEvent, RequestMachine, RequestStage, RunPlace,
        SettledRun,
    },
    single_request::{TestEvent, any_test_event, profile},
};
use crate::{
    agent::{
        outcome::{FinalAnswer, RunState},
        retry::{AttemptFailure, RetryBudget},
        slot::SlotKey,
        tests::fixed_cases,
        ticket::{
            DetachVerdict, HandoverStore, KeptOutcome, LedgerLimits, RequestFingerprint, RunKey,
            RunOutcome, SealedTicket, TicketLedger, TicketVerdict,
        },
    },
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
    secret::{DeploymentSecret, KeyRing, SecretEpoch},
};

const AGENTS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// The caller sends or resends the command to an agent.
    Send(usize),
    /// An event of the run at an agent.
    RunEvent(usize, TestEvent),
    /// A caller of the run at an agent leaves or cancels.
    CallerLeaves(usize, bool),
    /// An agent is killed and restarts.
    Kill(usize),
    /// An agent drains, hands its tickets over to a peer and restarts.
    HandOver(usize, usize),
    /// Agents can't reach each other, or can again.
    SetPartitioned(bool),
    /// Advances the clock.
    AdvanceTime(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..AGENTS).prop_map(Step::Send),
        10 => (0..AGENTS, any_test_event()).prop_map(|(at, event)| Step::RunEvent(at, event)),
        2 => (0..AGENTS, any::<bool>()).prop_map(|(at, cancel)| Step::CallerLeaves(at, cancel)),
        1 => (0..AGENTS).prop_map(Step::Kill),
        1 => (0..AGENTS, 0..AGENTS).prop_map(|(from, to)| Step::HandOver(from, to)),
        1 => any::<bool>().prop_map(Step::SetPartitioned),
        1 => (0u64..200_000).prop_map(Step::AdvanceTime),
    ]
}

struct Run {
    key: RunKey,
    machine: RequestMachine,
}

struct Agent {
    incarnation: IncarnationId,
    ledger: TicketLedger,
    handed_over: HandoverStore,
    run: Option<Run>,
}

struct SimulatedAgents {
    key_ring: KeyRing,
    slots: SlotMap<SlotKey, ()>,
    budget: RetryBudget,
    agents: Vec<Agent>,
    next_incarnation: u64,
    partitioned: bool,
    now: ClockMillis,
    ticket: String,
    runs: u32,
    answered_not_run: bool,
}

fn target(index: usize) -> TargetKey {
    let port = u16::try_from(index + 1).expect("few agents");
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

fn agent(index: usize, incarnation: u64) -> Agent {
    let incarnation = IncarnationId::new(incarnation);
    let service = ServiceNumber::new(1);
    let limits = LedgerLimits::DEFAULT;
    Agent {
        incarnation,
        ledger: TicketLedger::new(target(index), service, incarnation, limits),
        handed_over: HandoverStore::default(),
        run: None,
    }
}

impl SimulatedAgents {
    fn new() -> Self {
        let secret = DeploymentSecret {
            active: 1,
            epochs: vec![SecretEpoch {
                epoch: 1,
                secret: vec![5; 32],
            }],
        };
        let key_ring = KeyRing::new(&secret).expect("a valid secret");
        let mut agents: Vec<Agent> = (0..AGENTS)
            .map(|index| agent(index, index as u64))
            .collect();
        let ticket = agents[0].ledger.mint(&key_ring, ClockMillis::ORIGIN);
        Self {
            key_ring,
            slots: SlotMap::with_key(),
            budget: RetryBudget::new(50),
            agents,
            next_incarnation: 100,
            partitioned: false,
            now: ClockMillis::ORIGIN,
            ticket,
            runs: 0,
            answered_not_run: false,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send(at) => self.send(at),
            Step::RunEvent(at, test_event) => self.apply_test_event(at, test_event),
            Step::CallerLeaves(at, cancel) => self.caller_leaves(at, cancel),
            Step::Kill(at) => self.restart(at),
            Step::HandOver(from, to) => self.hand_over(from, to),
            Step::SetPartitioned(partitioned) => self.partitioned = partitioned,
            Step::AdvanceTime(span) => self.now = ClockMillis::new(self.now.millis() + span),
        }
    }

    fn restart(&mut self, at: usize) {
        self.next_incarnation += 1;
        let handed_over = std::mem::take(&mut self.agents[at].handed_over);
        self.agents[at] = agent(at, self.next_incarnation);
        // A killed agent loses the ledgers handed over to it; keeping them is the harder case.
        self.agents[at].handed_over = handed_over;
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        if from == to || self.agents[from].run.is_some() {
            return;
        }
        let handover = self.agents[from].ledger.hand_over(self.now);
        self.agents[to].handed_over.insert(handover, self.now);
        self.restart(from);
    }

    fn send(&mut self, at: usize) {
        let fingerprint = RequestFingerprint::new("POST", "/feed", Some(1));
        let agent = &mut self.agents[at];
        match agent
            .ledger
            .present(&self.ticket, &self.key_ring, fingerprint, self.now)
        {
            TicketVerdict::Relay(ticket) => self.relay(at, ticket, fingerprint),
            verdict => self.apply_verdict(at, verdict),
        }
    }

    fn relay(&mut self, at: usize, ticket: SealedTicket, fingerprint: RequestFingerprint) {
        if let Some(verdict) = self.agents[at]
            .handed_over
            .present(ticket, fingerprint, self.now)
        {
            return self.apply_verdict(at, verdict);
        }
        let home = (0..AGENTS).find(|index| {
            target(*index) == ticket.home && self.agents[*index].incarnation == ticket.incarnation
        });
        match home {
            Some(home) if !self.partitioned => self.send(home),
            _ => self.record_answer(&FinalAnswer::OutcomeUnknown),
        }
    }

    fn apply_verdict(&mut self, at: usize, verdict: TicketVerdict) {
        match verdict {
            TicketVerdict::Run(key) => {
                let machine = RequestMachine::new(profile(false, true));
                let earlier = self.agents[at].run.replace(Run { key, machine });
                assert!(
                    earlier.is_none(),
                    "a run began while another was in progress"
                );
            }
            TicketVerdict::Await(_) => assert!(self.agents[at].run.is_some()),
            TicketVerdict::Replay(_) => assert_eq!(self.runs, 1, "an answer without a run"),
            TicketVerdict::Relay(_) => panic!("a ticket's home never relays it"),
            TicketVerdict::Answer(answer) => self.record_answer(&answer),
        }
    }

    fn apply_test_event(&mut self, at: usize, test_event: TestEvent) {
        // Departures are covered by `Step::CallerLeaves`.
        if matches!(test_event, TestEvent::Event(RequestEvent::CallerLeft(_))) {
            return;
        }
        let event = match test_event {
            TestEvent::GrantSlot => RequestEvent::SlotGranted(self.slots.insert(())),
            TestEvent::Event(event) => event,
        };
        self.handle(at, event);
    }

    fn caller_leaves(&mut self, at: usize, cancel: bool) {
        let Some(run) = &self.agents[at].run else {
            return;
        };
        let key = run.key;
        let departure = match (self.agents[at].ledger.detach(key), cancel) {
            (DetachVerdict::OthersWait, _) => CallerDeparture::OthersWait,
            (DetachVerdict::NoCallerWaits, true) => CallerDeparture::Cancelled,
            (DetachVerdict::NoCallerWaits, false) => CallerDeparture::Lost,
        };
        self.handle(at, RequestEvent::CallerLeft(departure));
    }

    fn handle(&mut self, at: usize, event: RequestEvent) {
        let Some(run) = &mut self.agents[at].run else {
            return;
        };
        // These events report that the request that was sent did not run.
        let refused = match (event, run.machine.stage()) {
            (RequestEvent::AttemptFailed(failure), RequestStage::Sent(_)) => {
                failure == AttemptFailure::NotRun
            }
            (RequestEvent::GrantLost, RequestStage::Sent(RunPlace::Peer(_))) => true,
            _ => false,
        };
        let actions = run.machine.handle(event, &mut self.budget, self.now);
        if refused {
            self.runs -= 1;
        }
        self.apply(at, actions);
    }

    fn apply(&mut self, at: usize, actions: Vec<RequestAction>) {
        for action in actions {
            match action {
                RequestAction::Send(_) => {
                    self.runs += 1;
                    assert!(self.runs <= 1, "the command ran twice");
                    assert!(
                        !self.answered_not_run,
                        "it ran after an answer said that it had not"
                    );
                }
                RequestAction::Answer(answer) => self.record_answer(&answer),
                RequestAction::SettleTicket(settled) => self.settle(at, settled),
                RequestAction::RetryElsewhere => {
                    if let Some(run) = &mut self.agents[at].run {
                        run.machine.start_at(RunPlace::Peer(target(2)));
                    }
                }
                _ => {}
            }
        }
    }

    fn settle(&mut self, at: usize, settled: SettledRun) {
        let Some(run) = self.agents[at].run.take() else {
            return;
        };
        let outcome = match settled {
            SettledRun::Finished => RunOutcome::Finished(KeptOutcome {
                status: 200,
                headers: Vec::new(),
                body: Vec::new(),
            }),
            SettledRun::Unknown => RunOutcome::Unknown,
            SettledRun::NotRun => RunOutcome::NotRun,
            SettledRun::Withdrawn => RunOutcome::Withdrawn,
        };
        let ledger = &mut self.agents[at].ledger;
        ledger.settle(run.key, outcome, self.now);
        let outcome_verdict = ledger.outcome(run.key);
        if let (Some(TicketVerdict::Answer(answer)), true) =
            (outcome_verdict, settled != SettledRun::Withdrawn)
        {
            self.record_answer(&answer);
        }
    }

    fn record_answer(&mut self, answer: &FinalAnswer) {
        if answer.run_state() == RunState::NotRun {
            assert_eq!(
                self.runs, 0,
                "answered not run after it may have run: {answer:?}"
            );
            self.answered_not_run = true;
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(1_000))]

    #[test]
    fn a_command_runs_at_most_once_and_not_run_answers_are_true(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut simulation = SimulatedAgents::new();
        for step in steps {
            simulation.step(step);
        }
    }
}
