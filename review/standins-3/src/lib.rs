//! Stand-ins for the platform and the operator. They start the built programs as separate
//! processes on loopback addresses and see only what the platform and operators see.

pub mod flows;

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const PACKET_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const CONTROL_PORT: u16 = 8166;
pub const APP_PORT: u16 = 8165;
pub const OUTBOUND_PORT: u16 = 8162;
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
const METRICS_PORT: u16 = 9464;
const CONFIG_PATH: &str = "/cyclamenrouter/config";
/// `grace-s`.
const GRACE: Duration = Duration::from_secs(6);
/// Callers move on to another node after a second without a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the arguments of a case: `trouble` or `calm`, and the path of its record.
pub fn read_arguments() -> Option<(bool, String)> {
    let mut arguments = std::env::args().skip(1);
    let trouble = match arguments.next()?.as_str() {
        "trouble" => true,
        "calm" => false,
        _ => return None,
    };
    Some((trouble, arguments.next()?))
}

/// Writes what happens, with the seconds since the start, to `record.txt`.
pub struct Record {
    started_at: Instant,
    file: fs::File,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started_at: Instant::now(),
            file: fs::File::create(path).expect("record.txt can be written"),
        }
    }

    pub fn line(&mut self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file, "{seconds:7.3} {text}");
        println!("{seconds:7.3} {text}");
    }
}

/// The service of all targets.
pub const SERVICE: &str = "barge-control";

/// What a machine is and runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MachineClass {
    /// Runs an entry process.
    Edge { has_disk: bool },
    /// Runs the agent of a target.
    Side,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub address: Ipv4Addr,
    pub class: MachineClass,
    child: Option<Child>,
}

/// What the platform states under `[fault-tolerance]`.
#[derive(Clone, Copy)]
pub struct Tolerance {
    pub machines: u32,
    pub zones: u32,
}

/// A small deployment of entry processes.
pub struct Site {
    folder: PathBuf,
    program: PathBuf,
    pub machines: Vec<Machine>,
    tolerance: Tolerance,
    pub bootstrap: bool,
    /// The seeds in the settings; without any, the first machine of each zone.
    pub seeds: Vec<Ipv4Addr>,
}

impl Site {
    /// Reserves loopback addresses for the machines of these zones; the hosts of the zone
    /// with index `n` end with `10 * (n + 1) + 1` and so on.
    pub fn new(zones: &[&str], machines_per_zone: u8, tolerance: Tolerance) -> Option<Self> {
        let program = PathBuf::from("target/release/cyclamen-node");
        if !program.exists() {
            return None;
        }
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let seed = u64::from(std::process::id()) ^ u64::from(seed.subsec_nanos());
        let folder = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        (0..50).find_map(|attempt: u64| {
            let mixed = (seed + attempt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
            let block = [127, 20 + (mixed % 200) as u8, (mixed / 200 % 250) as u8];
            let mut machines = Vec::new();
            for (index, zone) in zones.iter().enumerate() {
                for number in 1..=machines_per_zone {
                    let host = 10 * (index as u8 + 1) + number;
                    machines.push(Machine {
                        name: format!("edge-{zone}-{number}"),
                        zone: (*zone).to_owned(),
                        address: Ipv4Addr::new(block[0], block[1], block[2], host),
                        class: MachineClass::Edge { has_disk: true },
                        child: None,
                    });
                }
            }
            let is_free = |address: Ipv4Addr| {
                [CONTROL_PORT, READY_PORT, METRICS_PORT, INTERNAL_PORTS.0 + 1]
                    .iter()
                    .all(|port| TcpListener::bind((address, *port)).is_ok())
                    && UdpSocket::bind((address, PACKET_PORT)).is_ok()
            };
            let hosts = (11..=33).chain(100..=125).chain(200..=200);
            let mut addresses = hosts.map(|host| Ipv4Addr::new(block[0], block[1], block[2], host));
            addresses.all(is_free).then(|| Self {
                folder: folder.clone(),
                program: program.clone(),
                machines,
                tolerance,
                bootstrap: true,
                seeds: Vec::new(),
            })
        })
    }

    /// The address of the route in the operator's config; nothing listens there.
    pub fn route(&self) -> Ipv4Addr {
        self.address(250)
    }

    /// An address of this deployment's loopback block.
    pub fn address(&self, host: u8) -> Ipv4Addr {
        let octets = self.machines[0].address.octets();
        Ipv4Addr::new(octets[0], octets[1], octets[2], host)
    }

    /// Adds a machine at a new address, which is not started; returns its index.
    pub fn add_machine(&mut self, zone: &str) -> usize {
        self.add_machine_of(MachineClass::Edge { has_disk: true }, zone)
    }

    /// Adds a machine of a class.
    pub fn add_machine_of(&mut self, class: MachineClass, zone: &str) -> usize {
        let host = 100 + self.machines.len() as u8;
        let address = self.address(host);
        self.machines.push(Machine {
            name: match class {
                MachineClass::Edge { .. } => format!("edge-{zone}-new-{host}"),
                MachineClass::Side => format!("side-{zone}-{host}"),
            },
            zone: zone.to_owned(),
            address,
            class,
            child: None,
        });
        self.machines.len() - 1
    }

    /// The control addresses of the first machine of each zone, which are the seeds.
    fn seeds(&self) -> String {
        let firsts = self.machines.iter().filter(|m| m.name.ends_with("-1"));
        let firsts: Vec<Ipv4Addr> = firsts.take(3).map(|machine| machine.address).collect();
        let seeds = if self.seeds.is_empty() {
            &firsts
        } else {
            &self.seeds
        };
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""));
        seeds.collect::<Vec<String>>().join(",")
    }

    fn settings(&self, machine: &Machine) -> String {
        let zones = self.machines.iter().map(|machine| machine.zone.as_str());
        let mut zones: Vec<&str> = zones.collect();
        zones.sort_unstable();
        zones.dedup();
        let zones: String = zones
            .iter()
            .map(|z| format!("{z} = \"vestland\"\n"))
            .collect();
        let data = self.folder.join(&machine.name).join("data");
        let (role, class, serves, own, addresses) = match machine.class {
            MachineClass::Edge { has_disk } => (
                "entry",
                "edge",
                "\"edge\",\"control_plane\"",
                if has_disk {
                    format!("data-dir = \"{}\"\n", data.display())
                } else {
                    String::new()
                },
                String::new(),
            ),
            MachineClass::Side => (
                "side",
                "side",
                "\"side\"",
                format!(
                    "app = \"{}:{APP_PORT}\"\nservice = \"{SERVICE}\"\n",
                    machine.address
                ),
                format!("outbound = \"{}:{OUTBOUND_PORT}\"\n", machine.address),
            ),
        };
        format!(
            "node-name = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"vestland\"\ninternal-ports = [{first},{last}]\nseeds = [{seeds}]\n\
             bootstrap = {bootstrap}\nloss-counts = {has_disk}\n{own}\
             discovery = \"local\"\nentry-kind = \"announce\"\nheartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
             config_mode = \"highest\"\nhash = \"steady\"\ndeploy-mode = \"agent\"\n\
             [zones]\n{zones}\
             [bind-addrs]\ndatagram-addr = \"{ip}:{PACKET_PORT}\"\n\
             ready-addr = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n{addresses}\
             [limits]\ncpu-share = 0.26\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n\
             link-mbps = 1000.0\ndisk-mb = 64\n\
             [fault-tolerance]\nmachines = {machines}\nzones = {tolerated_zones}\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-window-ms = 4000\n\
             ack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
             config-apply-ms = 3000\nrollback-slack-ms = 250\nskew-max-ms = 12000\n\
             recovery-s = 12\nflow-slack-ms = 2000\nflow-max-s = 60\n",
            name = machine.name,
            ip = machine.address,
            zone = machine.zone,
            first = INTERNAL_PORTS.0,
            last = INTERNAL_PORTS.1,
            seeds = self.seeds(),
            bootstrap = self.bootstrap,
            has_disk = machine.class == MachineClass::Edge { has_disk: true },
            machines = self.tolerance.machines,
            tolerated_zones = self.tolerance.zones,
        )
    }

    /// Starts the process of a machine with the settings in effect now.
    pub fn start(&mut self, index: usize) {
        let machine = &self.machines[index];
        let folder = self.folder.join(&machine.name);
        if machine.class == (MachineClass::Edge { has_disk: true }) {
            fs::create_dir_all(folder.join("data")).expect("own folder");
        }
        fs::create_dir_all(&folder).expect("own folder");
        let settings = folder.join("node.toml");
        fs::write(&settings, self.settings(machine)).expect("own folder");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"));
        let log = log.expect("own folder");
        let child = Command::new(&self.program)
            .arg(match machine.class {
                MachineClass::Edge { .. } => "entry",
                MachineClass::Side => "side",
            })
            .env_clear()
            .env("CYCLAMENROUTER_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("an open file"))
            .stdout(log)
            .spawn();
        self.machines[index].child = Some(child.expect("the built program"));
    }

    /// Takes the power of a machine: nothing there answers any more, and connections to it
    /// hang instead of being refused. `power_on` ends the process.
    pub fn power_off(&self, index: usize) {
        self.signal(index, "STOP");
    }

    /// Ends the process that had no power and starts a new one with the settings of now.
    pub fn power_on(&mut self, index: usize) {
        self.kill(index);
        self.start(index);
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(child) = &self.machines[index].child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Stops a process as planned: SIGTERM, and SIGKILL after `grace-s`. Returns whether it
    /// ended before that.
    pub fn stop(&mut self, index: usize) -> bool {
        self.signal(index, "TERM");
        self.wait_for_end(index)
    }

    /// Returns whether the process of a machine has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.machines[index].child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits for a process that got SIGTERM, and kills it after `grace-s`. Returns whether it
    /// ended before that.
    pub fn wait_for_end(&mut self, index: usize) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < GRACE {
            if self.has_ended(index) {
                self.machines[index].child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill(index);
        false
    }

    /// Replaces the disk of a machine, which must be down, by an empty one.
    pub fn wipe(&mut self, index: usize) {
        let data = self.folder.join(&self.machines[index].name).join("data");
        fs::remove_dir_all(&data).expect("own folder");
        fs::create_dir_all(&data).expect("own folder");
    }

    /// Returns whether a machine answers the readiness probe with 200.
    pub fn is_ready(address: Ipv4Addr) -> bool {
        let address = SocketAddrV4::new(address, READY_PORT);
        let answer = call_once(address, "GET", "/cyclamenrouter/ready", "");
        answer.is_some_and(|(status, ..)| status == 200)
    }

    /// Returns the machines of a zone.
    pub fn zone(&self, zone: &str) -> Vec<usize> {
        let indices = 0..self.machines.len();
        indices
            .filter(|index| self.machines[*index].zone == zone)
            .collect()
    }

    /// Returns the machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let machines = self.machines.iter_mut();
        let ended = machines.filter_map(|machine| {
            let status = machine.child.as_mut()?.try_wait().ok()??;
            Some(format!("{} ({status})", machine.name))
        });
        ended.collect()
    }

    /// Sends a config to one machine after the other until one acknowledges it or refuses
    /// it; returns the status, `None` after `limit`.
    pub fn put_config(&self, version: u64, limit: Duration) -> Option<u16> {
        Some(self.put_config_at(version, limit)?.0)
    }

    /// Does the same; also returns the machine that answered.
    pub fn put_config_at(&self, version: u64, limit: Duration) -> Option<(u16, usize)> {
        let body = config(version, self.route());
        let started_at = Instant::now();
        let mut pause = Duration::from_millis(50);
        while started_at.elapsed() < limit {
            let nodes = self
                .machines
                .iter()
                .filter(|machine| machine.child.is_some() && machine.class != MachineClass::Side);
            let mut nodes: Vec<&Machine> = nodes.collect();
            let first = usize::try_from(version).unwrap_or_default() % nodes.len().max(1);
            nodes.rotate_left(first);
            for machine in nodes {
                let address = SocketAddrV4::new(machine.address, CONTROL_PORT);
                let Some((status, _, from)) = call(address, "PUT", &body) else {
                    continue;
                };
                if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                    let mut machines = self.machines.iter();
                    let index = machines.position(|machine| machine.address == *from.ip())?;
                    return Some((status, index));
                }
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        None
    }

    /// Reads the config from one machine: the status, and the version if there is one.
    pub fn read_config(&self, index: usize) -> (Option<u16>, Option<u64>) {
        let address = SocketAddrV4::new(self.machines[index].address, CONTROL_PORT);
        match call(address, "GET", "") {
            Some((200, body, _)) => (Some(200), version_of(&body)),
            Some((status, ..)) => (Some(status), None),
            None => (None, None),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// A config as the operator sends it; its timeout changes with the version.
fn config(version: u64, route: Ipv4Addr) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-feed\",\"hostname\":\"{route}\",\
         \"path-prefix\":\"/8443/\",\"route-type\":\"idempotent\",\"timeout-ms\":{timeout},\
         \"latency-goal-ms\":150,\"priority\":2,\"service\":\"barge-control\",\
         \"max-attempts\":2}}],\"services\":[{{\"name\":\"barge-control\",\
         \"health-path\":\"/health\",\"max-flows\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        timeout = 1500 + version
    )
}

fn version_of(body: &str) -> Option<u64> {
    let rest = body.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Calls the operator's API and follows a 307 twice; returns the status, the body, and who
/// answered.
fn call(address: SocketAddrV4, method: &str, body: &str) -> Option<(u16, String, SocketAddrV4)> {
    let mut address = address;
    for _ in 0..3 {
        let (status, head, body) = call_once(address, method, CONFIG_PATH, body)?;
        if status != 307 {
            return Some((status, body, address));
        }
        let location = head.lines().find_map(|line| {
            line.to_ascii_lowercase()
                .strip_prefix("location: http://")
                .map(str::to_owned)
        })?;
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}

pub(crate) fn call_once(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, String)> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), CALL_TIMEOUT).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.set_write_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        let left = deadline.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => response.extend_from_slice(&buffer[..length]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8(response).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}
