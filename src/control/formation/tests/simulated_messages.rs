//! What the simulated processes tell each other, and how it arrives.

use rand::Rng;

use super::{
    formation_simulator::{FormationSimulator, replica_id},
    site_shape::VmKind,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        formation::{FormationBody, FormationMessage, StorageKind},
        replica::GroupId,
    },
};

const REGISTER_MILLIS: SpanMillis = SpanMillis::new(100);
/// Interval between the notices of an entry VM to one seed after the other.
const SEED_NOTICE_MILLIS: SpanMillis = SpanMillis::new(3_000);

pub(super) struct Envelope {
    pub(super) due_at: ClockMillis,
    from: usize,
    to: usize,
    content: Content,
}

#[derive(Debug, Clone)]
pub(super) enum Content {
    Formation(FormationMessage),
    /// The sender knows this group.
    Located(GroupId),
}

impl FormationSimulator {
    pub(super) fn register(&mut self, vm: usize) {
        let now = self.now;
        let storage = match self.kinds[vm] {
            VmKind::Disk => StorageKind::Disk,
            VmKind::Diskless | VmKind::Agent => StorageKind::Memory,
        };
        let has_joined = self.disks[vm].joined.is_some();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        if now < process.register_at {
            return;
        }
        process.register_at = now.after(REGISTER_MILLIS);
        let knows_group = process.known.is_some();
        self.notify_seeds(vm);
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        if has_joined || process.joined.is_some() {
            return;
        }
        let founder = process.founder;
        let founder = founder.filter(|_| storage == StorageKind::Disk || !knows_group);
        let registration = founder.map(|member| FormationBody::Register { member, storage });
        let report = (process.bootstrap && !knows_group).then_some(FormationBody::NoGroupKnown);
        for body in registration.into_iter().chain(report) {
            for seed in 0..self.seeds() {
                let message = FormationMessage {
                    from: replica_id(vm),
                    electorate: 0,
                    body: body.clone(),
                };
                self.send(vm, seed, &Content::Formation(message));
            }
        }
    }

    /// Tells the seeds of a group, as entry VMs that know one do: all of them once, and then
    /// one of them every few seconds.
    fn notify_seeds(&mut self, vm: usize) {
        let now = self.now;
        let count = self.seeds();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let Some(group) = process.known.filter(|_| self.kinds[vm] != VmKind::Agent) else {
            return;
        };
        let seeds = match process.notice_at {
            None => 0..count,
            Some(notice_at) if now >= notice_at => {
                let next = usize::try_from(now.millis()).expect("a short run") % count;
                next..next + 1
            }
            Some(_) => return,
        };
        process.notice_at = Some(now.after(SEED_NOTICE_MILLIS));
        for seed in seeds.filter(|seed| *seed != vm) {
            self.send(vm, seed, &Content::Located(group));
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, content: &Content) {
        let copies = 1 + usize::from(self.rng.random_bool(self.conditions.duplicates));
        for _ in 0..copies {
            if from != to && self.rng.random_bool(self.conditions.loss) {
                continue;
            }
            let due_at = self.now.after(self.random_span(self.conditions.max_delay));
            self.in_flight.push(Envelope {
                due_at,
                from,
                to,
                content: content.clone(),
            });
        }
    }

    pub(super) fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            from, to, content, ..
        } = envelope;
        let is_cut = from != to && (self.cut.contains(&from) || self.cut.contains(&to));
        if is_cut || !self.runs(to) {
            return;
        }
        let message = match content {
            Content::Formation(message) => message,
            Content::Located(group) => {
                if let Some(process) = &mut self.processes[to] {
                    process.known.get_or_insert(group);
                }
                return;
            }
        };
        if let FormationBody::Formed { proposal } = &message.body
            && from < self.seeds()
            && proposal.is_valid()
        {
            self.learn(to, &proposal.clone());
        }
        let now = self.now;
        let Some(process) = &mut self.processes[to] else {
            return;
        };
        let asks = matches!(
            message.body,
            FormationBody::Register { .. } | FormationBody::NoGroupKnown
        );
        let known = process.known;
        if let Some(seed) = &mut process.seed {
            let actions = seed.receive(message, now);
            self.submit(to, actions);
        }
        // A process that knows the group tells those that ask.
        if asks && let Some(sender) = &mut self.processes[from] {
            sender.known = sender.known.or(known);
        }
    }
}
