use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// How requests of one kind are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficRule {
    /// The rule's name, for status and logs.
    pub name: String,
    /// The methods that match; none means every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The start of the paths that match.
    pub path_prefix: String,
    /// The place of matching requests in the queue.
    #[serde(default)]
    pub priority: RequestPriority,
    /// The deadline of a matching request that brings none.
    #[serde(rename = "deadline_millis", default)]
    pub deadline: Option<SpanMillis>,
    /// Whether a matching request may run twice; by default the method tells.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Whether a matching request is a stream that holds no slot while open.
    #[serde(default)]
    pub stream: bool,
}

/// The place of a request in the queue of its target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Goes before everything else, such as a stop command.
    Urgent,
    /// The usual place.
    #[default]
    Normal,
    /// Waits for everything else, such as a logbook upload.
    Bulk,
}
