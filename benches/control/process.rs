//! A control replica in its own process, with its CPU and memory usage.

use std::{
    fs,
    net::SocketAddrV4,
    os::unix::fs::PermissionsExt,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use cyclamenrouter::secret::{DeploymentSecret, SecretStore};
use serde_json::{Value, json};
use tempfile::TempDir;

/// The clock ticks per second of `/proc`.
const TICKS_PER_SECOND: u64 = 100;
/// The size of a memory page in `/proc`.
const PAGE_BYTES: u64 = 4_096;

/// A running replica; killed when dropped.
pub struct ControlProcess {
    child: Child,
    _folder: TempDir,
    pub address: SocketAddrV4,
    pub secret: SecretStore,
}

/// The CPU time and resident memory of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    pub cpu_micros: u64,
    pub memory_bytes: u64,
}

impl ControlProcess {
    /// Starts the built binary on a port that the operating system chooses.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let secret = DeploymentSecret::random(1);
        let secret_file = folder.path().join("secret.json");
        let text = serde_json::to_string(&secret).expect("plain JSON");
        fs::write(&secret_file, text).expect("a writable folder");
        fs::set_permissions(&secret_file, fs::Permissions::from_mode(0o600)).expect("own file");
        let settings = json!({
            "name": "control-1",
            "domain": { "region": "vestland", "failure_domain": "sund" },
            "listen": "127.0.0.1:0",
            "data_folder": folder.path().join("data"),
            "secret_file": secret_file,
        });
        let settings_file = folder.path().join("settings.json");
        fs::write(&settings_file, settings.to_string()).expect("a writable folder");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamen-control"))
            .arg("--settings")
            .arg(settings_file)
            .stderr(Stdio::null())
            .spawn()
            .expect("the built binary");
        let listening = folder.path().join("data/listening.json");
        let address = loop {
            if let Ok(text) = fs::read_to_string(&listening) {
                let record: Value = serde_json::from_str(&text).expect("plain JSON");
                break record["listen"]
                    .as_str()
                    .and_then(|address| address.parse().ok())
                    .expect("an address");
            }
            thread::sleep(Duration::from_millis(20));
        };
        Self {
            child,
            address,
            secret: SecretStore::new(&secret).expect("a good secret"),
            _folder: folder,
        }
    }

    /// Returns the CPU time used so far and the current resident memory.
    pub fn usage(&self) -> ProcessUsage {
        let folder = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{folder}/stat")).expect("a live process");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .map(|rest| rest.split_whitespace().collect())
            .unwrap_or_default();
        let ticks: u64 = [11, 12]
            .iter()
            .map(|index| parse_number(fields[*index]))
            .sum();
        let memory = fs::read_to_string(format!("{folder}/statm")).expect("a live process");
        let pages = memory.split_whitespace().nth(1).map_or(0, parse_number);
        ProcessUsage {
            cpu_micros: ticks * 1_000_000 / TICKS_PER_SECOND,
            memory_bytes: pages * PAGE_BYTES,
        }
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}
