use std::collections::HashMap;

use super::{
    FaultCause, TrafficRule,
    common_check::{DEADLINE_MILLIS, MAX_NAME_CHARS, check_name, truncate},
    fault_list::FaultList,
};

/// The maximum length of a path prefix.
pub const MAX_PREFIX_CHARS: usize = 256;
/// The maximum number of methods in a rule.
pub const MAX_METHODS: usize = 16;
/// The maximum length of a method.
pub const MAX_METHOD_CHARS: usize = 32;

/// Validates the rule at `place`, apart from the other rules.
pub(super) fn check_rule(rule: &TrafficRule, place: &str, faults: &mut FaultList) {
    check_name(&rule.name, format!("{place}.name"), faults);
    check_methods(&rule.methods, &format!("{place}.methods"), faults);
    check_prefix(&rule.path_prefix, format!("{place}.path_prefix"), faults);
    if let Some(deadline) = rule.deadline {
        faults.check_range(
            format!("{place}.deadline_millis"),
            deadline.millis(),
            &DEADLINE_MILLIS,
        );
    }
}

/// Finds duplicate names, and rules that an earlier one shadows.
pub(super) fn check_rule_order(rules: &[TrafficRule], place: &str, faults: &mut FaultList) {
    let mut names = HashMap::new();
    for (index, rule) in rules.iter().enumerate() {
        if let Some(first) = names.insert(rule.name.as_str(), index) {
            let cause = FaultCause::DuplicateName {
                name: truncate(&rule.name, MAX_NAME_CHARS),
                first: format!("{place}.rules[{first}].name"),
            };
            faults.push(format!("{place}.rules[{index}].name"), cause);
        }
        let shadowing = rules[..index]
            .iter()
            .position(|earlier| shadows(earlier, rule));
        if let Some(by) = shadowing {
            let cause = FaultCause::Unreachable {
                by: format!("{place}.rules[{by}]"),
            };
            faults.push(format!("{place}.rules[{index}]"), cause);
        }
    }
}

/// Returns whether `earlier` matches every request that `later` matches.
fn shadows(earlier: &TrafficRule, later: &TrafficRule) -> bool {
    later.path_prefix.starts_with(&earlier.path_prefix) && covers_methods(earlier, later)
}

fn covers_methods(earlier: &TrafficRule, later: &TrafficRule) -> bool {
    if earlier.methods.is_empty() {
        return true;
    }
    !later.methods.is_empty()
        && later
            .methods
            .iter()
            .all(|method| earlier.methods.contains(method))
}

fn check_methods(methods: &[String], place: &str, faults: &mut FaultList) {
    faults.check_count(place.to_owned(), methods.len(), MAX_METHODS);
    for (index, method) in methods.iter().enumerate().take(MAX_METHODS) {
        let is_valid = (1..=MAX_METHOD_CHARS).contains(&method.len())
            && method
                .bytes()
                .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        if !is_valid {
            let cause = FaultCause::InvalidMethod {
                method: truncate(method, MAX_METHOD_CHARS),
                max: MAX_METHOD_CHARS,
            };
            faults.push(format!("{place}[{index}]"), cause);
        }
    }
}

fn check_prefix(prefix: &str, place: String, faults: &mut FaultList) {
    let is_valid = prefix.starts_with('/')
        && prefix.len() <= MAX_PREFIX_CHARS
        && prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    if !is_valid {
        let cause = FaultCause::InvalidPrefix {
            prefix: truncate(prefix, MAX_PREFIX_CHARS),
            max: MAX_PREFIX_CHARS,
        };
        faults.push(place, cause);
    }
}
