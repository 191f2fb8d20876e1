//! A control group of built `cyclamen-control` processes on loopback.

use std::{
    fs::{self, File},
    net::SocketAddrV4,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use cyclamenrouter::{
    control::{
        api::{ApplyRequest, ControlStatus, ReplicaRole},
        client::{ControlClient, ControlClientError, ReplicaCallError},
    },
    manifest::Manifest,
    secret::{DeploymentSecret, SecretStore},
};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

#[path = "../loopback/mod.rs"]
mod loopback;

use loopback::LoopbackBlock;

/// The longest wait for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The port where replicas answer calls.
const CALL_PORT: u16 = 7_000;
/// The port where replicas accept links of their peers.
const LINK_PORT: u16 = 7_001;
/// The interval between two checks of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A replica whose settings and address outlive its process.
struct GroupReplica {
    call_address: SocketAddrV4,
    data_folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

/// A control group whose processes the tests stop, kill and restart.
pub struct ControlGroup {
    folder: TempDir,
    replicas: Vec<GroupReplica>,
    secret: SecretStore,
    _block: LoopbackBlock,
}

impl ControlGroup {
    /// Starts `count` replicas with empty data folders.
    pub fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let secret = DeploymentSecret::random(1);
        let secret_file = folder.path().join("secret.json");
        let text = serde_json::to_string(&secret).expect("plain JSON");
        fs::write(&secret_file, text).expect("own folder");
        fs::set_permissions(&secret_file, fs::Permissions::from_mode(0o600)).expect("own file");
        let block = LoopbackBlock::reserve();
        let calls = addresses(&block, CALL_PORT, count);
        let links = addresses(&block, LINK_PORT, count);
        let replicas = (0..count).map(|index| {
            let settings = folder.path().join(format!("replica-{index}.json"));
            let data = folder.path().join(format!("data-{index}"));
            write_settings(&settings, &secret_file, &data, index, &calls, &links);
            GroupReplica {
                call_address: calls[index],
                data_folder: data,
                settings,
                child: None,
            }
        });
        let mut group = Self {
            replicas: replicas.collect(),
            secret: SecretStore::new(&secret).expect("a good secret"),
            folder,
            _block: block,
        };
        for index in 0..count {
            group.restart(index);
        }
        group
    }

    /// Starts a replica's process if it is not running.
    pub fn restart(&mut self, index: usize) {
        let log_path = self.log_path(index);
        let replica = &mut self.replicas[index];
        if replica.child.is_some() {
            return;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path)
            .expect("own folder");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamen-control"))
            .arg("--settings")
            .arg(&replica.settings)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the built program");
        replica.child = Some(child);
    }

    /// Sends SIGKILL to a replica's process and waits until it has exited.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.replicas[index].child.take() {
            child.kill().expect("own child");
            child.wait().expect("own child");
        }
    }

    /// Sends SIGTERM to a replica's process and waits for its successful exit.
    pub fn stop(&mut self, index: usize) {
        self.signal(index, "TERM");
        if let Some(mut child) = self.replicas[index].child.take() {
            let status = child.wait().expect("own child");
            assert!(status.success(), "a planned stop exits with success");
        }
    }

    /// Kills a replica's process and deletes its data folder.
    pub fn wipe_disk(&mut self, index: usize) {
        self.kill(index);
        fs::remove_dir_all(&self.replicas[index].data_folder).expect("own folder");
    }

    /// Freezes a replica's process; returns once none of its threads runs any more.
    ///
    /// A process stops only when one of its threads handles the signal. Until that
    /// one gets a CPU, the others go on and may answer a peer.
    pub async fn freeze(&self, index: usize) {
        self.signal(index, "STOP");
        let child = self.replicas[index]
            .child
            .as_ref()
            .expect("a running process");
        let tasks = PathBuf::from(format!("/proc/{}/task", child.id()));
        wait_until("every thread of the frozen replica has stopped", || {
            let mut threads = fs::read_dir(&tasks).expect("a running process").flatten();
            threads.all(|thread| is_stopped(&thread.path()))
        })
        .await;
    }

    /// Sends a signal, such as CONT, to a replica's process.
    pub fn signal(&self, index: usize, name: &str) {
        let child = self.replicas[index]
            .child
            .as_ref()
            .expect("a running process");
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
        assert!(status.expect("the program kill").success());
    }

    /// Returns the call address of a replica.
    pub fn address(&self, index: usize) -> SocketAddrV4 {
        self.replicas[index].call_address
    }

    /// Returns a client of the replicas with these indexes.
    pub fn client(&self, indexes: &[usize]) -> ControlClient {
        let addresses = indexes.iter().map(|index| self.address(*index));
        ControlClient::new(addresses.collect(), self.secret.clone())
    }

    /// Returns a client of every replica.
    pub fn client_for_all(&self) -> ControlClient {
        let indexes: Vec<usize> = (0..self.replicas.len()).collect();
        self.client(&indexes)
    }

    /// Returns how often an event is in a replica's log.
    pub fn count_events(&self, index: usize, number: u16) -> usize {
        let text = fs::read_to_string(self.log_path(index)).unwrap_or_default();
        let plain = text.replace("\u{1b}[3m", "").replace("\u{1b}[0m", "");
        let plain = plain.replace("\u{1b}[2m", "");
        plain.matches(&format!("event={number} ")).count()
    }

    /// Returns the index of the leader that the group confirms.
    pub async fn leader(&self) -> usize {
        let status = self.status().await;
        let leads = |role| role == ReplicaRole::Leader;
        let found = status.replicas.iter().find(|replica| leads(replica.role));
        let address = found
            .expect("a confirmed status contains the leader")
            .address;
        let index = (0..self.replicas.len()).find(|index| self.address(*index) == address);
        index.expect("the leader is one of the replicas")
    }

    /// Returns the logs of all replicas, for the message of a failed test.
    fn logs(&self) -> String {
        (0..self.replicas.len())
            .map(|index| fs::read_to_string(self.log_path(index)).unwrap_or_default())
            .collect::<Vec<_>>()
            .join("--\n")
    }

    /// Waits for a confirmed status and returns it.
    pub async fn status(&self) -> ControlStatus {
        let client = self.client_for_all();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match client.status().await {
                Ok(status) => return status,
                Err(error) => assert!(
                    Instant::now() < deadline,
                    "no status: {error}\n{}",
                    self.logs()
                ),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the status that one replica reports.
    pub async fn status_at(&self, index: usize) -> Result<ControlStatus, ReplicaCallError> {
        let address = self.address(index);
        self.client(&[index]).status_at(address).await
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("replica-{index}.log"))
    }
}

impl Drop for ControlGroup {
    fn drop(&mut self) {
        for replica in &mut self.replicas {
            if let Some(child) = &mut replica.child {
                // The process may have exited already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Returns whether the thread with this folder in `/proc` is stopped by a signal.
fn is_stopped(thread: &Path) -> bool {
    let status = fs::read_to_string(thread.join("stat")).unwrap_or_default();
    // The state follows the name, which is in parentheses.
    status
        .rsplit_once(") ")
        .is_some_and(|(_, fields)| fields.starts_with('T'))
}

/// Waits until `condition` holds; panics after `WAIT_TIMEOUT`.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "never: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the manifest of a version; each version has different content.
pub fn manifest(version: u64) -> Manifest {
    let text = format!(
        r#"{{"version": {version}, "replaces": {}, "services": [
            {{"name": "service-{version}", "address": "192.0.2.1:443"}}]}}"#,
        version - 1
    );
    serde_json::from_str(&text).expect("a good manifest")
}

/// Applies a version, retrying until it is accepted.
pub async fn apply_until_accepted(client: &ControlClient, version: u64) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while let Err(error) = apply_once(client, version).await {
        assert!(Instant::now() < deadline, "version {version}: {error}");
    }
}

/// Applies a version with one call and checks the reply.
pub async fn apply_once(client: &ControlClient, version: u64) -> Result<(), ControlClientError> {
    let manifest = manifest(version);
    let digest = manifest.digest();
    let reply = client.apply(&ApplyRequest { manifest }).await?;
    assert_eq!((reply.version, reply.digest), (version, digest));
    Ok(())
}

/// Returns one address per replica.
fn addresses(block: &LoopbackBlock, port: u16, count: usize) -> Vec<SocketAddrV4> {
    let hosts = (1..=u8::MAX).take(count);
    hosts.map(|host| block.address(host, port)).collect()
}

fn write_settings(
    path: &Path,
    secret_file: &Path,
    data: &Path,
    index: usize,
    calls: &[SocketAddrV4],
    links: &[SocketAddrV4],
) {
    let others = (0..calls.len()).filter(|other| *other != index);
    let peers: Vec<serde_json::Value> = others
        .map(|other| {
            serde_json::json!({
                "replica": other + 1, "link": links[other], "calls": calls[other],
            })
        })
        .collect();
    let settings = serde_json::json!({
        "name": format!("replica-{}", index + 1),
        "domain": {"region": "vestland", "failure_domain": "fjord-a"},
        "replica": index + 1,
        "listen": calls[index],
        "link_listen": links[index],
        "peers": peers,
        "data_folder": data,
        "secret_file": secret_file,
    });
    fs::write(path, settings.to_string()).expect("own folder");
}
