use std::{io, net::Ipv4Addr};

use tokio::{net::TcpStream, time::sleep};

use super::{
    FleetEvent,
    group_view::GroupView,
    watch_client::{REPLY_TIMEOUT_MILLIS, connect_any},
    watch_frame::{WantedRoutes, WatchPoll, read_reply, write_poll},
    watch_server::SharedDirectory,
};
use crate::{
    clock::{ProcessClock, SpanMillis},
    directory::{DirectoryPosition, DirectoryUpdate},
    event::log_event,
};

/// The first pause before the other replicas are asked again, of which none had settled.
/// Each next one is twice as long: after a restart of all, whole directories of hundreds of
/// agents would fill a thin link.
const RETRY_PAUSE_MILLIS: SpanMillis = SpanMillis::new(200);

/// Copies the directory of another replica into that of a replica that has just started.
///
/// The file of running processes may be older than some agents, and until these announce
/// themselves again, balancers would take their flows for held by no target.
#[derive(Debug)]
pub(super) struct DirectoryCopy {
    own_address: Ipv4Addr,
    port: u16,
    group: GroupView,
    directory: SharedDirectory,
    clock: ProcessClock,
}

impl DirectoryCopy {
    /// Creates the copy of a replica's directory from one whose watch server listens at
    /// `port`.
    pub(super) fn new(
        own_address: Ipv4Addr,
        port: u16,
        group: GroupView,
        directory: SharedDirectory,
        clock: ProcessClock,
    ) -> Self {
        Self {
            own_address,
            port,
            group,
            directory,
            clock,
        }
    }

    /// Asks one replica after the other until the directory has settled.
    pub(super) async fn run(self) {
        let mut pause = RETRY_PAUSE_MILLIS;
        loop {
            let mut untried = self.group.contacts();
            untried.retain(|contact| *contact != self.own_address);
            while let Some((replica, stream)) = connect_any(&self.group, self.port, &untried).await
            {
                // A replica that fails is as good as one that has not settled.
                if let Ok(Some(update)) = self.fetch(stream).await
                    && self.copy(update, replica)
                {
                    return;
                }
                untried.retain(|contact| *contact != replica);
            }
            sleep(pause.duration()).await;
            pause = pause.saturating_mul(2);
            let now = self.clock.now();
            if self.directory.with_directory(|known| known.is_settled(now)) {
                return;
            }
        }
    }

    async fn fetch(&self, mut stream: TcpStream) -> io::Result<Option<DirectoryUpdate>> {
        stream.set_nodelay(true)?;
        let poll = WatchPoll {
            watcher: self.own_address,
            // The routes come from the log.
            routes: WantedRoutes::None,
            position: DirectoryPosition::default(),
        };
        write_poll(&mut stream, &poll, REPLY_TIMEOUT_MILLIS.duration()).await?;
        let reply = read_reply(&mut stream, REPLY_TIMEOUT_MILLIS.duration()).await?;
        // A replica that hears no leader may not hear the agents either.
        Ok(reply.targets.filter(|_| reply.caught_up))
    }

    fn copy(&self, update: DirectoryUpdate, replica: Ipv4Addr) -> bool {
        let now = self.clock.now();
        let agents = update.records.len();
        let mut copied = false;
        self.directory.update(|directory| {
            copied = directory.copy_settled(update, now);
            copied
        });
        if copied {
            log_event!(info, FleetEvent::DirectoryCopied, %replica, agents);
        }
        copied
    }
}
