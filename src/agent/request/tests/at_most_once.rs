//! One command under one ticket, sent again and again to agents that are
//! killed, drained and cut off from each other.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use slotmap::SlotMap;

use super::{
    super::{
        CallerDeparture, RequestAction, RequestEvent, RequestMachine, RequestStage, RunPlace,
        SettledRun,
    },
    single_request::{Happening, any_happening, profile},
};
use crate::{
    agent::{
        outcome::{FinalAnswer, RunState},
        retry::{AttemptFailure, RetryBudget},
        slot::SlotKey,
        tests::fixed_cases,
        ticket::{
            DetachVerdict, HeirStore, KeptOutcome, LedgerLimits, RequestFingerprint, RunKey,
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
    /// The caller sends the command, for the first time or again.
    Send(usize),
    /// Something happens to a run at an agent.
    Happen(usize, Happening),
    /// A caller of a run goes away.
    Leave(usize, bool),
    /// An agent is killed and starts again.
    Kill(usize),
    /// An agent leaves in order and starts again; a peer is its heir.
    HandOver(usize, usize),
    /// Two agents stop hearing each other, or hear each other again.
    Partition(bool),
    /// Time passes.
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..AGENTS).prop_map(Step::Send),
        10 => (0..AGENTS, any_happening()).prop_map(|(at, event)| Step::Happen(at, event)),
        2 => (0..AGENTS, any::<bool>()).prop_map(|(at, cancel)| Step::Leave(at, cancel)),
        1 => (0..AGENTS).prop_map(Step::Kill),
        1 => (0..AGENTS, 0..AGENTS).prop_map(|(from, to)| Step::HandOver(from, to)),
        1 => any::<bool>().prop_map(Step::Partition),
        1 => (0u64..200_000).prop_map(Step::Pass),
    ]
}

struct Run {
    key: RunKey,
    machine: RequestMachine,
}

struct Agent {
    incarnation: IncarnationId,
    ledger: TicketLedger,
    heirs: HeirStore,
    run: Option<Run>,
}

struct World {
    ring: KeyRing,
    slots: SlotMap<SlotKey, ()>,
    budget: RetryBudget,
    agents: Vec<Agent>,
    next_incarnation: u64,
    cut_off: bool,
    now: ClockMillis,
    ticket: String,
    runs: u32,
    told_not_run: bool,
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
        heirs: HeirStore::default(),
        run: None,
    }
}

impl World {
    fn new() -> Self {
        let secret = DeploymentSecret {
            active: 1,
            epochs: vec![SecretEpoch {
                epoch: 1,
                secret: vec![5; 32],
            }],
        };
        let ring = KeyRing::new(&secret).expect("a good secret");
        let mut agents: Vec<Agent> = (0..AGENTS)
            .map(|index| agent(index, index as u64))
            .collect();
        let ticket = agents[0].ledger.mint(&ring, ClockMillis::ORIGIN);
        Self {
            ring,
            slots: SlotMap::with_key(),
            budget: RetryBudget::new(50),
            agents,
            next_incarnation: 100,
            cut_off: false,
            now: ClockMillis::ORIGIN,
            ticket,
            runs: 0,
            told_not_run: false,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send(at) => self.send(at),
            Step::Happen(at, happening) => self.happen(at, happening),
            Step::Leave(at, cancel) => self.leave(at, cancel),
            Step::Kill(at) => self.restart(at),
            Step::HandOver(from, to) => self.hand_over(from, to),
            Step::Partition(cut_off) => self.cut_off = cut_off,
            Step::Pass(span) => self.now = ClockMillis::new(self.now.millis() + span),
        }
    }

    fn restart(&mut self, at: usize) {
        self.next_incarnation += 1;
        let heirs = std::mem::take(&mut self.agents[at].heirs);
        self.agents[at] = agent(at, self.next_incarnation);
        // A killed agent loses what it held; keeping it is the harder case.
        self.agents[at].heirs = heirs;
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        if from == to || self.agents[from].run.is_some() {
            return;
        }
        let handover = self.agents[from].ledger.hand_over(self.now);
        self.agents[to].heirs.take_over(handover, self.now);
        self.restart(from);
    }

    fn send(&mut self, at: usize) {
        let print = RequestFingerprint::new("POST", "/feed", Some(1));
        let agent = &mut self.agents[at];
        match agent
            .ledger
            .present(&self.ticket, &self.ring, print, self.now)
        {
            TicketVerdict::Relay(ticket) => self.relay(at, ticket, print),
            verdict => self.follow(at, verdict),
        }
    }

    fn relay(&mut self, at: usize, ticket: SealedTicket, print: RequestFingerprint) {
        if let Some(verdict) = self.agents[at].heirs.present(ticket, print, self.now) {
            return self.follow(at, verdict);
        }
        let home = (0..AGENTS).find(|index| {
            target(*index) == ticket.home && self.agents[*index].incarnation == ticket.incarnation
        });
        match home {
            Some(home) if !self.cut_off => self.send(home),
            _ => self.tell(&FinalAnswer::OutcomeUnknown),
        }
    }

    fn follow(&mut self, at: usize, verdict: TicketVerdict) {
        match verdict {
            TicketVerdict::Run(key) => {
                let machine = RequestMachine::new(profile(false, true));
                let earlier = self.agents[at].run.replace(Run { key, machine });
                assert!(
                    earlier.is_none(),
                    "a run began while another was on its way"
                );
            }
            TicketVerdict::Await(_) => assert!(self.agents[at].run.is_some()),
            TicketVerdict::Replay(_) => assert_eq!(self.runs, 1, "an answer without a run"),
            TicketVerdict::Relay(_) => panic!("a home never relays its own ticket"),
            TicketVerdict::Answer(answer) => self.tell(&answer),
        }
    }

    fn happen(&mut self, at: usize, happening: Happening) {
        // How callers leave is a step of its own.
        if matches!(happening, Happening::Event(RequestEvent::CallerLeft(_))) {
            return;
        }
        let event = match happening {
            Happening::Slot => RequestEvent::SlotGranted(self.slots.insert(())),
            Happening::Event(event) => event,
        };
        self.handle(at, event);
    }

    fn leave(&mut self, at: usize, cancel: bool) {
        let Some(run) = &self.agents[at].run else {
            return;
        };
        let key = run.key;
        let departure = match (self.agents[at].ledger.detach(key), cancel) {
            (DetachVerdict::OthersWait, _) => CallerDeparture::OthersWait,
            (DetachVerdict::NobodyWaits, true) => CallerDeparture::Cancelled,
            (DetachVerdict::NobodyWaits, false) => CallerDeparture::Lost,
        };
        self.handle(at, RequestEvent::CallerLeft(departure));
    }

    fn handle(&mut self, at: usize, event: RequestEvent) {
        let Some(run) = &mut self.agents[at].run else {
            return;
        };
        // A place that surely did not run it says so before it runs.
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
                    assert!(!self.told_not_run, "it ran after it was told not to run");
                }
                RequestAction::Answer(answer) => self.tell(&answer),
                RequestAction::SettleTicket(settled) => self.settle(at, settled),
                RequestAction::OpenElsewhere => {
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
        let told = ledger.outcome(run.key);
        if let (Some(TicketVerdict::Answer(answer)), true) =
            (told, settled != SettledRun::Withdrawn)
        {
            self.tell(&answer);
        }
    }

    fn tell(&mut self, answer: &FinalAnswer) {
        if answer.run_state() == RunState::NotRun {
            assert_eq!(
                self.runs, 0,
                "told not run after it may have run: {answer:?}"
            );
            self.told_not_run = true;
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(1_000))]

    #[test]
    fn a_command_runs_at_most_once_and_not_run_is_true(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }
}
