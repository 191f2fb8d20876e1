use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::seq::SliceRandom;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    group_view::GroupView,
    watch_frame::{WatchPoll, WatchReply, read_frame, write_frame},
    watch_server::LONG_POLL_MILLIS,
};
use crate::{clock::SpanMillis, directory::DirectoryPlace};

/// How long connecting may take; a VM without power does not answer at all.
const CONNECT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(250);
/// How much later than to the one before it each replica is connected to.
const CONNECT_STAGGER_MILLIS: SpanMillis = SpanMillis::new(20);
/// How long an answer may take beyond the time that the server holds it.
const REPLY_TIMEOUT_MILLIS: SpanMillis = LONG_POLL_MILLIS.times(2);
/// The pause before another replica is tried.
const RETRY_PAUSE_MILLIS: SpanMillis = SpanMillis::new(50);
/// The shortest time between two polls, while reply come in quick succession.
const MIN_POLL_SPACING_MILLIS: SpanMillis = SpanMillis::new(20);

/// An update of the watch for the balancer.
#[derive(Debug)]
pub(super) enum WatchUpdate {
    /// A replica answered; the place says how far its directory is followed.
    Reply(Box<WatchReply>),
    /// The replica that was followed is lost.
    Lost {
        /// The replica.
        replica: Ipv4Addr,
        /// What went wrong.
        cause: io::ErrorKind,
    },
}

/// Follows the routes and the directory of one replica at a time.
#[derive(Debug)]
pub(super) struct WatchClient {
    own: Ipv4Addr,
    port: u16,
    group: GroupView,
    updates: mpsc::Sender<WatchUpdate>,
    routes_version: u64,
    position: DirectoryPlace,
}

impl WatchClient {
    /// Creates a client that reports to `updates`.
    pub(super) fn new(
        own: Ipv4Addr,
        port: u16,
        group: GroupView,
        updates: mpsc::Sender<WatchUpdate>,
    ) -> Self {
        Self {
            own,
            port,
            group,
            updates,
            routes_version: 0,
            position: DirectoryPlace::default(),
        }
    }

    /// Follows one replica after the other until nobody listens.
    pub(super) async fn run(mut self) {
        while !self.updates.is_closed() {
            let mut untried = self.candidates();
            while let Some((replica, stream)) = self.connect_any(&untried).await {
                // The cause matters only to the next attempt, which is made at once.
                if self.follow(replica, stream).await.is_ok() {
                    return;
                }
                untried.retain(|candidate| *candidate != replica);
            }
            sleep(RETRY_PAUSE_MILLIS.duration()).await;
        }
    }

    /// Returns whom to follow: this VM's replica first, then any other.
    fn candidates(&self) -> Vec<Ipv4Addr> {
        let mut members = self.group.contacts();
        members.shuffle(&mut rand::rng());
        members.sort_by_key(|member| *member != self.own);
        members
    }

    /// Connects to the first of the replicas that answers; returns `None` if none
    /// does, or other replicas were found meanwhile.
    async fn connect_any(&self, replicas: &[Ipv4Addr]) -> Option<(Ipv4Addr, TcpStream)> {
        let mut attempts = JoinSet::new();
        let mut delay = SpanMillis::ZERO;
        for replica in replicas.iter().copied() {
            let address = SocketAddrV4::new(replica, self.port);
            attempts.spawn(async move {
                sleep(delay.duration()).await;
                let connect = TcpStream::connect(address);
                let stream = timeout(CONNECT_TIMEOUT_MILLIS.duration(), connect).await;
                Some((replica, stream.ok()?.ok()?))
            });
            delay = delay.plus(CONNECT_STAGGER_MILLIS);
        }
        loop {
            tokio::select! {
                attempt = attempts.join_next() => {
                    if let Ok(Some(connected)) = attempt? {
                        return Some(connected);
                    }
                }
                // Others are worth trying now.
                () = self.group.changed() => return None,
            }
        }
    }

    /// Follows a replica until it fails or no longer hears a leader; succeeds
    /// when nobody listens any more.
    async fn follow(&mut self, replica: Ipv4Addr, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let reply = match self.poll(&mut stream).await {
                Ok(reply) => reply,
                Err(error) => {
                    // A full queue will be told by the next loss.
                    let cause = error.kind();
                    let _ = self.updates.try_send(WatchUpdate::Lost { replica, cause });
                    return Err(error);
                }
            };
            if let Some(routes) = &reply.routes {
                self.routes_version = routes.version;
            }
            if let Some(targets) = &reply.targets {
                self.position = if targets.settled {
                    targets.place
                } else {
                    DirectoryPlace::default()
                };
            }
            let caught_up = reply.caught_up;
            let unsettled = self.position == DirectoryPlace::default();
            if self
                .updates
                .send(WatchUpdate::Reply(Box::new(reply)))
                .await
                .is_err()
            {
                return Ok(());
            }
            if !caught_up {
                return Err(io::ErrorKind::NotConnected.into());
            }
            let pause = if unsettled {
                RETRY_PAUSE_MILLIS
            } else {
                MIN_POLL_SPACING_MILLIS
            };
            sleep(pause.duration()).await;
        }
    }

    async fn poll(&self, stream: &mut TcpStream) -> io::Result<WatchReply> {
        let poll = WatchPoll {
            watcher: self.own,
            routes_version: self.routes_version,
            position: self.position,
        };
        write_frame(stream, &poll, REPLY_TIMEOUT_MILLIS.duration()).await?;
        read_frame(stream, REPLY_TIMEOUT_MILLIS.duration()).await
    }
}
