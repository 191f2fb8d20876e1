use std::{
    collections::BTreeSet,
    net::Ipv4Addr,
    path::Path,
    sync::mpsc::{self, Receiver, Sender},
    thread,
};

use super::FleetEvent;
use crate::{
    control::journal::{read_file, replace_file},
    event::log_event,
};

/// The name of the file within the data folder.
const FILE_NAME: &str = "agents";

/// Remembers which agents run, so that a replica that starts again knows when
/// it has heard them all. It is a hint: a lost file costs only time.
#[derive(Debug)]
pub(super) struct DirectoryFile {
    read: Receiver<BTreeSet<Ipv4Addr>>,
    writes: Sender<BTreeSet<Ipv4Addr>>,
    written: BTreeSet<Ipv4Addr>,
}

impl DirectoryFile {
    /// Starts the thread that reads the file once and writes it from then on,
    /// since a disk may stall.
    pub(super) fn open(folder: &Path) -> Self {
        let path = folder.join(FILE_NAME);
        let (found, read) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let spawned = thread::Builder::new()
            .name("agents-file".to_owned())
            .spawn(move || {
                // A process that has ended needs no agents.
                let _ = found.send(read_agents(&path));
                write_newest(&path, &queue);
            });
        if let Err(error) = spawned {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
        Self {
            read,
            writes,
            written: BTreeSet::new(),
        }
    }

    /// Returns, once, the agents that ran when the file was last written.
    pub(super) fn take_read(&mut self) -> Option<BTreeSet<Ipv4Addr>> {
        let agents = self.read.try_recv().ok()?;
        self.written.clone_from(&agents);
        Some(agents)
    }

    /// Has the file name these agents, unless it does.
    pub(super) fn write(&mut self, agents: BTreeSet<Ipv4Addr>) {
        if agents != self.written {
            self.written.clone_from(&agents);
            // Without its thread the file stays old, which costs only time.
            let _ = self.writes.send(agents);
        }
    }
}

fn read_agents(path: &Path) -> BTreeSet<Ipv4Addr> {
    match read_file(path) {
        Ok(agents) => agents.unwrap_or_default(),
        Err(error) => {
            log_event!(warn, FleetEvent::AgentsUnread, %error);
            BTreeSet::new()
        }
    }
}

fn write_newest(path: &Path, queue: &Receiver<BTreeSet<Ipv4Addr>>) {
    while let Ok(mut agents) = queue.recv() {
        while let Ok(newer) = queue.try_recv() {
            agents = newer;
        }
        if let Err(error) = replace_file(path, &agents) {
            log_event!(warn, FleetEvent::AgentsUnwritten, %error);
        }
    }
}
