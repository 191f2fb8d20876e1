//! Requesters, and the routers that bring their packets to a machine in rotation
//! (PROTOCOL.md, "Ingress" and "Flows").

use std::{
    collections::{HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::call,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    site::{PACKETS, READY},
    target::header,
};

/// When the copies of an opening are sent, and when the attempt ends.
const COPIES: [u64; 3] = [0, 200, 600];
const OPENING_LIMIT: Duration = Duration::from_millis(1_400);
/// How far from the last acknowledgement a reset is accepted on an open flow.
const RESET_WINDOW: u32 = 76_800;

/// The routers: a hash of the four addresses and ports over the machines in rotation.
#[derive(Clone)]
pub struct Routers {
    all: Vec<Ipv4Addr>,
    rotation: Arc<Mutex<Vec<Ipv4Addr>>>,
}

impl Routers {
    /// Starts to probe the machines twice a second; two misses end the rotation.
    pub fn start(all: &[Ipv4Addr], stop: &Arc<AtomicBool>, record: &Record) -> Self {
        let rotation = Arc::new(Mutex::new(Vec::new()));
        for ip in all.iter().copied() {
            let (rotation, stop, record) =
                (Arc::clone(&rotation), Arc::clone(stop), record.clone());
            thread::spawn(move || {
                let mut misses = 2;
                while !stop.load(Ordering::SeqCst) {
                    let next = Instant::now() + Duration::from_millis(500);
                    let to = SocketAddrV4::new(ip, READY);
                    let limit = Duration::from_millis(400);
                    let answer = call(to, "GET", "/cyclamenrouter/ready", "", limit);
                    misses = match answer {
                        Some((200, _, _)) => 0,
                        _ => misses + 1,
                    };
                    let mut rotation = rotation.lock().expect("no panic");
                    let has = rotation.contains(&ip);
                    if misses == 0 && !has {
                        rotation.push(ip);
                        record.note(&format!("routers: {ip} is in rotation"));
                    } else if misses >= 2 && has {
                        rotation.retain(|known| *known != ip);
                        record.note(&format!("routers: {ip} is out of rotation"));
                    }
                    drop(rotation);
                    sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        Self {
            all: all.to_vec(),
            rotation,
        }
    }

    pub fn in_rotation(&self) -> usize {
        self.rotation.lock().expect("no panic").len()
    }

    /// Returns the machine that gets a flow's packets now.
    fn pick(&self, src: SocketAddrV4, dst: SocketAddrV4) -> Ipv4Addr {
        let rotation = self.rotation.lock().expect("no panic");
        let nodes = if rotation.is_empty() {
            &self.all
        } else {
            &*rotation
        };
        let score = |ip: &Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (src, dst, ip).hash(&mut hasher);
            hasher.finish()
        };
        *nodes.iter().max_by_key(|ip| score(ip)).expect("a machine")
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole response: its status, and whether the stamp and the body are the target's.
    Answered { status: u16, sound: bool },
    /// A reset while the flow opened.
    Refused,
    /// No SYN+ACK in time.
    Unopened,
    /// A reset of the system on the open flow.
    Broken,
    /// A reset of the target.
    ResetByTarget,
    /// No response within the time limit.
    TimedOut,
}

#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    pub src: SocketAddrV4,
    pub listener: SocketAddrV4,
    pub end: End,
}

/// A requester's address with its socket.
#[derive(Clone)]
pub struct Caller {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    ports: Arc<AtomicU32>,
    flows: Arc<Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Sender<Packet>>>>,
    routers: Routers,
    record: Record,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Caller {
    pub fn bind(
        ip: Ipv4Addr,
        routers: &Routers,
        stop: &Arc<AtomicBool>,
        record: &Record,
    ) -> Option<Self> {
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(ip, PACKETS)).ok()?);
        socket
            .set_read_timeout(Some(Duration::from_millis(50)))
            .ok()?;
        let caller = Self {
            ip,
            socket,
            ports: Arc::new(AtomicU32::new(20_000)),
            flows: Arc::default(),
            routers: routers.clone(),
            record: record.clone(),
            attempts: Arc::default(),
        };
        let (flows, socket, stop) = (
            Arc::clone(&caller.flows),
            Arc::clone(&caller.socket),
            Arc::clone(stop),
        );
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !stop.load(Ordering::SeqCst) {
                let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                if let Some(packet) = Packet::decode(&buffer[..length]) {
                    let flows = flows.lock().expect("no panic");
                    if let Some(sender) = flows.get(&(packet.dst, packet.src)) {
                        let _ = sender.send(packet);
                    }
                }
            }
        });
        Some(caller)
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(self.routers.pick(packet.src, packet.dst), PACKETS);
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    /// Sends one request on a flow of its own, on a thread of its own.
    pub fn spawn_request(&self, listener: SocketAddrV4, id: &str, limit: Duration) {
        let (caller, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            caller.request(listener, &id, limit);
        });
    }

    /// Sends one request on a flow of its own; returns how it ended.
    pub fn request(&self, listener: SocketAddrV4, id: &str, limit: Duration) -> Attempt {
        let port = self.ports.fetch_add(1, Ordering::SeqCst);
        let src = SocketAddrV4::new(self.ip, 1_024 + (port % 60_000) as u16);
        let (sender, packets) = channel();
        let key = (src, listener);
        self.flows.lock().expect("no panic").insert(key, sender);
        let sent_at = Instant::now();
        let end = self.exchange(src, listener, id, sent_at + limit, &packets);
        self.flows.lock().expect("no panic").remove(&key);
        self.record.note(&format!(
            "requester: {id} from {src} to {listener}: {end:?} after {} ms",
            sent_at.elapsed().as_millis()
        ));
        let attempt = Attempt {
            id: id.to_owned(),
            sent_at,
            src,
            listener,
            end,
        };
        self.attempts
            .lock()
            .expect("no panic")
            .push(attempt.clone());
        attempt
    }

    fn exchange(
        &self,
        src: SocketAddrV4,
        listener: SocketAddrV4,
        id: &str,
        end: Instant,
        packets: &Receiver<Packet>,
    ) -> End {
        let seq = u32::from(src.port()) << 8 | 0x5000_0000;
        let start = Instant::now();
        let mut peer_seq = None;
        for copy in 0..COPIES.len() {
            let packet = Packet::new(src, listener, SYN, seq, copy as u32);
            self.send(&packet);
            let until = match COPIES.get(copy + 1) {
                Some(next) => start + Duration::from_millis(*next),
                None => start + OPENING_LIMIT,
            };
            match next_packet(packets, until) {
                Some(packet) if packet.is(RST) => return End::Refused,
                Some(packet) if packet.is(SYN) && packet.sound => {
                    peer_seq = Some(packet.seq);
                    break;
                }
                Some(_) | None => {}
            }
        }
        let Some(peer_seq) = peer_seq else {
            return End::Unopened;
        };
        let base = peer_seq.wrapping_add(1);
        let body = "x".repeat(300);
        let request = format!(
            "POST /{id} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let data_seq = seq.wrapping_add(1);
        let after = data_seq.wrapping_add(request.len() as u32);
        let mut response: Vec<u8> = Vec::new();
        let mut acked = false;
        let mut pause = Duration::from_millis(200);
        let mut resend_at = Instant::now();
        while Instant::now() < end {
            if !acked && Instant::now() >= resend_at {
                let packet =
                    Packet::new(src, listener, ACK, data_seq, base).with_data(request.as_bytes());
                self.send(&packet);
                resend_at = Instant::now() + pause;
                pause = (pause * 2).min(Duration::from_millis(1_600));
            }
            let until = if acked { end } else { end.min(resend_at) };
            let Some(packet) = next_packet(packets, until) else {
                continue;
            };
            let next = base.wrapping_add(response.len() as u32);
            if packet.is(RST) {
                if !packet.unsigned {
                    return End::ResetByTarget;
                }
                let distance = packet.seq.wrapping_sub(next);
                if distance <= RESET_WINDOW || distance >= RESET_WINDOW.wrapping_neg() {
                    return End::Broken;
                }
                continue;
            }
            if !packet.sound || packet.is(SYN) {
                continue;
            }
            acked |= packet.ack == after;
            if !packet.data.is_empty() && packet.seq == next {
                response.extend_from_slice(&packet.data);
                let next = base.wrapping_add(response.len() as u32);
                self.send(&Packet::new(src, listener, ACK, after, next));
                if let Some(answer) = parse(&response, id) {
                    self.send(&Packet::new(src, listener, ACK | FIN, after, next));
                    return answer;
                }
            }
        }
        // The requester gives up; its flow ends with a reset of its own.
        self.send(&Packet::new(src, listener, RST, after, base));
        End::TimedOut
    }
}

fn next_packet(packets: &Receiver<Packet>, until: Instant) -> Option<Packet> {
    packets
        .recv_timeout(until.saturating_duration_since(Instant::now()))
        .ok()
}

fn parse(bytes: &[u8], id: &str) -> Option<End> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length: usize = header(head, "content-length")?.parse().ok()?;
    if body.len() < length {
        return None;
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let sound =
        status != 200 || (header(head, "x-server-stamp").is_some() && body == format!("done {id}"));
    Some(End::Answered { status, sound })
}
