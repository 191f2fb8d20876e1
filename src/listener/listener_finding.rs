use std::fmt;

use crate::{check::CheckEntry, clock::SpanMillis};

/// A part of a valid listener manifest that has no effect or contradicts another part.
#[derive(Debug, Clone, PartialEq)]
pub enum ListenerFinding {
    /// The version does not exceed the one in force, so the manifest changes nothing.
    VersionNotAbove {
        /// The manifest's version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// A share has the weight zero, so its service gets no new flow of the route.
    ZeroShare {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Only one of a route's services has a weight above zero.
    SoleWeight {
        /// The route.
        route: String,
        /// The service that gets all new flows.
        service: String,
        /// The number of the route's services.
        services: usize,
    },
    /// The manifest lists a service that no route names.
    UnusedService {
        /// The service.
        service: String,
    },
    /// An answer is useless before it could miss its goal.
    TimeoutBelowGoal {
        /// The route.
        route: String,
        /// The time after which an answer is useless.
        timeout: SpanMillis,
        /// The latency goal in effect, stated or the default.
        goal: SpanMillis,
    },
    /// A flow may be dropped while it waits for an answer that is still useful.
    IdleBelowTimeout {
        /// The route.
        route: String,
        /// The idle timeout of flows.
        idle: SpanMillis,
        /// The time after which an answer is useless.
        timeout: SpanMillis,
    },
    /// A service states a cold time and no cold rate above zero, so no limit applies.
    ColdTimeWithoutRate {
        /// The service.
        service: String,
        /// The cold time.
        seconds: f64,
    },
    /// A service states a cold rate and no cold time above zero, so no limit applies.
    ColdRateWithoutTime {
        /// The service.
        service: String,
        /// The requests per second.
        per_second: f64,
    },
}

impl ListenerFinding {
    /// Returns the finding as a warning of a report.
    #[must_use]
    pub fn warning(&self) -> CheckEntry {
        CheckEntry::new(self.place(), self)
    }

    fn place(&self) -> String {
        match self {
            Self::VersionNotAbove { .. } => "version".to_owned(),
            Self::ZeroShare { route, .. }
            | Self::SoleWeight { route, .. }
            | Self::TimeoutBelowGoal { route, .. }
            | Self::IdleBelowTimeout { route, .. } => format!("route {route}"),
            Self::UnusedService { service }
            | Self::ColdTimeWithoutRate { service, .. }
            | Self::ColdRateWithoutTime { service, .. } => format!("service {service}"),
        }
    }
}

impl fmt::Display for ListenerFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionNotAbove { version, in_force } => write!(
                formatter,
                "version {version} does not exceed version {in_force} in force and would change nothing"
            ),
            Self::ZeroShare { service, .. } => write!(
                formatter,
                "the share of service {service} has the weight zero and gets no new flow"
            ),
            Self::SoleWeight {
                service, services, ..
            } => write!(
                formatter,
                "service {service} has all the weight of {services} services"
            ),
            Self::UnusedService { .. } => formatter.write_str("no route names the service"),
            Self::TimeoutBelowGoal { timeout, goal, .. } => write!(
                formatter,
                "the timeout of {} ms is below the latency goal of {} ms",
                timeout.millis(),
                goal.millis()
            ),
            Self::IdleBelowTimeout { idle, timeout, .. } => write!(
                formatter,
                "the idle timeout of {} ms is below the timeout of {} ms",
                idle.millis(),
                timeout.millis()
            ),
            Self::ColdTimeWithoutRate { seconds, .. } => write!(
                formatter,
                "a cold time of {seconds} s without a cold rate limits nothing"
            ),
            Self::ColdRateWithoutTime { per_second, .. } => write!(
                formatter,
                "a cold rate of {per_second} a second without a cold time limits nothing"
            ),
        }
    }
}
