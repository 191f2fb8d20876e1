use serde::{Deserialize, Serialize};

use crate::{
    directory::TargetRecord,
    listener::{ColdLimit, ListenerStore},
};

/// What a replica tells an agent in answer to its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "PolicyMessage", into = "PolicyMessage")]
pub(super) struct AgentPolicy {
    /// The agent's run, as it announced it; an agent ignores a policy for another run.
    pub(super) agent_run: u64,
    /// The revision of the evacuated domains at the replica.
    pub(super) evacuation_revision: u64,
    /// Whether the agent's domain is evacuated.
    pub(super) evacuated: bool,
    /// The version of the manifest at the replica, if it has one.
    pub(super) manifest_version: Option<u64>,
    /// The cold limit that the manifest states for the agent's service.
    pub(super) cold_limit: Option<ColdLimit>,
}

/// The policy as sent, with zero as the version without a manifest.
#[derive(Debug, Serialize, Deserialize)]
struct PolicyMessage {
    agent_run: u64,
    evacuation_revision: u64,
    evacuated: bool,
    manifest_version: u64,
    cold_limit: Option<ColdLimit>,
}

impl From<AgentPolicy> for PolicyMessage {
    fn from(policy: AgentPolicy) -> Self {
        Self {
            agent_run: policy.agent_run,
            evacuation_revision: policy.evacuation_revision,
            evacuated: policy.evacuated,
            manifest_version: policy.manifest_version.unwrap_or(0),
            cold_limit: policy.cold_limit,
        }
    }
}

impl From<PolicyMessage> for AgentPolicy {
    /// A limit shows that there is a manifest. Version zero without a limit reads as none,
    /// which means the same to the agent.
    fn from(message: PolicyMessage) -> Self {
        let has_manifest = message.manifest_version > 0 || message.cold_limit.is_some();
        Self {
            agent_run: message.agent_run,
            evacuation_revision: message.evacuation_revision,
            evacuated: message.evacuated,
            manifest_version: has_manifest.then_some(message.manifest_version),
            cold_limit: message.cold_limit,
        }
    }
}

impl AgentPolicy {
    /// Returns the policy for the agent that announced `record`.
    pub(super) fn for_agent(record: &TargetRecord, store: &ListenerStore) -> Self {
        let set = store.evacuations();
        let manifest = store.current();
        let manifest = manifest.as_ref().map(|stored| &stored.manifest);
        Self {
            agent_run: record.agent_run,
            evacuation_revision: set.revision(),
            evacuated: record
                .attributes
                .domain
                .is_some_and(|domain| set.contains(domain)),
            manifest_version: manifest.map(|manifest| manifest.version),
            cold_limit: manifest.and_then(|manifest| manifest.cold_limit(record.service)),
        }
    }

    /// Takes over what is newer in `received`, of which the evacuation and the cold
    /// limit have revisions of their own; returns whether that changed anything.
    ///
    /// Replicas may be behind each other, and datagrams may be late.
    pub(super) fn merge(&mut self, received: &Self) -> bool {
        let before = *self;
        if received.agent_run != self.agent_run {
            return false;
        }
        if received.evacuation_revision > self.evacuation_revision {
            self.evacuation_revision = received.evacuation_revision;
            self.evacuated = received.evacuated;
        }
        if received.manifest_version > self.manifest_version {
            self.manifest_version = received.manifest_version;
            self.cold_limit = received.cold_limit;
        }
        *self != before
    }
}
