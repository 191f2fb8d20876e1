use super::{RequestPriority, ServiceSpec, TrafficRule};
use crate::clock::SpanMillis;

/// How a request is handled, from its service's rules and defaults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestPolicy {
    /// The queue priority.
    pub priority: RequestPriority,
    /// The deadline if the request has none of its own.
    pub deadline: SpanMillis,
    /// Whether the request may be executed twice.
    pub idempotent: bool,
    /// Whether the request is a stream, which occupies no slot while open.
    pub stream: bool,
}

impl TrafficRule {
    /// Returns whether the rule matches a request.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        path.starts_with(&self.path_prefix)
            && (self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method))
    }
}

impl ServiceSpec {
    /// Returns the first rule that matches a request.
    #[must_use]
    pub fn rule_for(&self, method: &str, path: &str) -> Option<&TrafficRule> {
        self.rules.iter().find(|rule| rule.matches(method, path))
    }

    /// Returns how a request is handled, with the defaults where no rule applies.
    #[must_use]
    pub fn policy_for(&self, method: &str, path: &str) -> RequestPolicy {
        let rule = self.rule_for(method, path);
        RequestPolicy {
            priority: rule.map(|rule| rule.priority).unwrap_or_default(),
            deadline: rule.and_then(|rule| rule.deadline).unwrap_or(self.deadline),
            idempotent: rule
                .and_then(|rule| rule.idempotent)
                .unwrap_or_else(|| is_idempotent(method)),
            stream: rule.is_some_and(|rule| rule.stream),
        }
    }
}

/// Returns whether RFC 9110 defines the method as idempotent.
///
/// Unknown methods count as not idempotent.
#[must_use]
pub fn is_idempotent(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}
