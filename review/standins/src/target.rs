//! A target: serves requests on flows, answers health checks and announces itself to the
//! node on its machine (PROTOCOL.md, "Flows", "Targets" and "Service discovery").

use std::{
    collections::{HashMap, HashSet},
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::call,
    packet::{ACK, BOUNCED, FIN, MAX_DATA, Packet, RST, SYN},
    record::Record,
    site::HEARTBEAT,
};

/// How long a request takes.
const WORK: Duration = Duration::from_millis(39);
/// How many requests are processed at a time, and how many more are queued.
pub const SLOTS: usize = 4;
const QUEUE: usize = 16;
/// A retransmission comes after this time, and then at doubled intervals.
const RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1_600);
const MAX_TRIES: u32 = 8;

type Flow = (SocketAddrV4, SocketAddrV4);

#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// An opening packet that a target took, or a request that it began.
#[derive(Debug, Clone)]
pub struct Taken {
    pub at: Instant,
    pub id: String,
    pub flow: Flow,
    /// The id of the request; `None` for an opening.
    pub request: Option<String>,
}

/// What the targets of a run saw; clones share it.
#[derive(Clone, Default)]
pub struct Ledger {
    pub openings: Arc<Mutex<Vec<Taken>>>,
    pub runs: Arc<Mutex<Vec<Taken>>>,
    /// The flows that targets hold open, each with the target's id.
    pub open: Arc<Mutex<HashMap<Flow, String>>>,
    pub unsound: Arc<AtomicU64>,
}

struct FlowState {
    own_seq: u32,
    open: bool,
    next: u32,
    received: Vec<u8>,
    /// The response: its bytes, and how much of it is acknowledged.
    response: Vec<u8>,
    acked: usize,
    sent_at: Option<Instant>,
    tries: u32,
    is_running: bool,
}

/// A running target; it ends when `crash` is called.
pub struct Target {
    pub id: String,
    place: Place,
    record: Record,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// When the first ping with the state `draining` was acknowledged.
    pub drain_acked: Arc<Mutex<Option<Instant>>>,
    threads: Vec<JoinHandle<()>>,
    ledger: Ledger,
}

impl Target {
    /// Starts a boot of the target; `born` is the Unix millisecond of its start by the clock
    /// of its machine.
    pub fn start(
        place: &Place,
        id: &str,
        born: u64,
        ledger: &Ledger,
        record: &Record,
    ) -> Option<Self> {
        let socket = UdpSocket::bind(place.app).ok()?;
        socket
            .set_read_timeout(Some(Duration::from_millis(4)))
            .ok()?;
        let health = TcpListener::bind(place.app).ok()?;
        health.set_nonblocking(true).ok()?;
        let stop = Arc::new(AtomicBool::new(false));
        let draining = Arc::new(AtomicBool::new(false));
        let drain_acked = Arc::new(Mutex::new(None));
        record.note(&format!(
            "target {} starts as {id}, born {born}",
            place.name
        ));
        let mut threads = Vec::new();
        let (ended, leaves) = (Arc::clone(&stop), Arc::clone(&draining));
        threads.push(thread::spawn(move || {
            serve_health(&health, &ended, &leaves)
        }));
        let server = Server {
            socket,
            place: place.clone(),
            id: id.to_owned(),
            flows: HashMap::new(),
            closed: HashSet::new(),
            jobs: Vec::new(),
            ledger: ledger.clone(),
            record: record.clone(),
            stop: Arc::clone(&stop),
            draining: Arc::clone(&draining),
        };
        threads.push(thread::spawn(move || server.run()));
        let pinger = Pinger {
            place: place.clone(),
            id: id.to_owned(),
            born,
            draining: Arc::clone(&draining),
            drain_acked: Arc::clone(&drain_acked),
            stop: Arc::clone(&stop),
            record: record.clone(),
        };
        threads.push(thread::spawn(move || pinger.run()));
        Some(Self {
            id: id.to_owned(),
            place: place.clone(),
            record: record.clone(),
            stop,
            draining,
            drain_acked,
            threads,
            ledger: ledger.clone(),
        })
    }

    /// Says from the next ping on, which is sent at once, that the target leaves.
    pub fn drain(&self) {
        self.record.note(&format!(
            "target {} ({}) begins to drain",
            self.place.name, self.id
        ));
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Says that the target is gone and ends it.
    pub fn leave(self) {
        let path = format!("/cyclamenrouter/instances/{}", self.id);
        let answer = call(
            self.place.control,
            "DELETE",
            &path,
            "",
            Duration::from_secs(1),
        );
        self.record.note(&format!(
            "target {} ({}): DELETE: {:?}; it exits",
            self.place.name,
            self.id,
            answer.map(|(status, _, _)| status)
        ));
        self.end();
    }

    /// Ends the target at once; it says nothing.
    pub fn crash(self) {
        self.record
            .note(&format!("target {} ({}) crashes", self.place.name, self.id));
        self.end();
    }

    fn end(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let mut open = self.ledger.open.lock().expect("no panic");
        open.retain(|_, id| *id != self.id);
    }
}

/// Answers health checks with 200 while the target isn't leaving.
fn serve_health(listener: &TcpListener, stop: &AtomicBool, draining: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let Ok((mut stream, _)) = listener.accept() else {
            sleep(Duration::from_millis(10));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut buffer = [0; 1_024];
        if matches!(stream.read(&mut buffer), Ok(length) if length > 0) {
            let status = if draining.load(Ordering::SeqCst) {
                "503 Leaving"
            } else {
                "200 OK"
            };
            let answer =
                format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(answer.as_bytes());
        }
    }
}

struct Pinger {
    place: Place,
    id: String,
    born: u64,
    draining: Arc<AtomicBool>,
    drain_acked: Arc<Mutex<Option<Instant>>>,
    stop: Arc<AtomicBool>,
    record: Record,
}

impl Pinger {
    fn run(self) {
        let path = format!("/cyclamenrouter/instances/{}", self.id);
        let mut was_draining = false;
        let mut sequence = 0_u64;
        while !self.stop.load(Ordering::SeqCst) {
            let draining = self.draining.load(Ordering::SeqCst);
            sequence += 1;
            let state = if draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"concurrency\":{SLOTS},\"state\":\"{state}\",\"cold-left-ms\":0,\
                 \"sequence\":{sequence},\"born\":{}}}",
                self.place.service, self.place.app, self.place.zone, self.born
            );
            let answer = call(
                self.place.control,
                "PUT",
                &path,
                &body,
                Duration::from_secs(1),
            );
            let status = answer.map(|(status, _, _)| status);
            self.record.note(&format!(
                "target {} ({}): PUT {state}, sequence {sequence}: {status:?}",
                self.place.name, self.id
            ));
            if draining && matches!(status, Some(200..300)) {
                let mut acked = self.drain_acked.lock().expect("no panic");
                acked.get_or_insert_with(Instant::now);
            }
            was_draining |= draining;
            let pause = if matches!(status, Some(200..300)) {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            };
            let next = Instant::now() + pause;
            while Instant::now() < next && !self.stop.load(Ordering::SeqCst) {
                if self.draining.load(Ordering::SeqCst) && !was_draining {
                    break;
                }
                sleep(Duration::from_millis(5));
            }
        }
    }
}

struct Server {
    socket: UdpSocket,
    place: Place,
    id: String,
    flows: HashMap<Flow, FlowState>,
    closed: HashSet<Flow>,
    /// The requests at work or queued, oldest first, with the time of their end once begun.
    jobs: Vec<(Flow, String, Option<Instant>)>,
    ledger: Ledger,
    record: Record,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
}

impl Server {
    fn run(mut self) {
        let mut buffer = [0; 2_048];
        while !self.stop.load(Ordering::SeqCst) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                self.receive(packet);
            }
            self.work();
            self.retransmit();
        }
        for (_, request, _) in &self.jobs {
            self.record.note(&format!(
                "target {} ({}): request {request} is cut off",
                self.place.name, self.id
            ));
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.place.outbound);
    }

    fn taken(&self, flow: Flow, request: Option<String>) -> Taken {
        Taken {
            at: Instant::now(),
            id: self.id.clone(),
            flow,
            request,
        }
    }

    fn receive(&mut self, packet: Packet) {
        if !packet.sound {
            self.ledger.unsound.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let flow = (packet.src, packet.dst);
        if packet.is_opening() {
            if !self.flows.contains_key(&flow) {
                let opening = self.taken(flow, None);
                self.ledger.openings.lock().expect("no panic").push(opening);
                let salt = packet.seq ^ u32::from(packet.src.port()) << 12;
                self.flows.insert(
                    flow,
                    FlowState {
                        own_seq: salt.wrapping_mul(2_654_435_761) ^ self.id.len() as u32,
                        open: false,
                        next: packet.seq.wrapping_add(1),
                        received: Vec::new(),
                        response: Vec::new(),
                        acked: 0,
                        sent_at: None,
                        tries: 0,
                        is_running: false,
                    },
                );
            }
            let state = &self.flows[&flow];
            let answer = Packet::new(flow.1, flow.0, SYN | ACK, state.own_seq, state.next);
            self.send(&answer);
            return;
        }
        let known = self
            .flows
            .get(&flow)
            .is_some_and(|state| state.open || packet.ack == state.own_seq.wrapping_add(1));
        if !known {
            if self.closed.contains(&flow) {
                if packet.is(FIN) {
                    self.send(&Packet::new(flow.1, flow.0, ACK, packet.ack, packet.seq));
                } else if !packet.data.is_empty() {
                    self.send(&Packet::new(flow.1, flow.0, RST, packet.ack, packet.seq));
                }
                return;
            }
            let mut bounced = packet;
            bounced.flags |= BOUNCED;
            self.send(&bounced);
            return;
        }
        if packet.is(RST) {
            self.close(flow);
            return;
        }
        let state = self.flows.get_mut(&flow).expect("known");
        if !state.open {
            state.open = true;
            let mut open = self.ledger.open.lock().expect("no panic");
            open.insert(flow, self.id.clone());
        }
        let base = state.own_seq.wrapping_add(1);
        let acked = packet.ack.wrapping_sub(base) as usize;
        if acked <= state.response.len() && acked > state.acked {
            state.acked = acked;
            state.tries = 0;
            state.sent_at = Some(Instant::now());
            if state.acked >= state.response.len() {
                state.sent_at = None;
            }
        }
        if !packet.data.is_empty() && packet.seq == state.next {
            state.next = state.next.wrapping_add(packet.data.len() as u32);
            state.received.extend_from_slice(&packet.data);
        }
        let is_whole = is_whole(&state.received);
        if is_whole && !state.is_running {
            state.is_running = true;
            let request = request_id(&state.received);
            state.received.clear();
            if self.jobs.len() < SLOTS + QUEUE {
                self.jobs.push((flow, request, None));
            } else {
                self.respond(flow, 503, "X-Not-Executed: 1\r\n", "full");
            }
        }
        let state = &self.flows[&flow];
        if !packet.data.is_empty() || packet.is(FIN) {
            let sent = state.acked as u32;
            let ack = Packet::new(
                flow.1,
                flow.0,
                ACK,
                state.own_seq.wrapping_add(1).wrapping_add(sent),
                state.next,
            );
            self.send(&ack);
        }
        if packet.is(FIN) && state.sent_at.is_none() && !state.is_running {
            let fin = Packet::new(
                flow.1,
                flow.0,
                FIN | ACK,
                state.own_seq.wrapping_add(1 + state.response.len() as u32),
                state.next,
            );
            self.send(&fin);
            self.close(flow);
        }
    }

    fn close(&mut self, flow: Flow) {
        self.flows.remove(&flow);
        self.closed.insert(flow);
        self.ledger.open.lock().expect("no panic").remove(&flow);
    }

    fn work(&mut self) {
        let now = Instant::now();
        let mut begun = Vec::new();
        for (index, (flow, request, end)) in self.jobs.iter_mut().enumerate().take(SLOTS) {
            if end.is_none() {
                *end = Some(now + WORK);
                begun.push((index, *flow, request.clone()));
            }
        }
        for (_, flow, request) in begun {
            let run = self.taken(flow, Some(request.clone()));
            self.ledger.runs.lock().expect("no panic").push(run);
            self.record.note(&format!(
                "target {} ({}) runs {request}",
                self.place.name, self.id
            ));
        }
        let is_done = |job: &(Flow, String, Option<Instant>)| job.2.is_some_and(|end| end <= now);
        while let Some(index) = self.jobs.iter().position(is_done) {
            let (flow, request, _) = self.jobs.remove(index);
            let stamp = format!("X-Server-Stamp: {}\r\n", self.id);
            self.respond(flow, 200, &stamp, &format!("done {request}"));
        }
    }

    fn respond(&mut self, flow: Flow, status: u16, header: &str, body: &str) {
        let close = if self.draining.load(Ordering::SeqCst) {
            "Connection: close\r\n"
        } else {
            ""
        };
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\n{header}{close}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        state.response.extend_from_slice(text.as_bytes());
        state.is_running = false;
        state.sent_at = Some(Instant::now());
        state.tries = 0;
        self.send_response(flow);
    }

    fn send_response(&self, flow: Flow) {
        let state = &self.flows[&flow];
        let base = state.own_seq.wrapping_add(1);
        let mut at = state.acked;
        while at < state.response.len() {
            let end = state.response.len().min(at + MAX_DATA);
            let packet = Packet::new(
                flow.1,
                flow.0,
                ACK,
                base.wrapping_add(at as u32),
                state.next,
            )
            .with_data(&state.response[at..end]);
            self.send(&packet);
            at = end;
        }
    }

    fn retransmit(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        let mut dropped = Vec::new();
        for (flow, state) in &mut self.flows {
            let Some(sent_at) = state.sent_at else {
                continue;
            };
            let pause = RETRANSMIT * 2_u32.pow(state.tries.min(3));
            if now.duration_since(sent_at) >= pause.min(MAX_RETRANSMIT) {
                if state.tries >= MAX_TRIES {
                    dropped.push(*flow);
                } else {
                    state.tries += 1;
                    state.sent_at = Some(now);
                    due.push(*flow);
                }
            }
        }
        due.into_iter().for_each(|flow| self.send_response(flow));
        dropped.into_iter().for_each(|flow| self.close(flow));
    }
}

/// Returns whether the bytes are a whole request.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    body.len() >= header(head, "content-length").map_or(0, |value| value.parse().unwrap_or(0))
}

fn request_id(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    header(&text, "x-request-id").unwrap_or_default()
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
