use super::{CaseGroup, PolicyCase};
use crate::lab::model::{
    AcceptRule, FaultKind, ModelMicros, RelayRule, RetryPolicy, RunSetup, ServiceProfile,
};

/// Offered loads, in percent of all slots.
const LOADS_PERCENT: [u32; 3] = [50, 80, 95];
/// The accepting rule under which relay rules are compared.
const DEFAULT_ACCEPT: AcceptRule = AcceptRule::Threshold {
    load_permille: 2_000,
};
/// An accepting rule that depends on the age of load reports.
const LAGGING_ACCEPT: AcceptRule = AcceptRule::LaggingReport {
    margin_permille: 250,
};
/// The relay rule under which accepting rules are compared.
const DEFAULT_RELAY: RelayRule = late_claims(3, false);
/// The mean service time of bulk requests in the cases on the slot reserve.
const LONG_BULK_TIME: ModelMicros = ModelMicros::from_seconds(2);
/// The rule whose waits are the lower bound for all others.
const LOWER_BOUND: RelayRule = RelayRule::CentralQueue;
const SERVICES: [ServiceProfile; 4] = [
    ServiceProfile::BargeControl,
    ServiceProfile::Logbook,
    ServiceProfile::Tavole,
    ServiceProfile::Raccolta,
];
const RELAYS: [RelayRule; 8] = [
    RelayRule::Never,
    RelayRule::ShorterOfTwo,
    late_claims(2, false),
    late_claims(3, false),
    late_claims(4, false),
    late_claims(3, true),
    RelayRule::Stealing,
    RelayRule::CentralQueue,
];
const ACCEPTS: [AcceptRule; 6] = [
    AcceptRule::HashOnly,
    AcceptRule::Threshold {
        load_permille: 1_000,
    },
    AcceptRule::Threshold {
        load_permille: 2_000,
    },
    AcceptRule::FreshProbe {
        margin_permille: 250,
    },
    AcceptRule::LaggingReport {
        margin_permille: 250,
    },
    AcceptRule::LaggingReport {
        margin_permille: AcceptRule::CONNECTIONS_ONLY,
    },
];

const fn late_claims(targets: u8, own_domain_first: bool) -> RelayRule {
    RelayRule::LateClaims {
        targets,
        own_domain_first,
    }
}

/// Returns the cases that compare the accepting and relay rules.
pub(crate) fn policy_cases(seed: u64, requests: u64) -> Vec<PolicyCase> {
    let mut cases = Vec::new();
    for service in SERVICES {
        add_steady_load(&mut cases, service);
    }
    for service in [ServiceProfile::BargeControl, ServiceProfile::Tavole] {
        add_message_faults(&mut cases, service);
        add_target_changes(&mut cases, service);
    }
    with_seed_and_requests(cases, seed, requests)
}

/// Returns the cases of retry storms and failures.
pub(crate) fn failure_cases(seed: u64, requests: u64) -> Vec<PolicyCase> {
    let mut cases = Vec::new();
    for service in [ServiceProfile::BargeControl, ServiceProfile::Tavole] {
        add_retry_storms(&mut cases, service);
        add_target_losses(&mut cases, service);
    }
    with_seed_and_requests(cases, seed, requests)
}

fn with_seed_and_requests(cases: Vec<PolicyCase>, seed: u64, requests: u64) -> Vec<PolicyCase> {
    let configure = |mut case: PolicyCase| {
        case.setup = case.setup.with_seed(seed).with_requests(requests);
        case
    };
    cases.into_iter().map(configure).collect()
}

fn add_steady_load(cases: &mut Vec<PolicyCase>, service: ServiceProfile) {
    for load in LOADS_PERCENT {
        let relays = RELAYS
            .into_iter()
            .filter(|it| it.is_distinct_for(service.targets()));
        for relay in relays {
            let setup = RunSetup::new(service, DEFAULT_ACCEPT, relay).with_load(load);
            cases.push(PolicyCase::new(CaseGroup::Relay, "steady", setup));
        }
        if service.reserve() > 0 {
            let setup = RunSetup::new(service, DEFAULT_ACCEPT, DEFAULT_RELAY).with_load(load);
            let no_reserve = setup.clone().with_reserve(0);
            cases.push(PolicyCase::new(CaseGroup::Relay, "no reserve", no_reserve));
            let long_bulk = setup.with_bulk_service_time(LONG_BULK_TIME);
            let no_reserve = long_bulk.clone().with_reserve(0);
            cases.push(PolicyCase::new(CaseGroup::Relay, "bulk of 2 s", long_bulk));
            cases.push(PolicyCase::new(
                CaseGroup::Relay,
                "bulk of 2 s, no reserve",
                no_reserve,
            ));
        }
    }
    if service.targets() < 4 {
        return;
    }
    for load in LOADS_PERCENT {
        for relay in [RelayRule::Never, DEFAULT_RELAY] {
            for accept in ACCEPTS {
                let setup = RunSetup::new(service, accept, relay).with_load(load);
                cases.push(PolicyCase::new(CaseGroup::Accept, "steady", setup));
            }
        }
    }
}

fn add_message_faults(cases: &mut Vec<PolicyCase>, service: ServiceProfile) {
    let relays = [
        RelayRule::ShorterOfTwo,
        late_claims(2, false),
        DEFAULT_RELAY,
        RelayRule::Stealing,
    ];
    let mut add = |title: &str, setup: RunSetup| {
        cases.push(PolicyCase::new(CaseGroup::Messages, title, setup));
    };
    for relay in relays {
        let setup = RunSetup::new(service, DEFAULT_ACCEPT, relay);
        for micros in [500_u32, 1_000, 2_000] {
            let title = format!("{:.1} ms between domains", f64::from(micros) / 1_000.0);
            let delay = ModelMicros::new(u64::from(micros));
            add(&title, setup.clone().with_delay(delay));
        }
        add("1% of messages lost", setup.clone().with_loss(10));
        add("5% of messages lost", setup.clone().with_loss(50));
    }
    for millis in [8, 20, 50] {
        let title = format!("1% of messages lost, slots held for {millis} ms");
        let setup = RunSetup::new(service, DEFAULT_ACCEPT, DEFAULT_RELAY).with_loss(10);
        add(&title, setup.with_hold(ModelMicros::from_millis(millis)));
    }
    for seconds in [1, 5, 30] {
        let setup = RunSetup::new(service, LAGGING_ACCEPT, DEFAULT_RELAY);
        let period = ModelMicros::from_seconds(seconds);
        let title = format!("load reports every {seconds} s");
        add(&title, setup.with_report_period(period));
    }
}

fn add_target_changes(cases: &mut Vec<PolicyCase>, service: ServiceProfile) {
    let rules = [
        (AcceptRule::HashOnly, RelayRule::Never),
        (DEFAULT_ACCEPT, RelayRule::Never),
        (DEFAULT_ACCEPT, RelayRule::ShorterOfTwo),
        (DEFAULT_ACCEPT, late_claims(2, false)),
        (DEFAULT_ACCEPT, DEFAULT_RELAY),
        (DEFAULT_ACCEPT, RelayRule::Stealing),
        (DEFAULT_ACCEPT, LOWER_BOUND),
    ];
    let start = ModelMicros::ZERO;
    let joining_target = service.targets();
    for (accept, relay) in rules {
        let setup = RunSetup::new(service, accept, relay);
        let mut add = |title: &str, setup: RunSetup| {
            cases.push(PolicyCase::new(CaseGroup::Change, title, setup));
        };
        let slow = FaultKind::Slow {
            target: 0,
            speed: 0.25,
        };
        add(
            "a target at a quarter of its speed, 70% load",
            setup.clone().with_load(70).with_fault(start, slow),
        );
        let cold = FaultKind::ColdStart {
            target: joining_target,
        };
        add(
            "a further target starts cold, 90% load",
            setup
                .clone()
                .with_load(90)
                .with_absent_targets(1)
                .with_fault(start, cold),
        );
        let drain = FaultKind::Drain { target: 0 };
        add(
            "a target drains, 70% load",
            setup.clone().with_load(70).with_fault(start, drain),
        );
        add("release morning, 50% load", with_release(setup));
    }
}

/// Adds a release burst: the callers triple within 10 s, and the request rate
/// triples for 30 s.
fn with_release(setup: RunSetup) -> RunSetup {
    let callers = setup.callers * 2;
    let connect = FaultKind::Callers {
        count: callers,
        over: ModelMicros::from_seconds(10),
    };
    setup
        .with_load(50)
        .with_fault(ModelMicros::from_seconds(60), connect)
        .with_fault(
            ModelMicros::from_seconds(60),
            FaultKind::Rate { factor: 3.0 },
        )
        .with_fault(
            ModelMicros::from_seconds(90),
            FaultKind::Rate { factor: 1.0 },
        )
}

fn add_retry_storms(cases: &mut Vec<PolicyCase>, service: ServiceProfile) {
    let immediate = |budget_percent, cancels, sends_deadline| RetryPolicy::Immediate {
        max_resends: 3,
        caller_timeout: ModelMicros::from_seconds(1),
        budget_percent,
        cancels,
        sends_deadline,
    };
    let policies = [
        ("callers never resend", RetryPolicy::Never),
        ("resend 3 times", immediate(None, false, false)),
        ("resend, budget 10%", immediate(Some(10), false, false)),
        ("resend, cancel", immediate(None, true, false)),
        ("resend, cancel, deadline", immediate(None, true, true)),
        (
            "resend, budget 10%, cancel",
            immediate(Some(10), true, false),
        ),
        (
            "resend, budget 10%, cancel, deadline",
            immediate(Some(10), true, true),
        ),
    ];
    for (title, policy) in policies {
        let setup = RunSetup::new(service, DEFAULT_ACCEPT, DEFAULT_RELAY).with_retry(policy);
        let setup = setup
            .with_fault(
                ModelMicros::from_seconds(60),
                FaultKind::Rate { factor: 2.0 },
            )
            .with_fault(
                ModelMicros::from_seconds(90),
                FaultKind::Rate { factor: 1.0 },
            );
        let title = format!("twice the requests for 30 s, {title}");
        cases.push(PolicyCase::new(CaseGroup::Failure, &title, setup));
    }
}

fn add_target_losses(cases: &mut Vec<PolicyCase>, service: ServiceProfile) {
    let at = ModelMicros::from_seconds(60);
    let setup = RunSetup::new(service, DEFAULT_ACCEPT, DEFAULT_RELAY).with_load(50);
    let mut add = |title: &str, setup: RunSetup| {
        cases.push(PolicyCase::new(CaseGroup::Failure, title, setup));
    };
    add(
        "a target goes silent, 50% load",
        setup
            .clone()
            .with_fault(at, FaultKind::Silence { target: 0 }),
    );
    let mut lost = setup.clone();
    for target in (0..service.targets()).step_by(ServiceProfile::FAILURE_DOMAINS) {
        lost = lost.with_fault(at, FaultKind::Crash { target });
    }
    add("a failure domain is lost, 50% load", lost);
    let mut restarted = setup.clone();
    let mut drained = setup;
    for target in 0..service.targets() {
        let stop_at = at.after(ModelMicros::from_seconds(40 * target as u64));
        let restart_at = stop_at.after(ModelMicros::from_seconds(10));
        let cold = FaultKind::ColdStart { target };
        restarted = restarted
            .with_fault(stop_at, FaultKind::Crash { target })
            .with_fault(restart_at, cold);
        drained = drained
            .with_fault(stop_at, FaultKind::Drain { target })
            .with_fault(restart_at, cold);
    }
    add(
        "every target restarts in turn, unplanned, 50% load",
        restarted,
    );
    add("every target restarts in turn, drained, 50% load", drained);
}
