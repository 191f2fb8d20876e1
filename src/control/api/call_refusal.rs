use std::net::SocketAddrV4;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{key::ServiceNumber, manifest::ManifestDigest};

/// Why control refused a call; sent as the data of a JSON-RPC error.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum CallRefusal {
    /// Another replica leads; the caller must call that one.
    #[error("this replica does not lead")]
    NotLeader {
        /// The leader's call address, if known.
        leader: Option<SocketAddrV4>,
    },
    /// The replica can't confirm that its state is current.
    #[error("no majority of the control group answers; nothing was accepted")]
    NoQuorum,
    /// The change may or may not be committed; resend the same content.
    #[error("the outcome is unknown; send the same call again")]
    OutcomeUnknown,
    /// The manifest replaces a version that is not in force.
    #[error(
        "version {offered} replaces version {replaces}, but version {in_force} ({}) is in force",
        format_digest(digest.as_ref())
    )]
    VersionConflict {
        /// The submitted version.
        offered: u64,
        /// The version that the submitted manifest replaces.
        replaces: u64,
        /// The version in force.
        in_force: u64,
        /// The digest of the content in force, if there is one.
        digest: Option<ManifestDigest>,
    },
    /// The manifest breaks a rule.
    #[error("the manifest is invalid: {}", faults.join("; "))]
    InvalidManifest {
        /// Each broken rule, with its place in the document.
        faults: Vec<String>,
    },
    /// All service numbers are assigned, and a number is never reused for another name.
    #[error("no service number is left for a new name; keep to the names used so far")]
    NoServiceNumber,
    /// The manifest in force has no service of that name.
    #[error("no service named {name} is in force")]
    UnknownService {
        /// The requested name.
        name: String,
    },
    /// A newer run of the agent holds the registration.
    #[error("another run of the agent holds this registration")]
    StaleIncarnation,
    /// This run of the agent is registered under another service.
    #[error("this run of the agent is registered under service {registered}")]
    ServiceMismatch {
        /// The number of the service that holds the registration.
        registered: ServiceNumber,
    },
    /// The announcement breaks a rule.
    #[error("the announcement is invalid: {fault}")]
    InvalidAnnouncement {
        /// The broken rule.
        fault: AnnounceFault,
    },
    /// The replica sheds load; the caller must retry later.
    #[error("overloaded; come back in {retry_after_millis} ms")]
    Overloaded {
        /// The time to wait before the next attempt.
        retry_after_millis: u64,
    },
}

impl CallRefusal {
    /// Returns the value of the metric label `outcome`.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotLeader { .. } => "not_leader",
            Self::NoQuorum => "no_quorum",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::VersionConflict { .. } => "version_conflict",
            Self::InvalidManifest { .. } => "invalid_manifest",
            Self::NoServiceNumber => "no_service_number",
            Self::UnknownService { .. } => "unknown_service",
            Self::StaleIncarnation => "stale_incarnation",
            Self::ServiceMismatch { .. } => "service_mismatch",
            Self::InvalidAnnouncement { .. } => "invalid_announcement",
            Self::Overloaded { .. } => "overloaded",
        }
    }

    /// Returns whether a retry may succeed, at another replica or at this one later.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::NotLeader { .. }
                | Self::NoQuorum
                | Self::OutcomeUnknown
                | Self::Overloaded { .. }
        )
    }
}

/// The rule that an announcement breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceFault {
    /// The weight is zero.
    #[error("the weight is 0; allowed: 1 to 65535")]
    ZeroWeight,
    /// The region's or failure domain's name is empty or too long.
    #[error("region and failure domain take 1 to 64 bytes each")]
    DomainLength,
    /// The target's IP address is unspecified or its port is 0.
    #[error("the target's address needs an IP number and a port other than 0")]
    Address,
}

fn format_digest(digest: Option<&ManifestDigest>) -> String {
    digest.map_or_else(|| "none".to_owned(), ToString::to_string)
}
