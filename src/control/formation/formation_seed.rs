use rand::{Rng, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    AcceptorState, FormationBody, FormationMessage, GroupProposal,
    formation_limits::{QUIET_MILLIS, RETRY_MILLIS},
    founder_registry::FounderRegistry,
    seed_acceptor::{AcceptorReply, SeedAcceptor},
    seed_proposer::SeedProposer,
};
use crate::{
    clock::ClockMillis,
    control::replica::{MemberId, ReplicaId},
};

/// The settings of a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FormationSettings {
    pub(crate) own: ReplicaId,
    /// All seeds, with this one.
    pub(crate) seeds: Vec<ReplicaId>,
    /// How many replicas may fail at once.
    pub(crate) tolerated_losses: usize,
}

/// What a seed remembers of an earlier run when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SeedMemory {
    /// It runs for the first time.
    FirstStart,
    /// Everything: the state was kept on a disk.
    Kept(AcceptorState),
    /// Nothing, though it may have run before.
    Lost,
}

/// An output of a seed, to be executed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FormationAction {
    /// Sync the state; what follows must not be sent before.
    Persist(AcceptorState),
    /// Send a message, which may be lost, possibly to this seed itself.
    Send {
        to: ReplicaId,
        message: FormationMessage,
    },
    /// Tell this process that the seeds have agreed.
    Formed(GroupProposal),
}

/// A seed's part in forming the group, without I/O.
#[derive(Debug)]
pub(crate) struct FormationSeed {
    settings: FormationSettings,
    electorate: u64,
    acceptor: SeedAcceptor,
    proposer: SeedProposer,
    registry: FounderRegistry,
    formed: Option<GroupProposal>,
    started_at: ClockMillis,
    retry_at: ClockMillis,
    /// Whether a process that has run since the first start said that it knows no group.
    no_group_heard: bool,
    rng: StdRng,
    actions: Vec<FormationAction>,
}

impl FormationSeed {
    /// Creates the seed; `random_seed` must differ from run to run.
    pub(crate) fn new(
        mut settings: FormationSettings,
        memory: SeedMemory,
        random_seed: u64,
        now: ClockMillis,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(random_seed);
        if let SeedMemory::Kept(state) = &memory {
            settings.seeds.clone_from(&state.seeds);
        }
        settings.seeds.sort_unstable();
        settings.seeds.dedup();
        let empty = AcceptorState::new(settings.seeds.clone(), rng.random());
        let mut actions = Vec::new();
        let acceptor = match memory {
            SeedMemory::FirstStart => {
                actions.push(FormationAction::Persist(empty.clone()));
                SeedAcceptor::new(empty)
            }
            SeedMemory::Kept(state) => SeedAcceptor::new(state),
            SeedMemory::Lost => SeedAcceptor::without_memory(empty),
        };
        Self {
            electorate: electorate_of(&settings.seeds),
            acceptor,
            proposer: SeedProposer::new(settings.own, rng.random(), &settings.seeds),
            registry: FounderRegistry::default(),
            formed: None,
            started_at: now,
            retry_at: now,
            no_group_heard: false,
            rng,
            actions,
            settings,
        }
    }

    /// Returns whether this seed has forgotten what it promised before a restart.
    pub(crate) fn has_forgotten(&self) -> bool {
        self.acceptor.has_forgotten()
    }

    /// Runs what is due. A process that knows a group does not call it.
    pub(crate) fn tick(&mut self, now: ClockMillis) -> Vec<FormationAction> {
        if self.formed.is_none() {
            if self.acceptor.has_forgotten() {
                self.recover_memory(now);
            } else {
                self.propose(now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles a message of another process, or of this one.
    pub(crate) fn receive(
        &mut self,
        message: FormationMessage,
        now: ClockMillis,
    ) -> Vec<FormationAction> {
        let from = message.from;
        match message.body {
            FormationBody::Register { member, storage } if member.replica == from => {
                self.registry.register(member, storage, now);
                self.tell_formed(member);
            }
            FormationBody::NoGroupKnown => self.no_group_heard = true,
            body if message.electorate == self.electorate
                && self.settings.seeds.contains(&from) =>
            {
                self.receive_from_seed(from, body, now);
            }
            _ => {}
        }
        std::mem::take(&mut self.actions)
    }

    fn receive_from_seed(&mut self, from: ReplicaId, body: FormationBody, now: ClockMillis) {
        match body {
            FormationBody::Prepare { ballot } if ballot.proposer == from => {
                self.proposer.note_round(ballot.round);
                let reply = self.acceptor.prepare(ballot);
                self.answer(from, reply);
            }
            FormationBody::Accept { ballot, proposal } if ballot.proposer == from => {
                self.proposer.note_round(ballot.round);
                let reply = self.acceptor.accept(ballot, &proposal);
                self.answer(from, reply);
            }
            FormationBody::Promise {
                ballot,
                view,
                accepted,
            } => {
                let next = self
                    .proposer
                    .note_promise(from, ballot, view, accepted, &mut self.rng);
                self.send_to_seeds(next.as_ref());
            }
            FormationBody::Accepted { ballot, view } => {
                if let Some(proposal) = self.proposer.note_accepted(from, ballot, view) {
                    self.note_formed(proposal);
                }
            }
            FormationBody::Rejected { ballot, promised } => {
                self.proposer
                    .note_rejected(ballot, promised, &mut self.rng, now);
            }
            FormationBody::Formed { proposal } if proposal.is_valid() => {
                if self.formed.is_none() {
                    self.formed = Some(proposal.clone());
                    self.actions.push(FormationAction::Formed(proposal));
                }
            }
            FormationBody::RecoveryRequest { incarnation } if from != self.settings.own => {
                let reply = self.acceptor.help_recovery(from, incarnation);
                self.answer(from, reply);
            }
            FormationBody::RecoveryState { incarnation, memo } => {
                if self.acceptor.recover(from, incarnation, memo) {
                    let state = self.acceptor.state().clone();
                    self.actions.push(FormationAction::Persist(state));
                }
            }
            FormationBody::Prepare { .. }
            | FormationBody::Accept { .. }
            | FormationBody::Formed { .. }
            | FormationBody::RecoveryRequest { .. }
            | FormationBody::Register { .. }
            | FormationBody::NoGroupKnown => {}
        }
    }

    /// Asks the other seeds what they remember. The only seed has nobody to ask: after
    /// some time it counts as one that starts for the first time, if a process that has
    /// run since then has never heard of a group.
    fn recover_memory(&mut self, now: ClockMillis) {
        let is_only_seed = self.settings.seeds.len() == 1;
        let is_quiet = now.since(self.started_at) >= QUIET_MILLIS;
        if is_only_seed && is_quiet && self.no_group_heard {
            self.acceptor.trust_empty_state();
            let state = self.acceptor.state().clone();
            self.actions.push(FormationAction::Persist(state));
        } else if now >= self.retry_at {
            self.retry_at = now.after(RETRY_MILLIS);
            let incarnation = self.acceptor.state().view.own;
            self.send_to_seeds(Some(&FormationBody::RecoveryRequest { incarnation }));
        }
    }

    fn propose(&mut self, now: ClockMillis) {
        let waited = now.since(self.started_at);
        let is_accepted = self.acceptor.state().accepted.is_some();
        let founders = self
            .registry
            .founders(&self.settings, waited, now)
            .or_else(|| is_accepted.then(Vec::new));
        let next = self.proposer.tick(founders, &mut self.rng, now);
        self.send_to_seeds(next.as_ref());
    }

    fn note_formed(&mut self, proposal: GroupProposal) {
        if self.formed.is_some() {
            return;
        }
        self.formed = Some(proposal.clone());
        let message = FormationBody::Formed {
            proposal: proposal.clone(),
        };
        let founders: Vec<ReplicaId> = proposal.replicas().collect();
        for founder in founders {
            if !self.settings.seeds.contains(&founder) {
                self.send(founder, message.clone());
            }
        }
        let own = self.settings.own;
        for seed in self.settings.seeds.clone() {
            if seed != own {
                self.send(seed, message.clone());
            }
        }
        self.actions.push(FormationAction::Formed(proposal));
    }

    /// Tells a founder that registers that the group has formed.
    fn tell_formed(&mut self, member: MemberId) {
        if let Some(proposal) = &self.formed
            && proposal.founders.contains(&member)
        {
            let proposal = proposal.clone();
            self.send(member.replica, FormationBody::Formed { proposal });
        }
    }

    fn answer(&mut self, to: ReplicaId, reply: AcceptorReply) {
        if reply.changed {
            let state = self.acceptor.state().clone();
            self.actions.push(FormationAction::Persist(state));
        }
        if let Some(body) = reply.body {
            self.send(to, body);
        }
    }

    fn send_to_seeds(&mut self, body: Option<&FormationBody>) {
        let Some(body) = body else { return };
        for seed in self.settings.seeds.clone() {
            self.send(seed, body.clone());
        }
    }

    fn send(&mut self, to: ReplicaId, body: FormationBody) {
        let message = FormationMessage {
            from: self.settings.own,
            electorate: self.electorate,
            body,
        };
        self.actions.push(FormationAction::Send { to, message });
    }
}

/// Returns the number that identifies a sorted list of seeds.
fn electorate_of(seeds: &[ReplicaId]) -> u64 {
    let bytes: Vec<u8> = seeds
        .iter()
        .flat_map(|seed| seed.address().octets())
        .collect();
    xxh3_64(&bytes)
}
