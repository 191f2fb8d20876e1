//! Requesters, each with an address of its own and one flow at a time.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    target::{Flow, rand_u32, request_id},
};

/// A reset of the system counts if it is this close to the last `ack`.
const RESET_WINDOW: u32 = 76_800;
/// How long each copy of an opening waits for an answer.
const OPENING_WAITS: [u64; 3] = [200, 400, 800];

/// What requesters have seen.
#[derive(Debug, Default)]
pub struct CallerLog {
    pub answered: u32,
    pub unanswered: u32,
    pub refused: u32,
    /// Openings that got no answer at all.
    pub unopened: u32,
    /// Flows that the system has reset while they were open: when, and the flow.
    pub resets: Vec<(f64, Flow)>,
    /// Answers that belong to no waiting request, or that nobody wrote so.
    pub foreign: u32,
    /// Requests that were sent on an open flow: id, when, and whether answered.
    pub requests: Vec<(String, f64, bool)>,
}

/// How a requester behaves.
#[derive(Debug, Clone)]
pub struct CallerHabit {
    /// The requests on one flow before it is closed.
    pub requests_per_flow: u32,
    pub pause: Duration,
    /// The time limit of a request.
    pub limit: Duration,
}

/// A requester that runs until `stop`.
#[derive(Debug)]
pub struct Caller {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Caller {
    /// Starts a requester at `own`; its packets go to one of the nodes in rotation, by
    /// flow.
    pub fn start(
        own: SocketAddrV4,
        rotation: Arc<Mutex<Vec<SocketAddrV4>>>,
        listener: SocketAddrV4,
        habit: CallerHabit,
        log: Arc<Mutex<CallerLog>>,
        record: Record,
    ) -> Option<Self> {
        let socket = UdpSocket::bind(own).ok()?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut run = CallerRun {
            socket,
            own,
            rotation,
            listener,
            habit,
            log,
            record,
            stop: Arc::clone(&stop),
            number: 0,
        };
        let thread = thread::spawn(move || {
            for port in 20_000_u16..60_000 {
                if run.stop.load(Ordering::SeqCst) {
                    return;
                }
                run.run_flow(port);
            }
        });
        Some(Self {
            stop,
            thread: Some(thread),
        })
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct CallerRun {
    socket: UdpSocket,
    own: SocketAddrV4,
    rotation: Arc<Mutex<Vec<SocketAddrV4>>>,
    listener: SocketAddrV4,
    habit: CallerHabit,
    log: Arc<Mutex<CallerLog>>,
    record: Record,
    stop: Arc<AtomicBool>,
    number: u32,
}

impl CallerRun {
    /// Sends a packet to the node that the hash of the flow selects ("steady").
    fn send(&self, packet: &Packet) {
        let nodes = self.rotation.lock().expect("no panic").clone();
        let flow = u64::from(packet.source.port()) << 32 | u64::from(packet.source.ip().to_bits());
        let weight = |node: &SocketAddrV4| {
            let mixed = (flow ^ u64::from(node.ip().to_bits()).rotate_left(17))
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        };
        if let Some(node) = nodes.iter().max_by_key(|node| weight(node)) {
            let _ = self.socket.send_to(&packet.encode(), node);
        }
    }

    fn receive(&self, flow: Flow, wait: Duration) -> Option<Packet> {
        let end = Instant::now() + wait;
        let mut buffer = [0; 2_048];
        loop {
            let left = end.checked_duration_since(Instant::now())?;
            let left = left.max(Duration::from_millis(1));
            self.socket.set_read_timeout(Some(left)).ok()?;
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some((packet, is_genuine)) = Packet::decode(&buffer[..length]) else {
                continue;
            };
            let is_system_reset = packet.flags == RST && !is_genuine;
            if !is_genuine && !is_system_reset {
                self.record.line(format!(
                    "requester {}: a packet that nobody wrote so",
                    self.own
                ));
                self.log.lock().expect("no panic").foreign += 1;
                continue;
            }
            if (packet.destination, packet.source) == flow {
                return Some(packet);
            }
        }
    }

    fn run_flow(&mut self, port: u16) {
        let source = SocketAddrV4::new(*self.own.ip(), port);
        let flow = (source, self.listener);
        let first = rand_u32();
        let Some(opened) = self.open(flow, first) else {
            thread::sleep(Duration::from_millis(100));
            return;
        };
        let mut sequence = first.wrapping_add(1);
        let mut acknowledged = opened.sequence.wrapping_add(1);
        let packet = |sequence, acknowledged, flags, data: Vec<u8>| Packet {
            source,
            destination: flow.1,
            flags,
            sequence,
            acknowledged,
            echo: 0,
            data,
        };
        self.send(&packet(sequence, acknowledged, ACK, Vec::new()));
        for _ in 0..self.habit.requests_per_flow {
            if self.stop.load(Ordering::SeqCst) {
                break;
            }
            self.number += 1;
            let id = format!("{}-{port}-{}", self.own.ip(), self.number);
            let data = format!("POST / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n").into_bytes();
            let request = packet(sequence, acknowledged, ACK, data.clone());
            let sent_at = self.record.now();
            let answer = self.request(flow, &request, &id);
            let mut log = self.log.lock().expect("no panic");
            log.requests.push((id, sent_at, answer.is_ok()));
            match answer {
                Ok(answer) => {
                    log.answered += 1;
                    drop(log);
                    sequence = sequence.wrapping_add(u32::try_from(data.len()).expect("short"));
                    let length = u32::try_from(answer.data.len()).expect("short");
                    acknowledged = answer.sequence.wrapping_add(length);
                    self.send(&packet(sequence, acknowledged, ACK, Vec::new()));
                }
                Err(()) => {
                    log.unanswered += 1;
                    return;
                }
            }
            // Resets may come between two requests.
            if let Some(packet) = self.receive(flow, self.habit.pause)
                && self.is_end(&packet, flow, acknowledged)
            {
                return;
            }
        }
        self.send(&packet(sequence, acknowledged, ACK | FIN, Vec::new()));
    }

    fn open(&self, flow: Flow, first: u32) -> Option<Packet> {
        for (copy, wait) in (0..).zip(OPENING_WAITS) {
            let opening = Packet {
                source: flow.0,
                destination: flow.1,
                flags: SYN,
                sequence: first,
                acknowledged: copy,
                echo: 0,
                data: Vec::new(),
            };
            self.send(&opening);
            match self.receive(flow, Duration::from_millis(wait)) {
                Some(packet) if packet.flags & RST != 0 => {
                    self.log.lock().expect("no panic").refused += 1;
                    return None;
                }
                Some(packet) if packet.flags & (SYN | ACK) == SYN | ACK => return Some(packet),
                Some(_) | None => {}
            }
        }
        self.log.lock().expect("no panic").unopened += 1;
        self.record
            .line(format!("opening of {} unanswered", flow.0));
        None
    }

    /// Returns whether a packet ends the flow; records a reset of the system.
    fn is_end(&self, packet: &Packet, flow: Flow, acknowledged: u32) -> bool {
        if packet.flags & RST == 0 {
            return false;
        }
        let distance = packet.sequence.wrapping_sub(acknowledged).cast_signed();
        let is_close = distance.unsigned_abs() <= RESET_WINDOW;
        self.record.line(format!(
            "flow {} got a reset, within the window: {is_close}",
            flow.0
        ));
        if is_close {
            let mut log = self.log.lock().expect("no panic");
            log.resets.push((self.record.now(), flow));
        }
        is_close
    }

    fn request(&self, flow: Flow, request: &Packet, id: &str) -> Result<Packet, ()> {
        let end = Instant::now() + self.habit.limit;
        let mut interval = Duration::from_millis(200);
        while Instant::now() < end {
            self.send(request);
            let resend_at = Instant::now() + interval;
            while let Some(left) = resend_at.checked_duration_since(Instant::now()) {
                match self.receive(flow, left) {
                    Some(packet) if self.is_end(&packet, flow, request.acknowledged) => {
                        return Err(());
                    }
                    Some(packet) if !packet.data.is_empty() => {
                        if request_id(&packet.data) == id {
                            return Ok(packet);
                        }
                        if packet.sequence == request.acknowledged {
                            self.log.lock().expect("no panic").foreign += 1;
                            self.record.line(format!("request {id}: a foreign answer"));
                        }
                    }
                    Some(_) => {}
                    None => break,
                }
            }
            interval = (interval * 2).min(Duration::from_millis(1_600));
        }
        self.record.line(format!("request {id}: no answer"));
        Err(())
    }
}
