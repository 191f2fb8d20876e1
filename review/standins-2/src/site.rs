//! A small site: the processes, their settings, and the provider's routers.

use std::{
    collections::BTreeMap,
    env, fs,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, follow},
    record::Record,
    target::{TargetPlace, rand_u32},
};

pub const PACKET_PORT: u16 = 7_100;
pub const READY_PORT: u16 = 7_101;
pub const CONTROL_PORT: u16 = 7_102;
pub const OUTBOUND_PORT: u16 = 7_103;
pub const APP_PORT: u16 = 7_104;
const INTERNAL_PORT: u16 = 7_110;
const CONFIG_PATH: &str = "/cyclamenrouter/config";
const READY_PATH: &str = "/cyclamenrouter/ready";

/// The processes that run, for `kill_all`.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that any site has started.
pub fn kill_all() {
    for process in PROCESSES.lock().expect("no panic").iter() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(process.to_string())
            .status();
    }
}

fn forget(process: u32) {
    PROCESSES
        .lock()
        .expect("no panic")
        .retain(|known| *known != process);
}

/// What a machine runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    Entry { has_disk: bool },
    Side { service: String },
}

#[derive(Debug)]
struct Machine {
    role: Role,
    zone: String,
    child: Option<Child>,
}

/// The machines of a site, each named by the last octet of its address.
#[derive(Debug)]
pub struct Site {
    folder: PathBuf,
    program: PathBuf,
    net: [u8; 3],
    machines: BTreeMap<u8, Machine>,
    seeds: Vec<u8>,
    bootstrap: bool,
    record: Record,
    /// The packet addresses of the nodes in rotation.
    ready: Arc<Mutex<Vec<SocketAddrV4>>>,
    /// Those that the routers use: all nodes, if fewer than half are in rotation. The zones
    /// count as one.
    pub rotation: Arc<Mutex<Vec<SocketAddrV4>>>,
    probing: Arc<AtomicBool>,
}

impl Site {
    /// Creates a site without machines on free loopback addresses.
    pub fn new(program: &Path, seeds: &[u8], record: &Record) -> Option<Self> {
        let net = (0..50).find_map(|_| {
            let number = rand_u32();
            let net = [
                127,
                60 + u8::try_from(number % 190).ok()?,
                1 + u8::try_from(number / 190 % 250).ok()?,
            ];
            let address = Ipv4Addr::new(net[0], net[1], net[2], 1);
            // Another run may use the block.
            UdpSocket::bind((address, PACKET_PORT)).ok().map(|_| net)
        })?;
        let folder = env::temp_dir().join(format!("standins-2-{}", rand_u32()));
        fs::create_dir_all(&folder).ok()?;
        Some(Self {
            folder,
            program: program.to_owned(),
            net,
            machines: BTreeMap::new(),
            seeds: seeds.to_vec(),
            bootstrap: true,
            record: record.clone(),
            ready: Arc::default(),
            rotation: Arc::default(),
            probing: Arc::new(AtomicBool::new(true)),
        })
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host),
            port,
        )
    }

    pub fn add(&mut self, host: u8, role: Role, zone: &str) {
        let machine = Machine {
            role,
            zone: zone.to_owned(),
            child: None,
        };
        self.machines.insert(host, machine);
        self.write_settings(host);
    }

    pub fn place(&self, host: u8) -> TargetPlace {
        let machine = &self.machines[&host];
        let Role::Side { service } = &machine.role else {
            panic!("no target on an edge machine");
        };
        TargetPlace {
            service: service.clone(),
            zone: machine.zone.clone(),
            app: self.address(host, APP_PORT),
            outbound: self.address(host, OUTBOUND_PORT),
            control: self.address(host, CONTROL_PORT),
        }
    }

    pub fn start_all(&mut self) -> bool {
        let hosts: Vec<u8> = self.machines.keys().copied().collect();
        let started = hosts.into_iter().all(|host| self.start(host));
        self.spawn_probes();
        started
    }

    pub fn start(&mut self, host: u8) -> bool {
        let log = self.folder.join(format!("{host}.log"));
        let Ok(output) = fs::File::options().create(true).append(true).open(log) else {
            return false;
        };
        let Ok(errors) = output.try_clone() else {
            return false;
        };
        let machine = self.machines.get_mut(&host).expect("a known machine");
        let role = match machine.role {
            Role::Entry { .. } => "entry",
            Role::Side { .. } => "side",
        };
        let kept = ["PATH", "HOME", "LANG"]
            .into_iter()
            .filter_map(|name| Some((name, env::var_os(name)?)));
        let child = Command::new(&self.program)
            .arg(role)
            .env_clear()
            .envs(kept)
            .env(
                "CYCLAMENROUTER_CONFIG",
                self.folder.join(format!("{host}.toml")),
            )
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(format!("machine {host}: {role} started"));
                PROCESSES.lock().expect("no panic").push(child.id());
                machine.child = Some(child);
                true
            }
            Err(error) => {
                self.record.line(format!("machine {host}: {error}"));
                false
            }
        }
    }

    /// Ends the process of a machine with SIGKILL.
    pub fn kill(&mut self, host: u8) {
        let machine = self.machines.get_mut(&host).expect("a known machine");
        if let Some(mut child) = machine.child.take() {
            // It may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
            self.record.line(format!("machine {host}: killed"));
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, host: u8, name: &str) {
        if let Some(child) = &self.machines[&host].child {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
            self.record.line(format!("machine {host}: SIG{name}"));
        }
    }

    /// Stops the process of a machine with SIGTERM and waits for its end.
    pub fn stop(&mut self, host: u8) {
        self.signal(host, "TERM");
        let machine = self.machines.get_mut(&host).expect("a known machine");
        if let Some(mut child) = machine.child.take() {
            let end = Instant::now() + Duration::from_secs(6);
            while Instant::now() < end {
                if child.try_wait().is_ok_and(|status| status.is_some()) {
                    forget(child.id());
                    self.record.line(format!("machine {host}: has ended"));
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Returns the machines whose process has ended by itself.
    pub fn ended_by_themselves(&mut self) -> Vec<u8> {
        let machines = self.machines.iter_mut();
        machines
            .filter_map(|(host, machine)| {
                let child = machine.child.as_mut()?;
                child.try_wait().ok()??;
                Some(*host)
            })
            .collect()
    }

    /// Turns `bootstrap` off, for later starts.
    pub fn end_bootstrap(&mut self) {
        self.bootstrap = false;
        let hosts: Vec<u8> = self.machines.keys().copied().collect();
        for host in hosts {
            self.write_settings(host);
        }
    }

    /// Sends a config to the nodes in turn until one acknowledges it.
    pub fn apply_config(&self, body: &str, nodes: &[u8], limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            for node in nodes {
                let address = self.address(*node, CONTROL_PORT);
                let answer = follow(address, "PUT", CONFIG_PATH, body);
                let status = answer.map(|(status, _)| status);
                if status == Some(200) {
                    self.record.line(format!(
                        "config acknowledged by machine {node}: {}",
                        &body[..body.len().min(60)]
                    ));
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Reads the config at a node once.
    pub fn read_config(&self, node: u8) -> Option<(u16, String)> {
        follow(self.address(node, CONTROL_PORT), "GET", CONFIG_PATH, "")
    }

    /// Probes the edge nodes twice a second; two misses take one out of rotation.
    pub fn spawn_probes(&self) {
        let entries: Vec<(SocketAddrV4, SocketAddrV4)> = self
            .machines
            .iter()
            .filter(|(_, machine)| matches!(machine.role, Role::Entry { .. }))
            .map(|(host, _)| {
                (
                    self.address(*host, READY_PORT),
                    self.address(*host, PACKET_PORT),
                )
            })
            .collect();
        let all: Vec<SocketAddrV4> = entries.iter().map(|(_, packets)| *packets).collect();
        *self.rotation.lock().expect("no panic") = all.clone();
        for (ready, packets) in entries {
            let (probing, rotation) = (Arc::clone(&self.probing), Arc::clone(&self.rotation));
            let (all, ready_nodes) = (all.clone(), Arc::clone(&self.ready));
            thread::spawn(move || {
                let mut misses = 2;
                while probing.load(Ordering::SeqCst) {
                    let answer = call(ready, "GET", READY_PATH, "");
                    let is_ready = answer.is_some_and(|(status, ..)| status == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    let mut nodes = ready_nodes.lock().expect("no panic");
                    let position = nodes.iter().position(|node| *node == packets);
                    match position {
                        None if is_ready => nodes.push(packets),
                        Some(position) if misses >= 2 => drop(nodes.remove(position)),
                        _ => {}
                    }
                    let used = if nodes.len() * 2 < all.len() {
                        &all
                    } else {
                        &*nodes
                    };
                    rotation.lock().expect("no panic").clone_from(used);
                    drop(nodes);
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    }

    /// Waits until this many nodes are in rotation.
    pub fn wait_for_rotation(&self, nodes: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.ready.lock().expect("no panic").len() >= nodes {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the last lines of a process's log that contain `pattern` to the record.
    pub fn quote_log(&self, host: u8, pattern: &str, most: usize) {
        let log = self.folder.join(format!("{host}.log"));
        let text = fs::read_to_string(log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().filter(|line| line.contains(pattern)).collect();
        for line in lines.iter().rev().take(most).rev() {
            self.record.line(format!("log of machine {host}: {line}"));
        }
    }

    fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    fn write_settings(&self, host: u8) {
        let machine = &self.machines[&host];
        let at = |port| self.address(host, port);
        let (class, serves, data, outbound, fields) = match &machine.role {
            Role::Entry { has_disk } => (
                "edge",
                "[\"edge\",\"control_plane\"]",
                if *has_disk {
                    format!("data-dir = \"{}\"\n", self.data(host).display())
                } else {
                    String::new()
                },
                String::new(),
                String::new(),
            ),
            Role::Side { service } => (
                "side",
                "[\"side\"]",
                String::new(),
                format!("outbound = \"{}\"\n", at(OUTBOUND_PORT)),
                format!("app = \"{}\"\nservice = \"{service}\"\n", at(APP_PORT)),
            ),
        };
        let counts = matches!(machine.role, Role::Entry { has_disk: true });
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.address(*seed, CONTROL_PORT)))
            .collect();
        let text = format!(
            "node-name = \"{class}-{host}\"\nrole = \"{class}\"\nmachine-class = \"{class}\"\n\
             serves = {serves}\nip = \"{}\"\nzone = \"{}\"\nregion = \"vestland\"\n\
             internal-ports = [{INTERNAL_PORT}, {}]\nseeds = [{}]\nbootstrap = {}\n\
             loss-counts = {counts}\n{data}discovery = \"local\"\nentry-kind = \"announce\"\n\
             heartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
             config_mode = \"highest\"\nhash = \"steady\"\ndeploy-mode = \"agent\"\n{fields}\
             [zones]\nfjord-a = \"vestland\"\nfjord-b = \"vestland\"\nsund = \"vestland\"\n\
             [bind-addrs]\ndatagram-addr = \"{}\"\nready-addr = \"{}\"\ncontrol = \"{}\"\n\
             {outbound}[limits]\ncpu-share = 0.26\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n\
             link-mbps = 1000.0\ndisk-mb = 64\n[fault-tolerance]\nmachines = 1\nzones = 0\n\
             regions = 0\n[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-window-ms = 4000\n\
             ack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
             config-apply-ms = 3000\nrollback-slack-ms = 250\nskew-max-ms = 12000\n\
             recovery-s = 12\nflow-slack-ms = 2000\nflow-max-s = 60\n",
            at(0).ip(),
            machine.zone,
            INTERNAL_PORT + 15,
            seeds.join(", "),
            self.bootstrap,
            at(PACKET_PORT),
            at(READY_PORT),
            at(CONTROL_PORT),
        );
        // A process that rereads its settings must not find half of them.
        let draft = self.folder.join(format!("{host}.draft"));
        fs::write(&draft, text).expect("own folder");
        fs::rename(draft, self.folder.join(format!("{host}.toml"))).expect("own folder");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.probing.store(false, Ordering::SeqCst);
        let hosts: Vec<u8> = self.machines.keys().copied().collect();
        for host in hosts {
            self.kill(host);
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("{}", self.folder.display());
        }
    }
}
