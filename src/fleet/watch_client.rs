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
    watch_frame::{WantedRoutes, WatchPoll, WatchReply, read_reply, write_poll},
    watch_server::LONG_POLL_MILLIS,
};
use crate::{clock::SpanMillis, directory::DirectoryPosition};

/// How long connecting may take; a VM without power never answers.
const CONNECT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(250);
/// The delay between the connection attempts to successive replicas.
const CONNECT_STAGGER_MILLIS: SpanMillis = SpanMillis::new(20);
/// How long a reply may take, which the server may hold for `LONG_POLL_MILLIS`.
pub(super) const REPLY_TIMEOUT_MILLIS: SpanMillis = LONG_POLL_MILLIS.saturating_mul(2);
/// The pause before the replicas are tried again, and between polls while the
/// directory has not settled.
const RETRY_PAUSE_MILLIS: SpanMillis = SpanMillis::new(50);
/// The pause between polls; it bounds their rate while changes come in quick
/// succession.
const MIN_POLL_SPACING_MILLIS: SpanMillis = SpanMillis::new(20);

/// An update of the watch client for the balancer.
#[derive(Debug)]
pub(super) enum WatchUpdate {
    /// A replica answered a poll.
    Reply {
        /// The replica.
        replica: Ipv4Addr,
        /// Its answer.
        reply: Box<WatchReply>,
    },
    /// The watched replica failed.
    Lost {
        /// The replica.
        replica: Ipv4Addr,
        /// The kind of error.
        cause: io::ErrorKind,
    },
}

/// Watches the routes and the directory of one replica at a time.
#[derive(Debug)]
pub(super) struct WatchClient {
    own_address: Ipv4Addr,
    port: u16,
    group: GroupView,
    updates: mpsc::Sender<WatchUpdate>,
    /// The version of the last routes received.
    routes_version: Option<u64>,
    position: DirectoryPosition,
    /// Whether the watched directory had settled at that position.
    settled: bool,
}

impl WatchClient {
    /// Creates a client that sends its updates to `updates`.
    pub(super) fn new(
        own_address: Ipv4Addr,
        port: u16,
        group: GroupView,
        updates: mpsc::Sender<WatchUpdate>,
    ) -> Self {
        Self {
            own_address,
            port,
            group,
            updates,
            routes_version: None,
            position: DirectoryPosition::default(),
            settled: false,
        }
    }

    /// Watches one replica after the other until `updates` is closed.
    pub(super) async fn run(mut self) {
        while !self.updates.is_closed() {
            let mut untried = self.candidates();
            while let Some((replica, stream)) = connect_any(&self.group, self.port, &untried).await
            {
                // After any error the next replica is tried at once.
                if self.follow(replica, stream).await.is_ok() {
                    return;
                }
                untried.retain(|candidate| *candidate != replica);
            }
            sleep(RETRY_PAUSE_MILLIS.duration()).await;
        }
    }

    /// Returns the replicas to try: this VM's first, then the others in random
    /// order.
    fn candidates(&self) -> Vec<Ipv4Addr> {
        let mut contacts = self.group.contacts();
        contacts.shuffle(&mut rand::rng());
        contacts.sort_by_key(|contact| *contact != self.own_address);
        contacts
    }

    /// Watches a replica until it fails or is no longer caught up; succeeds when
    /// `updates` is closed.
    async fn follow(&mut self, replica: Ipv4Addr, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let reply = match self.poll(&mut stream).await {
                Ok(reply) => reply,
                Err(error) => {
                    // If the queue is full, the next loss is reported instead.
                    let cause = error.kind();
                    let _ = self.updates.try_send(WatchUpdate::Lost { replica, cause });
                    return Err(error);
                }
            };
            if let Some(routes) = &reply.routes {
                self.routes_version = Some(routes.version);
            }
            if let Some(targets) = &reply.targets {
                self.position = targets.position;
                self.settled = targets.settled;
            }
            let caught_up = reply.caught_up;
            let reply = Box::new(reply);
            let update = WatchUpdate::Reply { replica, reply };
            if self.updates.send(update).await.is_err() {
                return Ok(());
            }
            if !caught_up {
                return Err(io::ErrorKind::NotConnected.into());
            }
            let pause = if self.settled {
                MIN_POLL_SPACING_MILLIS
            } else {
                RETRY_PAUSE_MILLIS
            };
            sleep(pause.duration()).await;
        }
    }

    async fn poll(&self, stream: &mut TcpStream) -> io::Result<WatchReply> {
        let poll = WatchPoll {
            watcher: self.own_address,
            routes: self
                .routes_version
                .map_or(WantedRoutes::Any, WantedRoutes::Above),
            position: self.position,
        };
        write_poll(stream, &poll, REPLY_TIMEOUT_MILLIS.duration()).await?;
        read_reply(stream, REPLY_TIMEOUT_MILLIS.duration()).await
    }
}

/// Connects to the watch port of the first replica that answers; `None` if none does, or
/// if the members of the group changed meanwhile.
pub(super) async fn connect_any(
    group: &GroupView,
    port: u16,
    replicas: &[Ipv4Addr],
) -> Option<(Ipv4Addr, TcpStream)> {
    let mut attempts = JoinSet::new();
    let mut delay = SpanMillis::ZERO;
    for replica in replicas.iter().copied() {
        let address = SocketAddrV4::new(replica, port);
        attempts.spawn(async move {
            sleep(delay.duration()).await;
            let connect = TcpStream::connect(address);
            let stream = timeout(CONNECT_TIMEOUT_MILLIS.duration(), connect).await;
            Some((replica, stream.ok()?.ok()?))
        });
        delay = delay.saturating_add(CONNECT_STAGGER_MILLIS);
    }
    loop {
        tokio::select! {
            attempt = attempts.join_next() => {
                if let Ok(Some(connected)) = attempt? {
                    return Some(connected);
                }
            }
            // The new members are tried instead.
            () = group.members_changed() => return None,
        }
    }
}
