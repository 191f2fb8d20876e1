//! A target that announces itself, accepts flows and answers requests.

use std::{
    collections::{BTreeSet, HashMap},
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http,
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const INSTANCE_PATH: &str = "/cyclamenrouter/instances/";

/// A flow as both ends name it: the requester's end and the route's.
pub type Flow = (SocketAddrV4, SocketAddrV4);

/// What a target needs to know.
#[derive(Debug, Clone)]
pub struct TargetPlace {
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// What happened at a target.
#[derive(Debug, Default)]
pub struct TargetLog {
    /// The flows that are open now.
    pub open: BTreeSet<Flow>,
    /// How often each request ran, by its id.
    pub runs: HashMap<String, u32>,
    /// Packets that their sender did not write so.
    pub forged: u32,
    /// Flows opened since the start, with the time of the opening packet.
    pub openings: Vec<(f64, Flow)>,
}

/// One boot of a target.
#[derive(Debug)]
pub struct Target {
    pub place: TargetPlace,
    pub id: String,
    pub born: u64,
    pub log: Arc<Mutex<TargetLog>>,
    pub draining: Arc<AtomicBool>,
    /// When draining was acknowledged, in milliseconds since the start of the record.
    pub drain_acked: Arc<AtomicU64>,
    running: Arc<AtomicBool>,
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}

impl Target {
    /// Starts a boot; fails if its addresses are taken.
    pub fn start(place: TargetPlace, id: &str, work: Duration, record: &Record) -> Option<Self> {
        let socket = UdpSocket::bind(place.app).ok()?;
        let health = TcpListener::bind(place.app).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(50)))
            .ok()?;
        health.set_nonblocking(true).ok()?;
        let target = Self {
            place,
            id: id.to_owned(),
            born: unix_millis(),
            log: Arc::default(),
            draining: Arc::default(),
            drain_acked: Arc::default(),
            running: Arc::new(AtomicBool::new(true)),
        };
        target.spawn_health(health);
        target.spawn_pings(record.clone());
        target.spawn_flows(socket, work, record.clone());
        record.line(format!(
            "target {id} of {} started at {}, born {}",
            target.place.service, target.place.app, target.born
        ));
        Some(target)
    }

    /// Returns the body of a ping.
    pub fn ping_body(&self, sequence: u64) -> String {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"concurrency\":4,\"state\":\"{state}\",\"cold-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.place.service, self.place.app, self.place.zone, self.born
        )
    }

    fn spawn_health(&self, listener: TcpListener) {
        let running = Arc::clone(&self.running);
        thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((mut stream, _)) => {
                        thread::spawn(move || {
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                            let mut buffer = [0; 1_024];
                            if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
                                let _ = stream.write_all(
                                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\
                                      Connection: close\r\n\r\n",
                                );
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            }
        });
    }

    fn spawn_pings(&self, record: Record) {
        let target = self.view();
        thread::spawn(move || {
            let path = format!("{INSTANCE_PATH}{}", target.id);
            let mut sequence = 0;
            let mut known = None;
            while target.running.load(Ordering::SeqCst) {
                sequence += 1;
                let draining = target.draining.load(Ordering::SeqCst);
                let answer = http::call(
                    target.place.control,
                    "PUT",
                    &path,
                    &target.ping_body(sequence),
                );
                let status = answer.map(|(status, ..)| status);
                if known != Some((draining, status)) {
                    known = Some((draining, status));
                    record.line(format!(
                        "ping {sequence} of {}, draining {draining}: answer {status:?}",
                        target.id
                    ));
                }
                if draining && status == Some(200) && target.drain_acked.load(Ordering::SeqCst) == 0
                {
                    let millis = (record.now() * 1_000.0) as u64;
                    target.drain_acked.store(millis.max(1), Ordering::SeqCst);
                }
                for _ in 0..HEARTBEAT.as_millis() / 20 {
                    if !target.running.load(Ordering::SeqCst)
                        || draining != target.draining.load(Ordering::SeqCst)
                    {
                        break;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
    }

    fn spawn_flows(&self, socket: UdpSocket, work: Duration, record: Record) {
        let target = self.view();
        let log = Arc::clone(&self.log);
        let socket = Arc::new(socket);
        thread::spawn(move || {
            let mut sequences: HashMap<Flow, FlowEnd> = HashMap::new();
            let mut buffer = [0; 2_048];
            while target.running.load(Ordering::SeqCst) {
                let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                let Some((packet, is_genuine)) = Packet::decode(&buffer[..length]) else {
                    continue;
                };
                if !is_genuine {
                    record.line(format!(
                        "target {}: a packet that nobody wrote so",
                        target.id
                    ));
                    log.lock().expect("no panic").forged += 1;
                    continue;
                }
                let Some((answer, delay)) =
                    handle(&packet, &mut sequences, &log, work, &record, &target.id)
                else {
                    continue;
                };
                let outbound = target.place.outbound;
                if delay.is_zero() {
                    let _ = socket.send_to(&answer.encode(), outbound);
                } else {
                    let socket = Arc::clone(&socket);
                    let running = Arc::clone(&target.running);
                    thread::spawn(move || {
                        thread::sleep(delay);
                        if running.load(Ordering::SeqCst) {
                            let _ = socket.send_to(&answer.encode(), outbound);
                        }
                    });
                }
            }
        });
    }

    fn view(&self) -> TargetView {
        TargetView {
            place: self.place.clone(),
            id: self.id.clone(),
            born: self.born,
            draining: Arc::clone(&self.draining),
            drain_acked: Arc::clone(&self.drain_acked),
            running: Arc::clone(&self.running),
        }
    }

    /// Ends the boot without a word; its flows are lost.
    pub fn crash(&self) {
        self.running.store(false, Ordering::SeqCst);
        self.log.lock().expect("no panic").open.clear();
        // Its sockets close within this time.
        thread::sleep(Duration::from_millis(120));
    }
}

/// The part of a target that its threads share.
#[derive(Debug, Clone)]
struct TargetView {
    place: TargetPlace,
    id: String,
    born: u64,
    draining: Arc<AtomicBool>,
    drain_acked: Arc<AtomicU64>,
    running: Arc<AtomicBool>,
}

impl TargetView {
    fn ping_body(&self, sequence: u64) -> String {
        let target = Target {
            place: self.place.clone(),
            id: self.id.clone(),
            born: self.born,
            log: Arc::default(),
            draining: Arc::clone(&self.draining),
            drain_acked: Arc::clone(&self.drain_acked),
            running: Arc::clone(&self.running),
        };
        target.ping_body(sequence)
    }
}

/// The target's end of a flow.
#[derive(Debug, Clone)]
struct FlowEnd {
    /// The sequence number of its answer to the opening.
    first: u32,
    /// The next byte that it sends.
    next_out: u32,
    /// The next byte that it expects.
    next_in: u32,
    /// The answer to the last request, for a copy of that request.
    last: Option<Packet>,
    ended: bool,
}

/// Handles a requester's packet; returns the answer and how long it takes.
fn handle(
    packet: &Packet,
    flows: &mut HashMap<Flow, FlowEnd>,
    log: &Mutex<TargetLog>,
    work: Duration,
    record: &Record,
    id: &str,
) -> Option<(Packet, Duration)> {
    let flow = (packet.source, packet.destination);
    let blank = Packet {
        source: packet.destination,
        destination: packet.source,
        flags: ACK,
        sequence: 0,
        acknowledged: 0,
        echo: 0,
        data: Vec::new(),
    };
    let bounced = || Packet {
        flags: packet.flags | BOUNCED,
        ..packet.clone()
    };
    if packet.flags & (SYN | ACK) == SYN {
        let is_new = !flows.contains_key(&flow);
        let end = flows.entry(flow).or_insert_with(|| {
            let first = rand_u32();
            FlowEnd {
                first,
                next_out: first.wrapping_add(1),
                next_in: packet.sequence.wrapping_add(1),
                last: None,
                ended: false,
            }
        });
        if is_new {
            let mut log = log.lock().expect("no panic");
            log.openings.push((record.now(), flow));
        }
        let answer = Packet {
            flags: SYN | ACK,
            sequence: end.first,
            acknowledged: packet.sequence.wrapping_add(1),
            ..blank
        };
        return Some((answer, Duration::ZERO));
    }
    let Some(end) = flows.get_mut(&flow) else {
        return Some((bounced(), Duration::ZERO));
    };
    let sent = end.next_out.wrapping_sub(end.first);
    let acknowledged = packet.acknowledged.wrapping_sub(end.first);
    if acknowledged == 0 || acknowledged > sent {
        // It acknowledges what another target sent.
        return Some((bounced(), Duration::ZERO));
    }
    if end.ended {
        let flags = if packet.data.is_empty() { ACK } else { RST };
        let answer = Packet {
            flags,
            sequence: end.next_out,
            acknowledged: end.next_in,
            ..blank
        };
        return Some((answer, Duration::ZERO));
    }
    if packet.flags & RST != 0 {
        end.ended = true;
        log.lock().expect("no panic").open.remove(&flow);
        return None;
    }
    if log.lock().expect("no panic").open.insert(flow) {
        record.line(format!("flow {} opened at {id}", flow.0));
    }
    if packet.flags & FIN != 0 {
        end.ended = true;
        end.next_in = packet.sequence.wrapping_add(1);
        log.lock().expect("no panic").open.remove(&flow);
        let answer = Packet {
            flags: ACK | FIN,
            sequence: end.next_out,
            acknowledged: end.next_in,
            ..blank
        };
        return Some((answer, Duration::ZERO));
    }
    if packet.data.is_empty() {
        return None;
    }
    if packet.sequence != end.next_in {
        // A copy of a request that it has: the answer may be lost.
        return end.last.clone().map(|answer| (answer, Duration::ZERO));
    }
    let length = u32::try_from(packet.data.len()).expect("short");
    end.next_in = end.next_in.wrapping_add(length);
    let request = request_id(&packet.data);
    *log.lock()
        .expect("no panic")
        .runs
        .entry(request.clone())
        .or_default() += 1;
    let body = format!(
        "HTTP/1.1 200 OK\r\nX-Server-Stamp: {id}\r\nX-Request-Id: {request}\r\n\
         Content-Length: 2\r\n\r\nok"
    );
    let answer = Packet {
        sequence: end.next_out,
        acknowledged: end.next_in,
        data: body.into_bytes(),
        ..blank
    };
    let length = u32::try_from(answer.data.len()).expect("short");
    end.next_out = end.next_out.wrapping_add(length);
    end.last = Some(answer.clone());
    Some((answer, work))
}

/// Returns the id of the request in a packet.
pub fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let id = text.split("X-Request-Id: ").nth(1);
    id.and_then(|rest| rest.split("\r\n").next())
        .unwrap_or_default()
        .to_owned()
}

/// Returns a random number.
pub fn rand_u32() -> u32 {
    use std::{
        collections::hash_map::RandomState,
        hash::{BuildHasher, Hasher},
    };
    let number = RandomState::new().build_hasher().finish();
    (number >> 16) as u32
}
