//! An entry VM's part in forming the control group at the first start.

use std::{net::Ipv4Addr, path::Path};

use tokio::sync::mpsc;

use super::{
    EntryNode, FleetEvent, FleetSettings,
    fleet_datagram::FleetDatagram,
    formation_file::{FormationFile, FormationProgress},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        formation::{
            FormationAction, FormationBody, FormationMessage, FormationSeed, FormationSettings,
            GroupProposal, SeedMemory, StorageKind,
        },
        replica::{DiskId, MemberId, ReplicaId},
    },
    event::log_event,
};

/// The name of the seed's file within the data folder.
const FILE_NAME: &str = "formation";
/// Interval between registrations with the seeds.
const REGISTER_MILLIS: SpanMillis = SpanMillis::new(100);
/// Interval between log lines while the group has not formed.
const REPORT_MILLIS: SpanMillis = SpanMillis::new(5_000);

/// The state of an entry VM's part in forming the group.
#[derive(Debug)]
pub(super) struct EntryFormation {
    /// The seed, if this VM is one and its file has been read.
    seed: Option<FormationSeed>,
    file: Option<FormationFile>,
    /// The member that this VM founds a group as if no VM has a disk.
    pub(super) memory_founder: Option<MemberId>,
    /// Results of the file's thread, until `EntryNode::run` takes them.
    progress: Option<mpsc::UnboundedReceiver<FormationProgress>>,
    register_at: ClockMillis,
    report_at: ClockMillis,
}

impl EntryFormation {
    /// Creates the state; on a seed with a disk, its file is read in the background.
    pub(super) fn open(settings: &FleetSettings, now: ClockMillis) -> Self {
        let (sender, progress) = mpsc::unbounded_channel();
        let mut formation = Self {
            seed: None,
            file: None,
            memory_founder: None,
            progress: Some(progress),
            register_at: now,
            report_at: now.after(REPORT_MILLIS),
        };
        let mut seeds = settings.seeds.iter();
        if !seeds.any(|seed| *seed.ip() == settings.address) {
            return formation;
        }
        if let Some(folder) = &settings.data_folder {
            let path = Path::new(folder).join(FILE_NAME);
            formation.file = Some(FormationFile::open(path, settings.bootstrap, sender));
            return formation;
        }
        let memory = if settings.bootstrap {
            SeedMemory::FirstStart
        } else {
            SeedMemory::Lost
        };
        formation.memory_founder = Some(MemberId {
            replica: ReplicaId::at(settings.address),
            disk: DiskId::new(rand::random()),
        });
        formation.seed = Some(create_seed(settings, memory, now));
        formation
    }

    /// Returns the results of the file's thread, once.
    pub(super) fn take_progress(&mut self) -> Option<mpsc::UnboundedReceiver<FormationProgress>> {
        self.progress.take()
    }
}

fn create_seed(settings: &FleetSettings, memory: SeedMemory, now: ClockMillis) -> FormationSeed {
    let seeds = settings.seeds.iter();
    let formation_settings = FormationSettings {
        own: ReplicaId::at(settings.address),
        seeds: seeds.map(|seed| ReplicaId::at(*seed.ip())).collect(),
        tolerated_losses: settings.tolerated_losses,
    };
    FormationSeed::new(formation_settings, memory, rand::random(), now)
}

impl EntryNode {
    /// Continues with what the seed's file has completed.
    pub(super) fn handle_formation_progress(&mut self, progress: FormationProgress) {
        match progress {
            FormationProgress::Loaded(memory) => {
                let seed = create_seed(&self.settings, memory, self.clock.now());
                self.formation.seed = Some(seed);
            }
            FormationProgress::Synced(actions) => self.execute_formation(actions),
        }
    }

    /// Handles a message about the formation of the group.
    pub(super) fn handle_formation_message(&mut self, message: FormationMessage) {
        if let FormationBody::Formed { proposal } = &message.body
            && self.group.is_seed(message.from.address())
            && proposal.is_valid()
        {
            self.apply_agreement(proposal);
        }
        let now = self.clock.now();
        if let Some(seed) = &mut self.formation.seed {
            let actions = seed.receive(message, now);
            self.submit_formation(actions);
        }
    }

    /// Registers with the seeds and forms the group with them, while none is known.
    pub(super) fn maintain_formation(&mut self, now: ClockMillis) {
        if self.group.members().is_empty() {
            if let Some(seed) = &mut self.formation.seed {
                let actions = seed.tick(now);
                self.submit_formation(actions);
            }
            if now >= self.formation.report_at {
                self.formation.report_at = now.after(REPORT_MILLIS);
                let forgotten = self
                    .formation
                    .seed
                    .as_ref()
                    .map(FormationSeed::has_forgotten);
                log_event!(
                    warn,
                    FleetEvent::FormationWaits,
                    seed = forgotten.is_some(),
                    forgotten = forgotten.unwrap_or_default()
                );
            }
        }
        if now >= self.formation.register_at {
            self.formation.register_at = now.after(REGISTER_MILLIS);
            self.register_with_seeds(now);
        }
    }

    /// Offers this VM's replica as a founder, or tells the seeds that this process knows
    /// no group, though it has run since the first start.
    fn register_with_seeds(&mut self, now: ClockMillis) {
        let knows_group = !self.group.members().is_empty();
        let founder = match self.replica.get() {
            Some(replica) => replica.founder(),
            None => self.formation.memory_founder.filter(|_| !knows_group),
        };
        if let Some(member) = founder {
            let storage = self.storage_kind();
            self.tell_seeds(&FormationBody::Register { member, storage }, now);
        }
        if self.settings.bootstrap && !knows_group {
            self.tell_seeds(&FormationBody::NoGroupKnown, now);
        }
    }

    fn tell_seeds(&mut self, body: &FormationBody, now: ClockMillis) {
        let message = FormationMessage {
            from: ReplicaId::at(self.settings.address),
            electorate: 0,
            body: body.clone(),
        };
        for seed in self.group.seeds() {
            if seed == self.settings.address {
                if let Some(own_seed) = &mut self.formation.seed {
                    let actions = own_seed.receive(message.clone(), now);
                    self.submit_formation(actions);
                }
            } else {
                let datagram = FleetDatagram::Formation(message.clone());
                self.fleet_socket.send(seed, &datagram);
            }
        }
    }

    fn storage_kind(&self) -> StorageKind {
        match self.settings.data_folder {
            Some(_) => StorageKind::Disk,
            None => StorageKind::Memory,
        }
    }

    /// Executes the actions once the states among them are synced, if this VM has a disk.
    fn submit_formation(&mut self, actions: Vec<FormationAction>) {
        match &self.formation.file {
            _ if actions.is_empty() => {}
            Some(file) => file.submit(actions),
            None => self.execute_formation(actions),
        }
    }

    fn execute_formation(&mut self, actions: Vec<FormationAction>) {
        for action in actions {
            match action {
                FormationAction::Persist(_) => {}
                FormationAction::Send { to, message } if to.address() == self.settings.address => {
                    self.handle_formation_message(message);
                }
                FormationAction::Send { to, message } => {
                    let datagram = FleetDatagram::Formation(message);
                    self.fleet_socket.send(to.address(), &datagram);
                }
                FormationAction::Formed(proposal) => self.apply_agreement(&proposal),
            }
        }
    }

    /// Forms the group that the seeds have agreed on, if this VM's replica is a founder;
    /// a process that knows no group takes its founders for the members.
    fn apply_agreement(&mut self, proposal: &GroupProposal) {
        let founders: Vec<Ipv4Addr> = proposal.replicas().map(ReplicaId::address).collect();
        if self.group.members().is_empty() && self.group.update_members(founders.clone()) {
            log_event!(info, FleetEvent::GroupAgreed, ?founders);
        }
        self.start_memory_replica();
        if let Some(replica) = self.replica.get() {
            replica.form_group(proposal);
        }
    }
}
