//! A small site that runs the built binaries, for tests that kill processes.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

#[path = "../loopback/mod.rs"]
mod loopback;

pub mod scripted_upstream;

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

pub use cyclamenrouter::demo::FabricStandIn;
use cyclamenrouter::{
    caller::{CallRequest, CallResponse, ServiceCaller},
    control::{api::ApplyRequest, client::ControlClient},
    demo::UpstreamStandIn,
    manifest::Manifest,
    secret::{DeploymentSecret, SecretEpoch, SecretStore},
    tls::{CertificateFiles, TestCertificate, TrustedRoots},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use loopback::LoopbackBlock;

/// The longest wait for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two checks of a state.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The failure domains of the site.
pub const DOMAINS: [&str; 3] = ["fjord-a", "fjord-b", "sund"];
/// The port of the first service; the second has the next one.
pub const FIRST_SERVICE_PORT: u16 = 4433;

/// A process of the site; killed when dropped.
pub struct SiteProcess {
    pub name: String,
    child: Child,
}

impl SiteProcess {
    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.id().to_string()])
            .status()
            .expect("the program kill");
        assert!(status.success());
    }

    /// Returns the exit status if the process has exited.
    pub fn try_wait(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("own child")
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses, files and processes of a small site on loopback.
pub struct TestSite {
    pub folder: TempDir,
    block: LoopbackBlock,
    certificates: CertificateFiles,
}

impl TestSite {
    /// Creates the site's files and reserves a block of loopback addresses.
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let certificate =
            TestCertificate::new(&["barge-control", "logbook"]).expect("a certificate");
        let certificates = certificate.write(folder.path()).expect("a writable folder");
        let site = Self {
            folder,
            block: LoopbackBlock::reserve(),
            certificates,
        };
        site.write_secret(1, &[1]);
        site
    }

    /// Replaces the secret file by one with these epochs.
    ///
    /// An epoch always has the same keys.
    pub fn write_secret(&self, active: u8, epochs: &[u8]) {
        let epochs = epochs
            .iter()
            .map(|epoch| SecretEpoch {
                epoch: *epoch,
                secret: vec![*epoch; 32],
            })
            .collect();
        let text = serde_json::to_string(&DeploymentSecret { active, epochs });
        let temporary = self.folder.path().join("secret.fresh");
        fs::write(&temporary, text.expect("plain JSON")).expect("a writable folder");
        fs::set_permissions(&temporary, fs::Permissions::from_mode(0o600)).expect("own file");
        fs::rename(&temporary, self.secret_file()).expect("own file");
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        *self.address(last, 0).ip()
    }

    pub fn address(&self, last: u8, port: u16) -> SocketAddrV4 {
        self.block.address(last, port)
    }

    pub fn secret_file(&self) -> PathBuf {
        self.folder.path().join("secret.json")
    }

    pub fn control_address(&self) -> SocketAddrV4 {
        self.address(2, 7000)
    }

    pub fn service_address(&self, index: u16) -> SocketAddrV4 {
        self.address(1, FIRST_SERVICE_PORT + index)
    }

    pub fn client(&self) -> ControlClient {
        let secret = DeploymentSecret::load(&self.secret_file()).expect("own secret");
        let store = SecretStore::new(&secret).expect("own secret");
        ControlClient::new(vec![self.control_address()], store)
    }

    fn start(&self, program: &str, path: &str, name: &str, settings: &Value) -> SiteProcess {
        let file = self.folder.path().join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("a writable folder");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{name}.log")))
            .expect("a writable folder");
        let child = Command::new(path)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("{program} does not start: {error}"));
        SiteProcess {
            name: name.to_owned(),
            child,
        }
    }

    pub fn start_control(&self) -> SiteProcess {
        let settings = json!({
            "name": "control-1",
            "domain": domain(0),
            "listen": self.control_address(),
            "data_folder": self.folder.path().join("control-1"),
            "secret_file": self.secret_file(),
        });
        let path = env!("CARGO_BIN_EXE_cyclamen-control");
        self.start("cyclamen-control", path, "control-1", &settings)
    }

    pub fn balancer_ip(&self, index: u8) -> Ipv4Addr {
        self.ip(10 + index)
    }

    pub fn balancer_metrics(&self, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.balancer_ip(index), 7101)
    }

    pub fn agent_metrics(&self, index: u8) -> SocketAddrV4 {
        self.address(100 + index, 7201)
    }

    pub fn start_balancer(&self, index: u8) -> SiteProcess {
        let name = format!("balancer-{index}");
        let settings = json!({
            "name": name,
            "domain": domain(index),
            "listen_ip": self.balancer_ip(index),
            "tunnel_ip": self.balancer_ip(index),
            "control": [self.control_address()],
            "secret_file": self.secret_file(),
            "admin_listen": SocketAddrV4::new(self.balancer_ip(index), 7100),
            "metrics_listen": self.balancer_metrics(index),
        });
        let path = env!("CARGO_BIN_EXE_cyclamen-balancer");
        self.start("cyclamen-balancer", path, &name, &settings)
    }

    pub fn agent_address(&self, index: u8) -> SocketAddrV4 {
        self.address(100 + index, 6000)
    }

    /// Starts the agent of `upstream`.
    pub fn start_agent(&self, index: u8, service: &str, upstream: SocketAddrV4) -> SiteProcess {
        let name = format!("agent-{index}");
        let settings = json!({
            "name": name,
            "domain": domain(index),
            "service": service,
            "upstream": upstream,
            "tunnel_listen": self.agent_address(index),
            "peer_listen": self.address(100 + index, 6001),
            "control": [self.control_address()],
            "secret_file": self.secret_file(),
            "tls": self.certificates,
            "admin_listen": self.address(100 + index, 7200),
            "metrics_listen": self.agent_metrics(index),
            "connection_id_millis": 1000,
        });
        let path = env!("CARGO_BIN_EXE_cyclamen-agent");
        self.start("cyclamen-agent", path, &name, &settings)
    }

    /// Starts the simulated upstream of the agent with this index.
    pub async fn start_upstream(&self, index: u8, name: &str) -> UpstreamStandIn {
        let address = self.address(100 + index, 8000);
        UpstreamStandIn::start(name, address)
            .await
            .expect("a free address")
    }

    /// Starts the simulated network fabric of the service with this index.
    pub async fn start_fabric(&self, index: u16, balancers: &[u8]) -> FabricStandIn {
        let service = self.service_address(index);
        FabricStandIn::start(service, self.ip(3), self.listeners(index, balancers))
            .await
            .expect("a free address")
    }

    /// Returns the balancers' listening addresses for the service with this index.
    pub fn listeners(&self, index: u16, balancers: &[u8]) -> Vec<SocketAddrV4> {
        balancers
            .iter()
            .map(|balancer| {
                SocketAddrV4::new(self.balancer_ip(*balancer), FIRST_SERVICE_PORT + index)
            })
            .collect()
    }

    pub fn manifest(&self, version: u64) -> Manifest {
        let text = json!({
            "version": version,
            "replaces": version - 1,
            "services": [
                { "name": "barge-control", "address": self.service_address(0) },
                { "name": "logbook", "address": self.service_address(1) },
            ],
        });
        serde_json::from_value(text).expect("a good manifest")
    }

    /// Applies a manifest, retrying until control accepts it.
    pub async fn apply(&self, manifest: Manifest) {
        let client = self.client();
        let request = ApplyRequest { manifest };
        eventually("the manifest is accepted", async || {
            client.apply(&request).await.is_ok()
        })
        .await;
    }

    pub fn trusted_roots(&self) -> TrustedRoots {
        TrustedRoots::load(&self.folder.path().join("root.pem")).expect("own root")
    }

    /// Connects to a service, retrying until an agent accepts.
    pub async fn connect(&self, index: u16, service: &str) -> ServiceCaller {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let address = self.service_address(index);
            let attempt = ServiceCaller::connect(address, service, self.trusted_roots());
            let error = match tokio::time::timeout(Duration::from_secs(5), attempt).await {
                Ok(Ok(caller)) => return caller,
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no answer".to_owned(),
            };
            assert!(
                tokio::time::Instant::now() < deadline,
                "{service} was not reached: {error}\n{}",
                self.logs()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the last lines of all logs, for the message of a failed test.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let Ok(entries) = fs::read_dir(self.folder.path()) else {
            return text;
        };
        for entry in entries.flatten() {
            if entry.path().extension().is_some_and(|kind| kind == "log") {
                text.push_str(&last_lines(&entry.path()));
            }
        }
        text
    }
}

/// Returns the metrics page of a process, or an empty text if it does not answer.
pub async fn scrape_metrics(address: SocketAddrV4) -> String {
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address).await {
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).await.is_ok() {
            let _ = stream.read_to_string(&mut text).await;
        }
    }
    text
}

/// Waits until `condition` holds; panics after `WAIT_TIMEOUT`.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "never: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a GET request and returns the complete response.
pub async fn get(caller: &ServiceCaller, path: &str) -> CallResponse {
    caller
        .send(CallRequest::new("GET", path))
        .await
        .unwrap_or_else(|error| panic!("GET {path}: {error}"))
}

fn domain(index: u8) -> Value {
    json!({ "region": "vestland", "failure_domain": DOMAINS[usize::from(index) % 3] })
}

fn last_lines(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let start = lines.len().saturating_sub(12);
    format!("== {}\n{}\n", path.display(), lines[start..].join("\n"))
}
