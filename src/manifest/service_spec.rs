use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::TrafficRule;
use crate::clock::SpanMillis;

/// One service: where callers reach it and how its traffic is treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name that agents announce themselves under.
    pub name: String,
    /// The address and port that callers send to.
    pub address: SocketAddrV4,
    /// The limits at each target.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// The deadline of a request that brings none.
    #[serde(rename = "deadline_millis", default = "default_deadline")]
    pub deadline: SpanMillis,
    /// Retries allowed per hundred recent requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// The rules; the first that matches a request decides.
    #[serde(default)]
    pub rules: Vec<TrafficRule>,
}

/// The limits that the agent beside each target enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// Requests that run at one target at once.
    pub slots: u16,
    /// Connections that are open at one target at once.
    pub connections: u32,
    /// Requests that wait at one target at once.
    pub queue: u16,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            slots: 4,
            connections: 2_000,
            queue: 64,
        }
    }
}

const fn default_deadline() -> SpanMillis {
    SpanMillis::new(10_000)
}

const fn default_retry_percent() -> u8 {
    10
}
