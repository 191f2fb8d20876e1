//! The project's programs as separate processes on loopback addresses.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http::operator_call, record::Record};

pub const PACKETS: u16 = 8_172;
pub const READY: u16 = 8_167;
pub const CONTROL: u16 = 8_166;
pub const OUTBOUND: u16 = 8_162;
pub const APP: u16 = 8_165;
pub const INTERNAL: u16 = 7_720;
/// The interval of the targets' pings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A block of loopback addresses that no other run uses.
pub struct Block {
    high: u8,
    low: u8,
    _held: TcpListener,
}

impl Block {
    pub fn reserve() -> Option<Self> {
        let start = std::process::id();
        for attempt in 0..20_000 {
            let number = start.wrapping_add(attempt) % 40_000 + 20_000;
            let [_, _, high, low] = number.to_be_bytes();
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, high, low, 254), 65_001)) {
                return Some(Self {
                    high,
                    low,
                    _held: held,
                });
            }
        }
        None
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.high, self.low, host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }
}

/// One machine with one process of the project.
pub struct Node {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self, folder: &Path, record: &Record) -> Option<()> {
        let log = folder.join(format!("{}.log", self.name));
        let output = File::options().create(true).append(true).open(log).ok()?;
        let errors = output.try_clone().ok()?;
        // The command of deploy/system.toml, in the root of the repository.
        let child = Command::new("target/release/cyclamen-node")
            .arg(self.role)
            .env("CYCLAMENROUTER_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .ok()?;
        record.note(&format!("{} started", self.name));
        self.child = Some(child);
        Some(())
    }
}

impl Node {
    /// Ends the process at once.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            record.note(&format!("{} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells the process that its settings file has changed.
    fn hang_up(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .arg("-HUP")
                .arg(child.id().to_string())
                .status();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The machines of a small deployment.
pub struct Site {
    pub block: Block,
    pub folder: PathBuf,
    pub record: Record,
    pub nodes: Vec<Node>,
    seeds: Vec<u8>,
    /// More lines for the settings of every machine, after its own top-level fields.
    tables: String,
    /// Whether the whole site starts for the first time.
    bootstrap: bool,
}

impl Site {
    /// Creates a site whose seeds are these machines.
    pub fn new(folder: &Path, record: Record, seeds: &[u8]) -> Option<Self> {
        Some(Self {
            block: Block::reserve()?,
            folder: folder.to_owned(),
            record,
            nodes: Vec::new(),
            seeds: seeds.to_vec(),
            bootstrap: true,
            tables: "[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
                     [zones]\nfjord-a = \"vestland\"\nfjord-b = \"vestland\"\nsund = \"vestland\"\n\
                     [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-window-ms = 4000\n\
                     ack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\n\
                     loss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\n\
                     skew-max-ms = 12000\nrecovery-s = 12\nflow-slack-ms = 2000\nflow-max-s = 60\n"
                .to_owned(),
        })
    }

    pub fn zone(host: u8) -> &'static str {
        ["fjord-a", "fjord-b", "sund"][usize::from(host % 3)]
    }

    fn write_settings(&self, name: &str, role: &str, host: u8, fields: &str) -> Option<PathBuf> {
        let ip = self.block.ip(host);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.block.at(*seed, CONTROL)))
            .collect();
        let serves = match role {
            "entry" => "[\"edge\",\"control_plane\"]",
            _ => "[\"side\"]",
        };
        let outbound = match role {
            "side" => format!("outbound = \"{ip}:{OUTBOUND}\"\n"),
            _ => String::new(),
        };
        let text = format!(
            "node-name = \"{name}\"\nrole = \"{role}\"\nserves = {serves}\nip = \"{ip}\"\n\
             zone = \"{}\"\nregion = \"vestland\"\ninternal-ports = [{INTERNAL}, {}]\n\
             seeds = [{}]\nbootstrap = {}\nheartbeat-interval-ms = {}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\n\
             config_mode = \"highest\"\nhash = \"steady\"\ndeploy-mode = \"agent\"\n{fields}\
             [bind-addrs]\ndatagram-addr = \"{ip}:{PACKETS}\"\nready-addr = \"{ip}:{READY}\"\n\
             control = \"{ip}:{CONTROL}\"\n{outbound}{}\
             [limits]\ncpu-share = 0.26\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n\
             link-mbps = 1000.0\ndisk-mb = 64\n",
            Self::zone(host),
            INTERNAL + 15,
            seeds.join(","),
            self.bootstrap,
            HEARTBEAT.as_millis(),
            self.tables,
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).ok()?;
        Some(path)
    }

    /// Adds and starts an entry machine.
    pub fn add_entry(&mut self, host: u8, disk: bool) -> Option<usize> {
        let name = format!("edge-{host}");
        let fields = if disk {
            let data = self.folder.join(format!("data-{host}"));
            fs::create_dir_all(&data).ok()?;
            format!("loss-counts = true\ndata-dir = \"{}\"\n", data.display())
        } else {
            "loss-counts = false\n".to_owned()
        };
        self.add_node(name, "entry", host, &fields)
    }

    /// Adds and starts the machine beside a target.
    pub fn add_side(&mut self, host: u8, service: &str) -> Option<usize> {
        let name = format!("side-{host}");
        let fields = format!(
            "loss-counts = false\napp = \"{}\"\nservice = \"{service}\"\n",
            self.block.at(host, APP)
        );
        self.add_node(name, "side", host, &fields)
    }

    fn add_node(
        &mut self,
        name: String,
        role: &'static str,
        host: u8,
        fields: &str,
    ) -> Option<usize> {
        let settings = self.write_settings(&name, role, host, fields)?;
        let mut node = Node {
            name,
            role,
            settings,
            child: None,
        };
        node.start(&self.folder, &self.record)?;
        self.nodes.push(node);
        Some(self.nodes.len() - 1)
    }

    /// Turns `bootstrap` off in all settings, for later starts.
    pub fn end_bootstrap(&mut self) -> Option<()> {
        self.bootstrap = false;
        for node in &self.nodes {
            let text = fs::read_to_string(&node.settings).ok()?;
            fs::write(
                &node.settings,
                text.replace("bootstrap = true", "bootstrap = false"),
            )
            .ok()?;
        }
        Some(())
    }

    /// Writes other seeds into the settings of all machines and tells their processes.
    pub fn change_seeds(&mut self, seeds: &[u8]) -> Option<()> {
        let quoted = |seeds: &[u8]| {
            let seeds = seeds
                .iter()
                .map(|seed| format!("\"{}\"", self.block.at(*seed, CONTROL)));
            seeds.collect::<Vec<_>>().join(",")
        };
        let (old, new) = (quoted(&self.seeds), quoted(seeds));
        for node in &self.nodes {
            let text = fs::read_to_string(&node.settings).ok()?;
            fs::write(&node.settings, text.replace(&old, &new)).ok()?;
            node.hang_up();
        }
        self.record
            .note(&format!("the seeds are the machines {seeds:?} now"));
        self.seeds = seeds.to_vec();
        Some(())
    }

    pub fn start(&mut self, node: usize) -> Option<()> {
        let (folder, record) = (self.folder.clone(), self.record.clone());
        self.nodes[node].start(&folder, &record)
    }

    pub fn kill(&mut self, node: usize) {
        let record = self.record.clone();
        self.nodes[node].kill(&record);
    }

    /// Sends a config to the machines in turn until it is acknowledged.
    pub fn put_config(&self, hosts: &[u8], body: &str, limit: Duration) -> Option<()> {
        let end = Instant::now() + limit;
        let mut turn = 0;
        let mut pause = Duration::from_millis(150);
        while Instant::now() < end {
            let host = hosts[turn % hosts.len()];
            turn += 1;
            let to = self.block.at(host, CONTROL);
            let answer = operator_call(to, "PUT", "/cyclamenrouter/config", body);
            self.record.note(&format!(
                "operator: PUT config to edge-{host}: {:?}",
                answer.as_ref().map(|(status, _)| status)
            ));
            if let Some((200, _)) = answer {
                return Some(());
            }
            sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        None
    }
}
