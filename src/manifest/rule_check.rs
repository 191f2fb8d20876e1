use std::collections::HashMap;

use super::{
    FaultCause, TrafficRule,
    fault_list::FaultList,
    service_check::{DEADLINE_MILLIS, MOST_NAME_CHARS, check_name, shorten},
};

/// The most characters of a path prefix.
pub const MOST_PREFIX_CHARS: usize = 256;
/// The most methods of one rule.
pub const MOST_METHODS: usize = 16;
/// The most characters of a method.
pub const MOST_METHOD_CHARS: usize = 32;

/// Verifies one rule on its own, whose place in the document is `place`.
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

/// Finds equal names and rules that an earlier one makes unreachable.
pub(super) fn check_rule_order(rules: &[TrafficRule], place: &str, faults: &mut FaultList) {
    let mut names = HashMap::new();
    for (index, rule) in rules.iter().enumerate() {
        if let Some(first) = names.insert(rule.name.as_str(), index) {
            let cause = FaultCause::DuplicateName {
                name: shorten(&rule.name, MOST_NAME_CHARS),
                first: format!("{place}.rules[{first}].name"),
            };
            faults.push(format!("{place}.rules[{index}].name"), cause);
        }
        let hiding = rules[..index]
            .iter()
            .position(|earlier| hides(earlier, rule));
        if let Some(by) = hiding {
            let cause = FaultCause::Unreachable {
                by: format!("{place}.rules[{by}]"),
            };
            faults.push(format!("{place}.rules[{index}]"), cause);
        }
    }
}

/// Returns whether `earlier` matches every request that `later` matches.
fn hides(earlier: &TrafficRule, later: &TrafficRule) -> bool {
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
    faults.check_count(place.to_owned(), methods.len(), MOST_METHODS);
    for (index, method) in methods.iter().enumerate().take(MOST_METHODS) {
        let good = (1..=MOST_METHOD_CHARS).contains(&method.len())
            && method
                .bytes()
                .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        if !good {
            let cause = FaultCause::BadMethod {
                method: shorten(method, MOST_METHOD_CHARS),
                most: MOST_METHOD_CHARS,
            };
            faults.push(format!("{place}[{index}]"), cause);
        }
    }
}

fn check_prefix(prefix: &str, place: String, faults: &mut FaultList) {
    let good = prefix.starts_with('/')
        && prefix.len() <= MOST_PREFIX_CHARS
        && prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'));
    if !good {
        let cause = FaultCause::BadPrefix {
            prefix: shorten(prefix, MOST_PREFIX_CHARS),
            most: MOST_PREFIX_CHARS,
        };
        faults.push(place, cause);
    }
}
