//! Stand-ins for requesters, targets and the routers in front of the entry processes: flows of
//! packets as the users' pages describe them.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{APP_PORT, CONTROL_PORT, OUTBOUND_PORT, PACKET_PORT, SERVICE, Site, call_once};

pub const SYN: u8 = 64;
pub const ACK: u8 = 8;
pub const RST: u8 = 16;
const BOUNCED: u8 = 2;
/// The port of the route in the operator's config.
pub const ROUTE_PORT: u16 = 8443;
/// What the ends write as their keyed sum; the system does not know the key.
const SUM: u32 = 0xa1b2_c3d5;
const HEADER_BYTES: usize = 32;
const PING_INTERVAL: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone)]
pub struct Packet {
    pub source: (Ipv4Addr, u16),
    pub destination: (Ipv4Addr, u16),
    pub sum: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.source.1.to_le_bytes());
        bytes.extend(self.destination.1.to_le_bytes());
        bytes.extend(self.destination.0.to_bits().to_le_bytes());
        bytes.extend(self.source.0.to_bits().to_le_bytes());
        bytes.extend(self.sum.to_le_bytes());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(&self.data);
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let header = bytes.get(..HEADER_BYTES)?;
        let u16_at = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().unwrap_or([0; 4]));
        Some(Self {
            source: (Ipv4Addr::from_bits(u32_at(8)), u16_at(0)),
            destination: (Ipv4Addr::from_bits(u32_at(4)), u16_at(2)),
            sum: u32_at(12),
            seq: u32_at(16),
            ack: u32_at(20),
            flags: header[24],
            data: bytes[HEADER_BYTES..].to_vec(),
        })
    }
}

/// A flow at a target.
struct HeldFlow {
    first_seq: u32,
    next_seq: u32,
    expected: u32,
    is_open: bool,
    last_answer: Vec<u8>,
    /// What the requester has not acknowledged: the packet, when it is due again, the pause
    /// after that, and how often it was sent again.
    unacknowledged: Option<(Vec<u8>, Instant, Duration, u32)>,
}

/// The first pause before a packet is sent again; it doubles up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// A target gives up after so many retransmissions.
const MAX_RETRANSMISSIONS: u32 = 8;

impl HeldFlow {
    fn keep(&mut self, packet: Vec<u8>) {
        self.unacknowledged = Some((packet, Instant::now() + MIN_PAUSE, MIN_PAUSE * 2, 0));
    }

    /// Returns the packet that is to be sent again now.
    fn take_due(&mut self) -> Option<Vec<u8>> {
        let (packet, due, pause, count) = self.unacknowledged.as_mut()?;
        if Instant::now() < *due {
            return None;
        }
        let packet = packet.clone();
        *due = Instant::now() + *pause;
        *pause = (*pause * 2).min(MAX_PAUSE);
        *count += 1;
        if *count >= MAX_RETRANSMISSIONS {
            self.unacknowledged = None;
        }
        Some(packet)
    }
}

/// What a target has seen, shared with the test.
#[derive(Default)]
pub struct TargetLog {
    /// The requests that it has run, by their text.
    pub runs: Mutex<HashMap<String, u32>>,
    pub acked_pings: AtomicU64,
    pub unacked_pings: AtomicU64,
    stopped: AtomicBool,
}

/// A target that runs beside the agent at `address` for as long as the test runs.
pub struct Target {
    pub address: Ipv4Addr,
    pub log: Arc<TargetLog>,
}

impl Target {
    pub fn start(address: Ipv4Addr, id: &str) -> Option<Self> {
        let log = Arc::new(TargetLog::default());
        let socket = UdpSocket::bind((address, APP_PORT)).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .ok()?;
        let listener = TcpListener::bind((address, APP_PORT)).ok()?;
        thread::spawn(move || listener.incoming().flatten().for_each(serve_health));
        let (packets, pings) = (Arc::clone(&log), Arc::clone(&log));
        let agent = SocketAddrV4::new(address, OUTBOUND_PORT);
        thread::spawn(move || serve_packets(&socket, agent, &packets));
        let id = id.to_owned();
        thread::spawn(move || send_pings(address, &id, &pings));
        Some(Self { address, log })
    }

    pub fn runs(&self) -> u32 {
        self.log.runs.lock().map_or(0, |runs| runs.values().sum())
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.log.stopped.store(true, Ordering::Relaxed);
    }
}

/// Answers a health check with 200; a connection without a request is closed.
fn serve_health(mut stream: TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut buffer = [0; 1024];
    if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
        let _ =
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
}

fn serve_packets(socket: &UdpSocket, agent: SocketAddrV4, log: &TargetLog) {
    let mut flows: HashMap<((Ipv4Addr, u16), (Ipv4Addr, u16)), HeldFlow> = HashMap::new();
    let mut buffer = [0; 2048];
    let mut isn = 0x4000_0000_u32 ^ u32::from(agent.ip().octets()[3]) << 20;
    while !log.stopped.load(Ordering::Relaxed) {
        for packet in flows.values_mut().filter_map(HeldFlow::take_due) {
            let _ = socket.send_to(&packet, agent);
        }
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some(packet) = Packet::decode(&buffer[..length]) else {
            continue;
        };
        let key = (packet.source, packet.destination);
        let answer = |flags, seq, ack, data| Packet {
            source: packet.destination,
            destination: packet.source,
            sum: SUM,
            seq,
            ack,
            flags,
            data,
        };
        if packet.flags & SYN != 0 {
            isn = isn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let flow = flows.entry(key).or_insert(HeldFlow {
                first_seq: isn,
                next_seq: isn.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                is_open: false,
                last_answer: Vec::new(),
                unacknowledged: None,
            });
            let reply = answer(SYN | ACK, flow.first_seq, flow.expected, Vec::new());
            if !flow.is_open {
                flow.keep(reply.encode());
            }
            let _ = socket.send_to(&reply.encode(), agent);
            continue;
        }
        let flow = flows
            .get_mut(&key)
            .filter(|flow| flow.is_open || packet.ack == flow.first_seq.wrapping_add(1));
        let Some(flow) = flow else {
            // A packet of a flow that it does not hold goes back as it came.
            buffer[24] |= BOUNCED;
            buffer[25] = 0;
            let _ = socket.send_to(&buffer[..length], agent);
            continue;
        };
        if !flow.is_open || packet.ack == flow.next_seq {
            flow.unacknowledged = None;
        }
        flow.is_open = true;
        if packet.flags & RST != 0 {
            flows.remove(&key);
            continue;
        }
        if packet.data.is_empty() {
            continue;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            let id = request_id(&request).to_owned();
            let head = format!(
                "X-Server-Stamp: {}\r\nContent-Length: {}",
                agent.ip(),
                id.len()
            );
            flow.last_answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{id}").into_bytes();
            flow.next_seq = flow.next_seq.wrapping_add(flow.last_answer.len() as u32);
            if let Ok(mut runs) = log.runs.lock() {
                *runs.entry(request).or_default() += 1;
            }
        }
        let seq = flow.next_seq.wrapping_sub(flow.last_answer.len() as u32);
        let reply = answer(ACK, seq, flow.expected, flow.last_answer.clone());
        flow.keep(reply.encode());
        let _ = socket.send_to(&reply.encode(), agent);
    }
}

/// Returns the id in a request.
fn request_id(request: &str) -> &str {
    let id = request.split("X-Request-Id: ").nth(1);
    id.and_then(|rest| rest.split("\r\n").next())
        .unwrap_or_default()
}

fn send_pings(address: Ipv4Addr, id: &str, log: &TargetLog) {
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis());
    let path = format!("/cyclamenrouter/instances/{id}");
    let mut sequence = 0;
    while !log.stopped.load(Ordering::Relaxed) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}:{APP_PORT}\",\
             \"zone\":\"fjord-a\",\"version\":\"v1\",\"concurrency\":4,\"state\":\"ready\",\
             \"cold-left-ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        let answer = call_once(
            SocketAddrV4::new(address, CONTROL_PORT),
            "PUT",
            &path,
            &body,
        );
        if answer.is_some_and(|(status, ..)| status == 200) {
            log.acked_pings.fetch_add(1, Ordering::Relaxed);
        } else {
            log.unacked_pings.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(PING_INTERVAL);
    }
}

/// The routers: they probe the entry processes twice a second, take one out of rotation after
/// two misses, and choose among those in rotation by a steady hash.
#[derive(Clone)]
pub struct Fabric {
    rotation: Arc<Mutex<HashMap<Ipv4Addr, u32>>>,
}

impl Fabric {
    pub fn start(entries: &[Ipv4Addr]) -> Self {
        let misses = entries.iter().map(|entry| (*entry, 2));
        let rotation = Arc::new(Mutex::new(misses.collect()));
        for entry in entries.iter().copied() {
            let rotation: Arc<Mutex<HashMap<Ipv4Addr, u32>>> = Arc::clone(&rotation);
            thread::spawn(move || {
                loop {
                    let next_at = Instant::now() + Duration::from_millis(500);
                    let is_ready = Site::is_ready(entry);
                    if let Ok(mut rotation) = rotation.lock() {
                        let misses = rotation.entry(entry).or_default();
                        *misses = if is_ready { 0 } else { *misses + 1 };
                    }
                    thread::sleep(next_at.saturating_duration_since(Instant::now()));
                }
            });
        }
        Self { rotation }
    }

    pub fn in_rotation(&self) -> Vec<Ipv4Addr> {
        let Ok(rotation) = self.rotation.lock() else {
            return Vec::new();
        };
        let ready = rotation.iter().filter(|(_, misses)| **misses < 2);
        let mut ready: Vec<Ipv4Addr> = ready.map(|(entry, _)| *entry).collect();
        if ready.len() * 2 < rotation.len() {
            // With fewer than half of a zone's nodes in rotation all of them are used.
            ready = rotation.keys().copied().collect();
        }
        ready.sort_unstable();
        ready
    }

    /// Chooses by a hash of the caller's address and port; the route's are always the same.
    fn choose(&self, caller: (Ipv4Addr, u16)) -> Option<Ipv4Addr> {
        self.in_rotation().into_iter().max_by_key(|entry| {
            let mut hash = u64::from(entry.to_bits()) << 16
                ^ u64::from(caller.1)
                ^ u64::from(caller.0.to_bits()) << 24;
            for _ in 0..3 {
                hash = (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            }
            hash ^ hash >> 32
        })
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// An answer that is not the target's to this request.
    Foreign,
    /// A reset, and whether the target wrote it.
    Reset {
        by_target: bool,
    },
    TimedOut,
}

/// A requester with many flows.
pub struct Requester {
    socket: UdpSocket,
    address: Ipv4Addr,
    route: (Ipv4Addr, u16),
    fabric: Fabric,
    /// Packets that came for another flow than the one that is waited for.
    pending: RefCell<HashMap<u16, VecDeque<Packet>>>,
}

/// An open flow of a requester.
#[derive(Debug, Clone)]
pub struct Flow {
    pub port: u16,
    next_seq: u32,
    expected: u32,
    requests: u32,
}

impl Requester {
    pub fn start(address: Ipv4Addr, route: Ipv4Addr, fabric: Fabric) -> Option<Self> {
        let socket = UdpSocket::bind((address, PACKET_PORT)).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .ok()?;
        Some(Self {
            socket,
            address,
            route: (route, ROUTE_PORT),
            fabric,
            pending: RefCell::default(),
        })
    }

    fn send(&self, port: u16, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Option<Ipv4Addr> {
        let caller = (self.address, port);
        let entry = self.fabric.choose(caller)?;
        let packet = Packet {
            source: caller,
            destination: self.route,
            sum: SUM,
            seq,
            ack,
            flags,
            data: data.to_vec(),
        };
        self.socket
            .send_to(&packet.encode(), (entry, PACKET_PORT))
            .ok()?;
        Some(entry)
    }

    fn receive(&self, port: u16) -> Option<Packet> {
        let mut pending = self.pending.borrow_mut();
        if let Some(packet) = pending.get_mut(&port).and_then(VecDeque::pop_front) {
            return Some(packet);
        }
        let mut buffer = [0; 2048];
        let (length, _) = self.socket.recv_from(&mut buffer).ok()?;
        let packet = Packet::decode(&buffer[..length])?;
        if packet.destination.1 == port {
            return Some(packet);
        }
        pending
            .entry(packet.destination.1)
            .or_default()
            .push_back(packet);
        None
    }

    /// Opens a flow: a SYN, and copies after 200 and 600 ms.
    pub fn open(&self, port: u16) -> Option<Flow> {
        let seq = 0x1122_0000 + u32::from(port);
        let started_at = Instant::now();
        let mut copies = 0;
        while started_at.elapsed() < Duration::from_millis(1_400) {
            let due = [0, 200, 600]
                .get(copies as usize)
                .copied()
                .unwrap_or(u64::MAX);
            if started_at.elapsed() >= Duration::from_millis(due.min(100_000)) {
                self.send(port, SYN, seq, copies, &[]);
                copies += 1;
            }
            if let Some(packet) = self.receive(port) {
                if packet.flags & RST != 0 {
                    return None;
                }
                if packet.flags & (SYN | ACK) == SYN | ACK {
                    let flow = Flow {
                        port,
                        next_seq: seq.wrapping_add(1),
                        expected: packet.seq.wrapping_add(1),
                        requests: 0,
                    };
                    self.send(port, ACK, flow.next_seq, flow.expected, &[]);
                    return Some(flow);
                }
            }
        }
        None
    }

    /// Sends a request on an open flow, again after 200 ms and growing pauses, and waits for
    /// its answer; returns the entry that the last packet went to as well.
    pub fn request(&self, flow: &mut Flow, limit: Duration) -> (Outcome, Option<Ipv4Addr>) {
        flow.requests += 1;
        let id = format!("{}-{}", flow.port, flow.requests);
        let text = format!("GET / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n");
        let started_at = Instant::now();
        let mut pause = Duration::from_millis(200);
        let mut send_at = started_at;
        let mut entry = None;
        while started_at.elapsed() < limit {
            if Instant::now() >= send_at {
                entry = self.send(
                    flow.port,
                    ACK,
                    flow.next_seq,
                    flow.expected,
                    text.as_bytes(),
                );
                send_at = Instant::now() + pause;
                pause = (pause * 2).min(Duration::from_millis(1_600));
            }
            let Some(packet) = self.receive(flow.port) else {
                continue;
            };
            if packet.flags & RST != 0 {
                // A reset counts if its sequence number is near the last acknowledged one.
                let distance = packet.seq.wrapping_sub(flow.expected).cast_signed();
                if distance.unsigned_abs() <= 76_800 {
                    let by_target = packet.sum != 0;
                    return (Outcome::Reset { by_target }, entry);
                }
            } else if packet.seq == flow.expected && !packet.data.is_empty() {
                flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                self.send(flow.port, ACK, flow.next_seq, flow.expected, &[]);
                let answer = String::from_utf8_lossy(&packet.data);
                let is_own = answer.contains("X-Server-Stamp: ")
                    && answer.ends_with(&format!("\r\n\r\n{id}"));
                return (
                    if is_own {
                        Outcome::Answered
                    } else {
                        Outcome::Foreign
                    },
                    entry,
                );
            }
        }
        (Outcome::TimedOut, entry)
    }
}
