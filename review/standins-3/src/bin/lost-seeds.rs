//! An agent is restarted while the machines that its settings name as seeds are gone.
//! Usage: lost-seeds trouble|calm RECORD. Exits with 1 if the system reset a flow whose target lives, 0 if
//! not, 2 if the case could not run.

use std::{
    collections::BTreeMap,
    net::Ipv4Addr,
    process::ExitCode,
    thread::sleep,
    time::{Duration, Instant},
};

use review_standins_3::{
    MachineClass, Record, Site, Tolerance,
    flows::{Fabric, Flow, Outcome, Requester, Target},
    read_arguments,
};

const FLOWS: u16 = 180;
const REQUEST_LIMIT: Duration = Duration::from_millis(2_500);
/// The time from the restart of the agent to that of an entry process.
const SETTLE: Duration = Duration::from_secs(14);

struct Test {
    record: Record,
    requester: Requester,
    flows: Vec<Flow>,
    targets: Vec<Target>,
    resets: Vec<u16>,
}

impl Test {
    /// Sends a request on each flow that is open.
    fn send_round(&mut self, label: &str) {
        let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
        let mut closed = Vec::new();
        for flow in &mut self.flows {
            let (outcome, entry) = self.requester.request(flow, REQUEST_LIMIT);
            *outcomes.entry(format!("{outcome:?}")).or_default() += 1;
            if outcome != Outcome::Answered {
                // The attempt has ended; a further one uses a new flow from a new port.
                closed.push(flow.port);
            }
            if let Outcome::Reset { by_target } = outcome {
                if !by_target {
                    let first = format!("X-Request-Id: {}-1\r\n", flow.port);
                    let holds =
                        |target: &&Target| {
                            target.log.runs.lock().is_ok_and(|runs| {
                                runs.keys().any(|request| request.contains(&first))
                            })
                        };
                    let target = self.targets.iter().find(holds).map(|target| target.address);
                    self.resets.push(flow.port);
                    self.record.line(&format!(
                        "requester: flow {} got a reset of the system; last packet sent to {}, \
                         its target at {} lives",
                        flow.port,
                        show(entry),
                        show(target)
                    ));
                }
            }
        }
        let retried = closed.iter().map(|port| 3_000 + port);
        let retried: Vec<Flow> = retried
            .filter_map(|port| self.requester.open(port))
            .collect();
        self.flows.retain(|flow| !closed.contains(&flow.port));
        self.flows.extend(retried);
        self.record.line(&format!("{label}: {outcomes:?}"));
    }

    fn send_rounds(&mut self, label: &str, span: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < span {
            self.send_round(label);
            sleep(Duration::from_millis(700));
        }
    }
}

fn main() -> ExitCode {
    let Some((trouble, path)) = read_arguments() else {
        return ExitCode::from(2);
    };
    let mut record = Record::create(&path);
    let tolerance = Tolerance {
        machines: 1,
        zones: 0,
    };
    let Some(mut site) = Site::new(&["fjord-a"], 3, tolerance) else {
        record.line("the program is not built, or no loopback addresses are free");
        return ExitCode::from(2);
    };
    let thin = MachineClass::Edge { has_disk: false };
    let entries: Vec<usize> = (0..6)
        .map(|_| site.add_machine_of(thin, "fjord-a"))
        .collect();
    let sides: Vec<usize> = (0..3)
        .map(|_| site.add_machine_of(MachineClass::Side, "fjord-a"))
        .collect();
    site.seeds = (0..3).map(|index| site.machines[index].address).collect();
    for index in 0..site.machines.len() {
        site.start(index);
    }
    let mut targets = Vec::new();
    for side in &sides {
        let Some(target) = Target::start(site.machines[*side].address, &format!("i-{side}")) else {
            record.line("no port for a target");
            return ExitCode::from(2);
        };
        targets.push(target);
    }
    let status = site.put_config(10, Duration::from_secs(10));
    record.line(&format!("operator: version 10 answered with {status:?}"));
    if status != Some(200) {
        return ExitCode::from(2);
    }
    site.bootstrap = false;
    let edges = site
        .machines
        .iter()
        .filter(|machine| machine.class != MachineClass::Side);
    let fabric = Fabric::start(
        &edges
            .map(|machine| machine.address)
            .collect::<Vec<Ipv4Addr>>(),
    );
    sleep(Duration::from_secs(10));
    let requester = Requester::start(site.address(200), site.route(), fabric.clone());
    let Some(requester) = requester else {
        record.line("no port for the requester");
        return ExitCode::from(2);
    };
    record.line(&format!("routers: in rotation {:?}", fabric.in_rotation()));
    let flows: Vec<Flow> = (0..FLOWS)
        .filter_map(|number| requester.open(2_000 + number))
        .collect();
    record.line(&format!(
        "requester: {} of {FLOWS} flows are open",
        flows.len()
    ));
    if flows.len() < usize::from(FLOWS) / 2 {
        return ExitCode::from(2);
    }
    let mut test = Test {
        record,
        requester,
        flows,
        targets,
        resets: Vec::new(),
    };
    test.send_round("requests");
    let held: Vec<String> = test
        .targets
        .iter()
        .map(|t| format!("{}: {}", t.address, t.runs()))
        .collect();
    test.record
        .line(&format!("targets: requests run so far {held:?}"));
    // The seeds are exchanged for other machines that serve control_plane.
    site.seeds = entries[..3]
        .iter()
        .map(|index| site.machines[*index].address)
        .collect();
    if trouble {
        for index in &entries[..3] {
            site.stop(*index);
        }
        test.record
            .line("platform: the three machines that are the seeds now got SIGTERM and left");
    }
    test.send_rounds("requests", Duration::from_secs(3));
    let agent = sides[0];
    let has_ended = site.stop(agent);
    sleep(Duration::from_millis(300));
    site.start(agent);
    test.record.line(&format!(
        "platform: {} was stopped (within grace-s: {has_ended}) and started again",
        site.machines[agent].address
    ));
    test.send_rounds("requests", SETTLE);
    let (acked, unacked) = (
        &test.targets[0].log.acked_pings,
        &test.targets[0].log.unacked_pings,
    );
    let pings = format!("{acked:?} acknowledged, {unacked:?} not");
    test.record
        .line(&format!("pings of the target beside it: {pings}"));
    let new: Vec<Flow> = (0..FLOWS)
        .filter_map(|number| test.requester.open(9_000 + number))
        .collect();
    for mut flow in new {
        let _ = test.requester.request(&mut flow, REQUEST_LIMIT);
    }
    let count = |target: &Target| {
        let runs = target.log.runs.lock();
        runs.map_or(0, |runs| {
            runs.keys()
                .filter(|request| request.contains("X-Request-Id: 9"))
                .count()
        })
    };
    let counts: Vec<usize> = test.targets.iter().map(count).collect();
    test.record.line(&format!(
        "targets: requests of {FLOWS} new flows, the one beside it first: {counts:?}"
    ));
    let restarted = entries[3];
    site.signal(restarted, "TERM");
    test.record.line(&format!(
        "platform: SIGTERM to the entry process at {}, whose flows move to others",
        site.machines[restarted].address
    ));
    while !site.has_ended(restarted) {
        test.send_round("requests");
        sleep(Duration::from_millis(100));
    }
    site.wait_for_end(restarted);
    site.start(restarted);
    test.record.line("platform: it runs again");
    test.send_rounds("requests", Duration::from_secs(5));
    let ended = site.ended();
    if !ended.is_empty() {
        test.record
            .line(&format!("ended by themselves: {}", ended.join(", ")));
    }
    if test.resets.is_empty() {
        test.record.line("held: no flow was reset by the system");
        return ExitCode::SUCCESS;
    }
    let count = test.resets.len();
    test.record.line(&format!(
        "BROKEN: the system reset {count} flows whose target lives"
    ));
    ExitCode::from(1)
}

fn show(address: Option<Ipv4Addr>) -> String {
    address.map_or_else(|| "none".to_owned(), |address| address.to_string())
}
