//! Simulates the VMs of a first start: seeds, replicas and processes that only ask.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    simulated_messages::{Content, Envelope},
    site_shape::{Conditions, SiteShape, VmKind},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        formation::{
            AcceptorState, FormationAction, FormationSeed, FormationSettings, GroupProposal,
            SeedMemory,
        },
        replica::{DiskId, GroupId, MemberId, ReplicaId},
    },
};

pub(super) const STEP_MILLIS: SpanMillis = SpanMillis::new(10);
/// Interval between the ticks of a process.
const TICK_MILLIS: SpanMillis = SpanMillis::new(50);
pub(super) struct Process {
    /// Whether it was started with `bootstrap` on.
    pub(super) bootstrap: bool,
    pub(super) seed: Option<FormationSeed>,
    pub(super) founder: Option<MemberId>,
    /// The group that it knows.
    pub(super) known: Option<GroupId>,
    /// The group that it has joined as a founder in memory.
    pub(super) joined: Option<GroupId>,
    /// Batches of actions that wait to be synced, oldest first.
    unsynced: Vec<(ClockMillis, Vec<FormationAction>)>,
    tick_at: ClockMillis,
    pub(super) register_at: ClockMillis,
    /// When it tells the next seed of the group; `None` until it has told all once.
    pub(super) notice_at: Option<ClockMillis>,
}

#[derive(Default)]
pub(super) struct DiskContent {
    id: Option<DiskId>,
    state: Option<AcceptorState>,
    pub(super) joined: Option<GroupId>,
}

pub(super) struct FormationSimulator {
    shape: SiteShape,
    pub(super) kinds: Vec<VmKind>,
    pub(super) processes: Vec<Option<Process>>,
    pub(super) disks: Vec<DiskContent>,
    /// The VMs that have been started once.
    started: Vec<bool>,
    pub(super) in_flight: Vec<Envelope>,
    pub(super) cut: BTreeSet<usize>,
    pub(super) conditions: Conditions,
    pub(super) now: ClockMillis,
    pub(super) rng: StdRng,
    /// Every group that the seeds have agreed on.
    pub(super) agreed: BTreeMap<GroupId, GroupProposal>,
}

impl FormationSimulator {
    pub(super) fn new(shape: SiteShape, seed: u64) -> Self {
        let kinds: Vec<VmKind> = shape.seeds.iter().chain(&shape.others).copied().collect();
        let count = kinds.len();
        Self {
            shape,
            kinds,
            processes: (0..count).map(|_| None).collect(),
            disks: (0..count).map(|_| DiskContent::default()).collect(),
            started: vec![false; count],
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            conditions: Conditions::CALM,
            now: ClockMillis::new(1),
            rng: StdRng::seed_from_u64(seed),
            agreed: BTreeMap::new(),
        }
    }

    pub(super) fn vms(&self) -> usize {
        self.kinds.len()
    }

    pub(super) fn seeds(&self) -> usize {
        self.shape.seeds.len()
    }

    /// Returns whether a VM has never been started, once.
    pub(super) fn take_first_start(&mut self, vm: usize) -> bool {
        !std::mem::replace(&mut self.started[vm], true)
    }

    pub(super) fn runs(&self, vm: usize) -> bool {
        self.processes[vm].is_some()
    }

    /// Starts the process of a VM unless it runs.
    pub(super) fn start(&mut self, vm: usize, bootstrap: bool) {
        if self.runs(vm) {
            return;
        }
        let is_seed = vm < self.seeds();
        let kind = self.kinds[vm];
        let founder = match kind {
            VmKind::Disk => {
                let disk = *self.disks[vm]
                    .id
                    .get_or_insert_with(|| DiskId::new(self.rng.random()));
                Some(disk)
            }
            VmKind::Diskless if is_seed => Some(DiskId::new(self.rng.random())),
            VmKind::Diskless | VmKind::Agent => None,
        };
        let kept = self.disks[vm].state.clone();
        let memory = match kept {
            Some(state) => SeedMemory::Kept(state),
            None if bootstrap => SeedMemory::FirstStart,
            None => SeedMemory::Lost,
        };
        let settings = FormationSettings {
            own: replica_id(vm),
            seeds: (0..self.seeds()).map(replica_id).collect(),
            tolerated_losses: self.shape.tolerated_losses,
        };
        let random_seed = self.rng.random();
        let process = Process {
            bootstrap,
            seed: is_seed.then(|| FormationSeed::new(settings, memory, random_seed, self.now)),
            founder: founder.map(|disk| MemberId {
                replica: replica_id(vm),
                disk,
            }),
            known: self.disks[vm].joined,
            joined: None,
            unsynced: Vec::new(),
            tick_at: self.now,
            register_at: self.now,
            notice_at: None,
        };
        self.processes[vm] = Some(process);
    }

    /// Kills the process of a VM; what it has not synced is lost.
    pub(super) fn kill(&mut self, vm: usize) {
        self.processes[vm] = None;
    }

    /// Kills the process of a VM and empties its disk.
    pub(super) fn wipe(&mut self, vm: usize) {
        self.kill(vm);
        self.disks[vm] = DiskContent::default();
    }

    /// Runs all processes for a time span.
    pub(super) fn run(&mut self, span: SpanMillis) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }

    /// Advances the time by one step.
    pub(super) fn step(&mut self) {
        self.now = self.now.after(STEP_MILLIS);
        for vm in 0..self.vms() {
            self.sync_due(vm);
            self.tick(vm);
        }
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|envelope| envelope.due_at <= self.now);
        self.in_flight = later;
        let due: Vec<Envelope> = due;
        for envelope in due {
            self.deliver(envelope);
        }
    }

    /// Returns the groups that some disk or running process belongs to.
    pub(super) fn existing_groups(&self) -> BTreeSet<GroupId> {
        let on_disks = self.disks.iter().filter_map(|disk| disk.joined);
        let processes = self.processes.iter().flatten();
        on_disks
            .chain(processes.filter_map(|process| process.joined))
            .collect()
    }

    /// Returns the group that every running process knows and a majority of whose
    /// founders have joined and run.
    pub(super) fn working_group(&self) -> Option<GroupId> {
        let running = self.processes.iter().flatten();
        let known: BTreeSet<Option<GroupId>> = running.map(|process| process.known).collect();
        let group = match Vec::from_iter(known).as_slice() {
            [Some(group)] => *group,
            _ => return None,
        };
        let founders = &self.agreed.get(&group)?.founders;
        let joined = founders
            .iter()
            .filter(|founder| self.has_joined(founder, group));
        (joined.count() * 2 > founders.len()).then_some(group)
    }

    fn has_joined(&self, founder: &MemberId, group: GroupId) -> bool {
        let vm = vm_of(founder.replica);
        let on_disk = self.disks[vm].id == Some(founder.disk)
            && self.disks[vm].joined == Some(group)
            && self.runs(vm);
        let in_memory = self.processes[vm].as_ref().is_some_and(|process| {
            process.joined == Some(group) && process.founder == Some(*founder)
        });
        on_disk || in_memory
    }

    fn sync_due(&mut self, vm: usize) {
        while let Some(process) = &mut self.processes[vm]
            && process
                .unsynced
                .first()
                .is_some_and(|(due_at, _)| *due_at <= self.now)
        {
            let (_, actions) = process.unsynced.remove(0);
            self.execute(vm, actions);
        }
    }

    fn tick(&mut self, vm: usize) {
        let now = self.now;
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        if now >= process.tick_at && process.known.is_none() {
            process.tick_at = now.after(TICK_MILLIS);
            if let Some(seed) = &mut process.seed {
                let actions = seed.tick(now);
                self.submit(vm, actions);
            }
        }
        self.register(vm);
    }

    pub(super) fn submit(&mut self, vm: usize, actions: Vec<FormationAction>) {
        if actions.is_empty() {
            return;
        }
        let due_at = self.now.after(self.random_span(self.conditions.max_sync));
        match (&mut self.processes[vm], self.kinds[vm]) {
            (Some(process), VmKind::Disk) => {
                let last = process.unsynced.last().map(|(due_at, _)| *due_at);
                process
                    .unsynced
                    .push((last.map_or(due_at, |last| last.max(due_at)), actions));
            }
            _ => self.execute(vm, actions),
        }
    }

    fn execute(&mut self, vm: usize, actions: Vec<FormationAction>) {
        for action in actions {
            match action {
                FormationAction::Persist(state) => {
                    if self.kinds[vm] == VmKind::Disk {
                        self.disks[vm].state = Some(state);
                    }
                }
                FormationAction::Send { to, message } => {
                    self.send(vm, vm_of(to), &Content::Formation(message));
                }
                FormationAction::Formed(proposal) => {
                    self.agreed.insert(proposal.group, proposal.clone());
                    self.learn(vm, &proposal);
                }
            }
        }
    }

    pub(super) fn learn(&mut self, vm: usize, proposal: &GroupProposal) {
        let kind = self.kinds[vm];
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        process.known.get_or_insert(proposal.group);
        let is_founder = process
            .founder
            .is_some_and(|founder| proposal.founders.contains(&founder));
        if is_founder && kind == VmKind::Disk && self.disks[vm].joined.is_none() {
            self.disks[vm].joined = Some(proposal.group);
        }
        if is_founder && kind != VmKind::Disk {
            process.joined.get_or_insert(proposal.group);
        }
    }

    pub(super) fn random_span(&mut self, longest: u64) -> SpanMillis {
        SpanMillis::new(self.rng.random_range(0..=longest))
    }
}

pub(super) fn replica_id(vm: usize) -> ReplicaId {
    ReplicaId::new(u32::try_from(vm + 1).expect("few VMs"))
}

fn vm_of(replica: ReplicaId) -> usize {
    usize::try_from(replica.number()).expect("few VMs") - 1
}
