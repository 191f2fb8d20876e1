use super::{CaseGroup, PolicyCase};
use crate::lab::model::{
    AcceptRule, FaultKind, ModelMicros, RelayRule, RetryHabit, RunSetup, SystemProfile,
};

/// The offered loads, in percent of all slots.
const LOADS: [u32; 3] = [50, 80, 95];
/// The rule that relay rules are compared under, and the other way round.
const ACCEPT: AcceptRule = AcceptRule::Threshold {
    load_permille: 2_000,
};
/// The rule that depends on the age of reports.
const LAGGING: AcceptRule = AcceptRule::LaggingReport {
    margin_permille: 250,
};
const RELAY: RelayRule = claims_at(3, false);
/// The work of bulk requests in the trials of the reserve.
const LONG_BULK: ModelMicros = ModelMicros::from_seconds(2);
/// The bound that no rule can pass.
const BOUND: RelayRule = RelayRule::CentralQueue;
const SYSTEMS: [SystemProfile; 4] = [
    SystemProfile::BargeControl,
    SystemProfile::Logbook,
    SystemProfile::Tavole,
    SystemProfile::Raccolta,
];
const RELAYS: [RelayRule; 8] = [
    RelayRule::Never,
    RelayRule::ShorterOfTwo,
    claims_at(2, false),
    claims_at(3, false),
    claims_at(4, false),
    claims_at(3, true),
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

const fn claims_at(targets: u8, near: bool) -> RelayRule {
    RelayRule::LateClaims { targets, near }
}

/// Returns the cases that compare the rules.
pub(crate) fn policy_cases(seed: u64, requests: u64) -> Vec<PolicyCase> {
    let mut cases = Vec::new();
    for system in SYSTEMS {
        add_steady(&mut cases, system);
    }
    for system in [SystemProfile::BargeControl, SystemProfile::Tavole] {
        add_messages(&mut cases, system);
        add_changes(&mut cases, system);
    }
    seeded(cases, seed, requests)
}

/// Returns the cases of failures.
pub(crate) fn failure_cases(seed: u64, requests: u64) -> Vec<PolicyCase> {
    let mut cases = Vec::new();
    for system in [SystemProfile::BargeControl, SystemProfile::Tavole] {
        add_storms(&mut cases, system);
        add_losses(&mut cases, system);
    }
    seeded(cases, seed, requests)
}

fn seeded(cases: Vec<PolicyCase>, seed: u64, requests: u64) -> Vec<PolicyCase> {
    let set = |mut case: PolicyCase| {
        case.setup = case.setup.with_seed(seed).with_requests(requests);
        case
    };
    cases.into_iter().map(set).collect()
}

fn add_steady(cases: &mut Vec<PolicyCase>, system: SystemProfile) {
    for load in LOADS {
        let relays = RELAYS.into_iter().filter(|it| it.fits(system.targets()));
        for relay in relays {
            let setup = RunSetup::new(system, ACCEPT, relay).with_load(load);
            cases.push(PolicyCase::new(CaseGroup::Relay, "steady", setup));
        }
        if system.reserve() > 0 {
            let setup = RunSetup::new(system, ACCEPT, RELAY).with_load(load);
            let plain = setup.clone().with_reserve(0);
            cases.push(PolicyCase::new(CaseGroup::Relay, "no reserve", plain));
            let long = setup.with_bulk_work(LONG_BULK);
            let plain = long.clone().with_reserve(0);
            cases.push(PolicyCase::new(CaseGroup::Relay, "bulk of 2 s", long));
            cases.push(PolicyCase::new(
                CaseGroup::Relay,
                "bulk of 2 s, no reserve",
                plain,
            ));
        }
    }
    if system.targets() < 4 {
        return;
    }
    for load in LOADS {
        for relay in [RelayRule::Never, RELAY] {
            for accept in ACCEPTS {
                let setup = RunSetup::new(system, accept, relay).with_load(load);
                cases.push(PolicyCase::new(CaseGroup::Accept, "steady", setup));
            }
        }
    }
}

fn add_messages(cases: &mut Vec<PolicyCase>, system: SystemProfile) {
    let relays = [
        RelayRule::ShorterOfTwo,
        claims_at(2, false),
        RELAY,
        RelayRule::Stealing,
    ];
    let mut add = |title: &str, setup: RunSetup| {
        cases.push(PolicyCase::new(CaseGroup::Messages, title, setup));
    };
    for relay in relays {
        let setup = RunSetup::new(system, ACCEPT, relay);
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
        let setup = RunSetup::new(system, ACCEPT, RELAY).with_loss(10);
        add(&title, setup.with_hold(ModelMicros::from_millis(millis)));
    }
    for seconds in [1, 5, 30] {
        let setup = RunSetup::new(system, LAGGING, RELAY);
        let period = ModelMicros::from_seconds(seconds);
        let title = format!("load reports every {seconds} s");
        add(&title, setup.with_report_period(period));
    }
}

fn add_changes(cases: &mut Vec<PolicyCase>, system: SystemProfile) {
    let rules = [
        (AcceptRule::HashOnly, RelayRule::Never),
        (ACCEPT, RelayRule::Never),
        (ACCEPT, RelayRule::ShorterOfTwo),
        (ACCEPT, claims_at(2, false)),
        (ACCEPT, RELAY),
        (ACCEPT, RelayRule::Stealing),
        (ACCEPT, BOUND),
    ];
    let start = ModelMicros::ZERO;
    let extra = system.targets();
    for (accept, relay) in rules {
        let setup = RunSetup::new(system, accept, relay);
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
        let cold = FaultKind::ColdStart { target: extra };
        add(
            "a further target starts cold, 90% load",
            setup
                .clone()
                .with_load(90)
                .with_absent(1)
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

/// Lets three times the callers connect within 10 s, with three times the
/// requests for 30 s.
fn with_release(setup: RunSetup) -> RunSetup {
    let callers = setup.callers * 2;
    let arrive = FaultKind::Callers {
        count: callers,
        over: ModelMicros::from_seconds(10),
    };
    setup
        .with_load(50)
        .with_fault(ModelMicros::from_seconds(60), arrive)
        .with_fault(
            ModelMicros::from_seconds(60),
            FaultKind::Rate { factor: 3.0 },
        )
        .with_fault(
            ModelMicros::from_seconds(90),
            FaultKind::Rate { factor: 1.0 },
        )
}

fn add_storms(cases: &mut Vec<PolicyCase>, system: SystemProfile) {
    let at_once = |budget_percent, cancels, tells_deadline| RetryHabit::AtOnce {
        times: 3,
        patience: ModelMicros::from_seconds(1),
        budget_percent,
        cancels,
        tells_deadline,
    };
    let habits = [
        ("callers never resend", RetryHabit::Never),
        ("resend 3 times", at_once(None, false, false)),
        ("resend, budget 10%", at_once(Some(10), false, false)),
        ("resend, cancel", at_once(None, true, false)),
        ("resend, cancel, deadline", at_once(None, true, true)),
        ("resend, budget 10%, cancel", at_once(Some(10), true, false)),
        (
            "resend, budget 10%, cancel, deadline",
            at_once(Some(10), true, true),
        ),
    ];
    for (title, habit) in habits {
        let setup = RunSetup::new(system, ACCEPT, RELAY).with_retry(habit);
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

fn add_losses(cases: &mut Vec<PolicyCase>, system: SystemProfile) {
    let at = ModelMicros::from_seconds(60);
    let setup = RunSetup::new(system, ACCEPT, RELAY).with_load(50);
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
    for target in (0..system.targets()).step_by(SystemProfile::FAILURE_DOMAINS) {
        lost = lost.with_fault(at, FaultKind::Crash { target });
    }
    add("a failure domain is lost, 50% load", lost);
    let mut restarted = setup.clone();
    let mut drained = setup;
    for target in 0..system.targets() {
        let turn = at.after(ModelMicros::from_seconds(40 * target as u64));
        let back = turn.after(ModelMicros::from_seconds(10));
        let cold = FaultKind::ColdStart { target };
        restarted = restarted
            .with_fault(turn, FaultKind::Crash { target })
            .with_fault(back, cold);
        drained = drained
            .with_fault(turn, FaultKind::Drain { target })
            .with_fault(back, cold);
    }
    add(
        "every target restarts in turn, unplanned, 50% load",
        restarted,
    );
    add("every target restarts in turn, drained, 50% load", drained);
}
