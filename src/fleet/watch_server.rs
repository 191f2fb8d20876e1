use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{sleep, timeout},
};

use super::{
    FleetError,
    known_balancers::KnownBalancers,
    local_replica::LocalReplica,
    restart_notifier::KnownProcesses,
    watch_frame::{WatchPoll, WatchReply, read_poll, write_reply},
};
use crate::{
    clock::{ClockMillis, ProcessClock, SpanMillis},
    directory::TargetDirectory,
    key::IncarnationId,
    listener::StoredManifest,
};

/// How long a poll waits for changes before it is answered without any.
pub(super) const LONG_POLL_MILLIS: SpanMillis = SpanMillis::new(400);
/// How long sending or receiving a frame may take.
const FRAME_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The pause after a failed accept.
const ACCEPT_PAUSE_MILLIS: SpanMillis = SpanMillis::new(100);
/// The most watchers of one replica.
const MAX_WATCHERS: usize = 1_024;

/// The directory of this replica, shared with its watchers.
#[derive(Debug, Clone)]
pub(super) struct SharedDirectory {
    directory: Arc<Mutex<TargetDirectory>>,
    balancers: Arc<Mutex<KnownBalancers>>,
    changes: watch::Sender<()>,
}

impl SharedDirectory {
    /// Shares `directory`.
    pub(super) fn new(directory: TargetDirectory) -> Self {
        Self {
            directory: Arc::new(Mutex::new(directory)),
            balancers: Arc::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Applies `change` to the directory; it returns whether watchers are
    /// notified.
    pub(super) fn update(&self, change: impl FnOnce(&mut TargetDirectory) -> bool) {
        if self.with_directory(change) {
            self.changes.send_replace(());
        }
    }

    /// Returns the running processes; `None` until the directory has settled.
    pub(super) fn settled_processes(&self, now: ClockMillis) -> Option<KnownProcesses> {
        let agents = self
            .with_directory(|directory| directory.is_settled(now).then(|| directory.running()))?;
        let balancers = self.balancers().running(now);
        Some(KnownProcesses { agents, balancers })
    }

    /// Records a message of a balancer.
    pub(super) fn note_balancer(&self, balancer: Ipv4Addr, now: ClockMillis) {
        self.balancers().note_heard(balancer, now);
    }

    /// Records that the connection of a balancer has ended.
    fn note_disconnected(&self, balancer: Ipv4Addr) {
        self.balancers().note_disconnected(balancer);
    }

    /// Adds balancers that ran before this replica started.
    pub(super) fn expect_balancers(&self, balancers: &BTreeSet<Ipv4Addr>, now: ClockMillis) {
        self.balancers().expect(balancers, now);
    }

    /// Returns at most `limit` silent balancers to recall now.
    pub(super) fn take_recalls(&self, limit: usize, now: ClockMillis) -> Vec<Ipv4Addr> {
        self.balancers().take_recalls(limit, now)
    }

    fn balancers(&self) -> MutexGuard<'_, KnownBalancers> {
        self.balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the incarnation of an agent's target, if the target has announced itself.
    pub(super) fn incarnation_of(&self, agent: Ipv4Addr) -> Option<IncarnationId> {
        self.with_directory(|directory| directory.incarnation_of(agent))
    }

    pub(super) fn with_directory<T>(&self, access: impl FnOnce(&mut TargetDirectory) -> T) -> T {
        access(
            &mut self
                .directory
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

/// Serves routes and targets to watchers.
#[derive(Debug, Clone)]
pub(super) struct WatchServer {
    replica: LocalReplica,
    directory: SharedDirectory,
    clock: ProcessClock,
}

impl WatchServer {
    /// Creates a server of this replica's routes and directory.
    pub(super) fn new(
        replica: LocalReplica,
        directory: SharedDirectory,
        clock: ProcessClock,
    ) -> Self {
        Self {
            replica,
            directory,
            clock,
        }
    }

    /// Starts accepting watchers; it must be called within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub(super) async fn start(self, address: SocketAddrV4) -> Result<(), FleetError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| FleetError::Address {
                address,
                purpose: "watchers",
                cause,
            })?;
        self.serve_watchers(listener);
        Ok(())
    }

    /// Serves the watchers that connect to `listener`; it must be called within the
    /// runtime.
    pub(super) fn serve_watchers(self, listener: TcpListener) {
        tokio::spawn(async move {
            let permits = Arc::new(Semaphore::new(MAX_WATCHERS));
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(ACCEPT_PAUSE_MILLIS.duration()).await;
                    continue;
                };
                let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                    continue;
                };
                let server = self.clone();
                tokio::spawn(async move {
                    // A watcher that lost its connection reconnects to any replica.
                    let _ = server.serve(stream).await;
                    drop(permit);
                });
            }
        });
    }

    /// Serves one watcher until it disconnects.
    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut watcher = None;
        let result = self.answer_polls(stream, &mut watcher).await;
        if let Some(watcher) = watcher {
            self.directory.note_disconnected(watcher);
        }
        result
    }

    /// Answers the polls of a connection until it ends; sets `watcher` to who polls.
    async fn answer_polls(
        &self,
        mut stream: TcpStream,
        watcher: &mut Option<Ipv4Addr>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut routes = self.replica.store().subscribe();
        let mut evacuations = self.replica.store().subscribe_evacuations();
        let mut changes = self.directory.changes.subscribe();
        let mut told_leader = None;
        loop {
            let poll = read_poll(&mut stream, FRAME_TIMEOUT_MILLIS.duration()).await?;
            *watcher = Some(poll.watcher);
            self.directory.note_balancer(poll.watcher, self.clock.now());
            routes.mark_unchanged();
            evacuations.mark_unchanged();
            changes.mark_unchanged();
            self.apply_evacuations();
            if !self.has_changes(&poll) {
                let _ = timeout(LONG_POLL_MILLIS.duration(), async {
                    tokio::select! {
                        _ = routes.changed() => {}
                        _ = evacuations.changed() => {}
                        _ = changes.changed() => {}
                        () = self.replica.leader_changed(told_leader) => {}
                    }
                })
                .await;
            }
            let reply = self.reply(&poll);
            told_leader = reply.leader;
            write_reply(&mut stream, &reply, FRAME_TIMEOUT_MILLIS.duration()).await?;
        }
    }

    /// Brings the directory up to date with the evacuated domains that this replica
    /// has applied.
    fn apply_evacuations(&self) {
        let set = self.replica.store().evacuations();
        self.directory
            .update(|directory| directory.set_evacuations(&set));
    }

    fn has_changes(&self, poll: &WatchPoll) -> bool {
        self.wanted_routes(poll).is_some()
            || self
                .directory
                .with_directory(|directory| directory.position())
                != poll.position
    }

    /// Returns the manifest in force if the watcher asks for it.
    fn wanted_routes(&self, poll: &WatchPoll) -> Option<Arc<StoredManifest>> {
        let stored = self.replica.store().current()?;
        poll.routes
            .includes(stored.manifest.version)
            .then_some(stored)
    }

    fn reply(&self, poll: &WatchPoll) -> WatchReply {
        self.apply_evacuations();
        let now = self.clock.now();
        let routes = self.wanted_routes(poll);
        let targets = self.directory.with_directory(|directory| {
            (directory.position() != poll.position)
                .then(|| directory.changes_since(poll.position, now))
        });
        let leader = self.replica.leader();
        WatchReply {
            routes: routes.map(|stored| stored.manifest.clone()),
            targets,
            members: self.replica.members(),
            leader,
            caught_up: self.replica.is_caught_up(),
        }
    }
}
