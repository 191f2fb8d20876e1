//! Agents that claim each other's slots while the network drops, delays,
//! duplicates and reorders messages and agents crash.

mod single_claims;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
};

use proptest::prelude::*;

use super::{
    AddressedFrame, AgentIdentity, BindVerdict, BrokerOutput, ClaimFrame, ClaimKey, PeerView,
    SlotBroker, sample_peers,
};
use crate::{
    agent::{
        slot::{SlotEvent, SlotKey, SlotLimits, SlotOrigin, SlotRequest, SlotVerdict, WaiterKey},
        tests::fixed_cases,
    },
    clock::ClockMillis,
    key::{IncarnationId, TargetKey},
    manifest::RequestPriority,
};

const AGENTS: usize = 3;
const LIMITS: SlotLimits = SlotLimits {
    slots: 2,
    queue: 6,
    reserve: 0,
};

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(usize, u64),
    Finish(usize),
    Withdraw(usize),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    AdvanceTime(u64),
    Kill(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..AGENTS, 1u64..2_000).prop_map(|(at, time_left)| Step::Arrive(at, time_left)),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Withdraw),
        8 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Duplicate),
        1 => any::<usize>().prop_map(Step::Drop),
        3 => (1u64..60).prop_map(Step::AdvanceTime),
        1 => (0..AGENTS).prop_map(Step::Kill),
    ]
}

/// A running request: the agent index and the slot it holds.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    at: usize,
    slot: SlotKey,
}

struct SimulatedCluster {
    brokers: Vec<SlotBroker>,
    incarnations: Vec<u64>,
    waiting: BTreeMap<(usize, WaiterKey), u64>,
    running: Vec<RunningRequest>,
    started: BTreeSet<u64>,
    network: Vec<AddressedFrame>,
    relayed: Vec<(u64, TargetKey, ClaimKey)>,
    requests: u64,
    now: ClockMillis,
}

fn target(index: usize) -> TargetKey {
    let port = u16::try_from(index).expect("few agents");
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

fn index_of(target: TargetKey) -> usize {
    usize::from(target.address().port())
}

fn broker(index: usize, incarnation: u64) -> SlotBroker {
    let own = AgentIdentity {
        target: target(index),
        incarnation: IncarnationId::new(incarnation),
    };
    SlotBroker::new(own, LIMITS)
}

fn peer_views(except: usize) -> Vec<PeerView> {
    (0..AGENTS)
        .filter(|index| *index != except)
        .map(|index| PeerView {
            target: target(index),
            request_load_permille: 0,
            reported_at: None,
        })
        .collect()
}

impl SimulatedCluster {
    fn new() -> Self {
        Self {
            brokers: (0..AGENTS).map(|index| broker(index, 0)).collect(),
            incarnations: vec![0; AGENTS],
            waiting: BTreeMap::new(),
            running: Vec::new(),
            started: BTreeSet::new(),
            network: Vec::new(),
            relayed: Vec::new(),
            requests: 0,
            now: ClockMillis::ORIGIN,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(at, time_left) => self.arrive(at, time_left),
            Step::Finish(index) if !self.running.is_empty() => {
                let run = self.running.swap_remove(index % self.running.len());
                let output = self.brokers[run.at].release(run.slot, self.now);
                self.apply_output(run.at, output);
            }
            Step::Withdraw(index) => self.withdraw(index),
            Step::Deliver(index) => self.deliver(index),
            Step::Duplicate(index) if !self.network.is_empty() => {
                self.network.push(self.network[index % self.network.len()]);
            }
            Step::Drop(index) if !self.network.is_empty() => {
                self.network.swap_remove(index % self.network.len());
            }
            Step::AdvanceTime(span) => self.advance_time(span),
            Step::Kill(at) => self.kill(at),
            Step::Finish(_) | Step::Duplicate(_) | Step::Drop(_) => {}
        }
        self.check_slots();
    }

    fn arrive(&mut self, at: usize, time_left: u64) {
        self.requests += 1;
        let request = SlotRequest {
            priority: RequestPriority::Normal,
            deadline: ClockMillis::new(self.now.millis() + time_left),
            origin: SlotOrigin::Local,
        };
        let draw = self.requests;
        let (verdict, output) =
            self.brokers[at].request(request, Some(&peer_views(at)), draw, self.now);
        match verdict {
            SlotVerdict::Run(slot) => self.start(self.requests, at, slot),
            SlotVerdict::Wait(waiter) => {
                self.waiting.insert((at, waiter), self.requests);
            }
            SlotVerdict::Refuse(_) => {}
        }
        self.apply_output(at, output);
    }

    fn deliver(&mut self, index: usize) {
        let pending = self.network.len() + self.relayed.len();
        if pending == 0 {
            return;
        }
        let at = index % pending;
        if at < self.network.len() {
            let send = self.network.swap_remove(at);
            let to = index_of(send.to);
            let output = self.brokers[to].receive(send.frame, self.now);
            self.apply_output(to, output);
            return;
        }
        let (request, granter, key) = self.relayed.swap_remove(at - self.network.len());
        let to = index_of(granter);
        // A request whose grant has expired did not run; the error goes back to its caller.
        if let BindVerdict::Bound(slot) = self.brokers[to].bind(key) {
            self.start(request, to, slot);
        }
    }

    fn withdraw(&mut self, index: usize) {
        let position = index % self.waiting.len().max(1);
        let Some((at, waiter)) = self.waiting.keys().copied().nth(position) else {
            return;
        };
        self.waiting.remove(&(at, waiter));
        let output = self.brokers[at].withdraw(waiter);
        self.apply_output(at, output);
    }

    fn advance_time(&mut self, span: u64) {
        self.now = ClockMillis::new(self.now.millis() + span);
        for at in 0..AGENTS {
            let draw = self.now.millis();
            let output = self.brokers[at].advance(&peer_views(at), draw, self.now);
            self.apply_output(at, output);
        }
    }

    fn kill(&mut self, at: usize) {
        self.incarnations[at] += 1;
        self.brokers[at] = broker(at, self.incarnations[at]);
        self.running.retain(|run| run.at != at);
        self.waiting.retain(|(home, _), _| *home != at);
    }

    fn apply_output(&mut self, at: usize, output: BrokerOutput) {
        self.network.extend(output.frames);
        for event in output.events {
            match event {
                SlotEvent::Started { waiter, slot } => {
                    let request = self.waiting.remove(&(at, waiter)).expect("it waited");
                    self.start(request, at, slot);
                }
                SlotEvent::Refused { waiter, .. } => {
                    self.waiting.remove(&(at, waiter)).expect("it waited");
                }
            }
        }
        for grant in output.grants {
            let request = self.waiting.remove(&(at, grant.waiter)).expect("it waited");
            self.relayed.push((request, grant.granter, grant.key));
        }
    }

    fn start(&mut self, request: u64, at: usize, slot: SlotKey) {
        assert!(self.started.insert(request), "a request ran twice");
        self.running.push(RunningRequest { at, slot });
    }

    fn check_slots(&self) {
        for at in 0..AGENTS {
            let running = self.running.iter().filter(|run| run.at == at).count();
            let counts = self.brokers[at].counts();
            assert!(running <= 2, "more requests than slots");
            assert!(
                running <= usize::from(counts.running),
                "a request runs without a slot"
            );
            assert!(
                counts.running <= 2 && counts.waiting <= 6,
                "limits exceeded"
            );
        }
    }

    /// Finishes all requests, with no further message loss.
    fn run_to_completion(&mut self) {
        for _ in 0..200 {
            while let Some(run) = self.running.pop() {
                let output = self.brokers[run.at].release(run.slot, self.now);
                self.apply_output(run.at, output);
            }
            for _ in 0..200 {
                self.deliver(0);
            }
            self.advance_time(20);
            self.check_slots();
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(600))]

    #[test]
    fn each_request_runs_at_most_once_and_no_slot_leaks(
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut cluster = SimulatedCluster::new();
        for step in steps {
            cluster.step(step);
        }
        cluster.run_to_completion();
        prop_assert!(cluster.waiting.is_empty(), "every request was started or refused");
        for broker in &cluster.brokers {
            prop_assert_eq!(broker.counts().running, 0, "every slot was released");
            prop_assert_eq!(broker.claims(), (0, 0), "every claim ended");
        }
    }

    #[test]
    fn arbitrary_frames_are_decoded_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Ok(frame) = postcard::from_bytes::<ClaimFrame>(&bytes) {
            let mut broker = broker(0, 0);
            broker.receive(frame, ClockMillis::ORIGIN);
        }
    }

    #[test]
    fn sampled_peers_differ_and_the_least_loaded_comes_first(draw: u64, lightest in 0usize..7) {
        let peers: Vec<PeerView> = (0..7)
            .map(|index| PeerView {
                target: target(index),
                request_load_permille: if index == lightest { 0 } else { 900 },
                reported_at: Some(ClockMillis::ORIGIN),
            })
            .collect();
        let chosen = sample_peers(&peers, draw, ClockMillis::ORIGIN);
        prop_assert_eq!(chosen.len(), 2);
        prop_assert_ne!(chosen[0], chosen[1]);
        if let Some(position) = chosen.iter().position(|peer| *peer == target(lightest)) {
            prop_assert_eq!(position, 0);
        }
    }
}

#[test]
fn a_claim_key_round_trips_through_text() {
    let key = ClaimKey {
        claimant: AgentIdentity {
            target: target(5),
            incarnation: IncarnationId::new(77),
        },
        sequence: 9,
    };
    assert_eq!(key.to_string().parse(), Ok(key));
    assert!("127.0.0.1:1/zz/3".parse::<ClaimKey>().is_err());
}
