use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use serde::{Serialize, de::DeserializeOwned};

use super::{
    CallPlan, ControlClientError, LinkFault, PlanStep, ReplicaLink, replica_link::EncodedCall,
};
use crate::{
    clock::{ProcessClock, SpanMillis},
    control::api::{
        AnnounceReceipt, AnnounceRequest, ApplyReceipt, ApplyRequest, CallName, ControlDump,
        ControlStatus, FeedReply, HeartbeatReceipt, HeartbeatRequest, StatusRequest, WatchRequest,
        WithdrawRequest,
    },
    key::FeedRevision,
    secret::SecretStore,
};

/// The time for one attempt at one replica, apart from a watcher's wait.
const ATTEMPT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The time for a whole call with all its attempts.
const CALL_MILLIS: SpanMillis = SpanMillis::new(6_000);
/// The time for one attempt to hand over a manifest, which may be long.
const APPLY_ATTEMPT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// The time for handing over a manifest with all its attempts.
const APPLY_MILLIS: SpanMillis = SpanMillis::new(15_000);
/// The links to replicas that are kept at once.
const MOST_LINKS: usize = 64;

/// Calls the control group; clones share their connections.
///
/// Each call has a deadline. A replica that is silent or refuses is left for
/// another one, and later calls start at the replica that answered last.
#[derive(Debug, Clone)]
pub struct ControlClient {
    shared: Arc<ClientShared>,
}

#[derive(Debug)]
struct ClientShared {
    addresses: Vec<SocketAddrV4>,
    secret: SecretStore,
    clock: ProcessClock,
    links: Mutex<HashMap<SocketAddrV4, Arc<ReplicaLink>>>,
    leader: Mutex<Option<SocketAddrV4>>,
    leader_start: AtomicUsize,
    reader_start: AtomicUsize,
}

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
struct CallLimits {
    attempt: SpanMillis,
    whole: SpanMillis,
}

/// Whom a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallAudience {
    /// The leader, which alone changes anything.
    Leader,
    /// Any replica that is current.
    Reader,
}

impl ControlClient {
    /// Prepares calls of the replicas at `addresses`; nothing is sent yet.
    ///
    /// Readers start at a random replica, so that many of them spread out.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddrV4>, secret: SecretStore) -> Self {
        Self {
            shared: Arc::new(ClientShared {
                reader_start: AtomicUsize::new(usize::from(rand::random::<u16>())),
                leader_start: AtomicUsize::new(0),
                leader: Mutex::new(None),
                links: Mutex::new(HashMap::new()),
                clock: ProcessClock::new(),
                addresses,
                secret,
            }),
        }
    }

    /// Returns the replicas that this client was given.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.shared.addresses
    }

    /// Registers a target, or changes its phase or weight.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is not reached, or its answer is lost.
    pub async fn announce(
        &self,
        request: &AnnounceRequest,
    ) -> Result<AnnounceReceipt, ControlClientError> {
        self.call_leader(CallName::Announce, request).await
    }

    /// Takes a target out for good; returns the revision from which it is gone.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is not reached, or its answer is lost.
    pub async fn withdraw(
        &self,
        request: &WithdrawRequest,
    ) -> Result<FeedRevision, ControlClientError> {
        self.call_leader(CallName::Withdraw, request).await
    }

    /// Renews the lease of a registration.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is not reached, or its answer is lost.
    pub async fn heartbeat(
        &self,
        request: &HeartbeatRequest,
    ) -> Result<HeartbeatReceipt, ControlClientError> {
        self.call_leader(CallName::Heartbeat, request).await
    }

    /// Hands over a manifest.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is not reached, or its answer is lost;
    /// after a lost answer the same manifest can be handed over again.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReceipt, ControlClientError> {
        let limits = CallLimits {
            attempt: APPLY_ATTEMPT_MILLIS,
            whole: APPLY_MILLIS,
        };
        self.call(CallAudience::Leader, CallName::Apply, request, limits)
            .await
    }

    /// Asks for what came after a revision; the answer may wait as requested.
    ///
    /// # Errors
    ///
    /// Fails when no replica that is current is reached.
    pub async fn watch(&self, request: &WatchRequest) -> Result<FeedReply, ControlClientError> {
        let limits = CallLimits {
            attempt: SpanMillis::new(request.wait.millis() + ATTEMPT_MILLIS.millis()),
            whole: SpanMillis::new(request.wait.millis() * 2 + CALL_MILLIS.millis()),
        };
        self.call(CallAudience::Reader, CallName::Watch, request, limits)
            .await
    }

    /// Asks how the group does, at any replica that is current.
    ///
    /// # Errors
    ///
    /// Fails when no such replica is reached.
    pub async fn status(&self) -> Result<ControlStatus, ControlClientError> {
        let limits = usual_limits();
        let request = StatusRequest {};
        self.call(CallAudience::Reader, CallName::Status, &request, limits)
            .await
    }

    /// Asks the one replica at `address` how it does, and who watches it.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not answer, or is not current.
    pub async fn status_at(&self, address: SocketAddrV4) -> Result<ControlStatus, LinkFault> {
        self.ask_at(address, CallName::Status).await
    }

    /// Asks the one replica at `address` for its state.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not answer.
    pub async fn dump_at(&self, address: SocketAddrV4) -> Result<ControlDump, LinkFault> {
        self.ask_at(address, CallName::Dump).await
    }

    async fn ask_at<R: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        name: CallName,
    ) -> Result<R, LinkFault> {
        let call = EncodedCall::new(name, &StatusRequest {})?;
        self.attempt(address, &call, ATTEMPT_MILLIS).await
    }

    async fn call_leader<Q: Serialize, R: DeserializeOwned>(
        &self,
        name: CallName,
        request: &Q,
    ) -> Result<R, ControlClientError> {
        self.call(CallAudience::Leader, name, request, usual_limits())
            .await
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        audience: CallAudience,
        name: CallName,
        request: &Q,
        limits: CallLimits,
    ) -> Result<R, ControlClientError> {
        let unreachable = |last| ControlClientError::Unreachable { attempts: 0, last };
        let call = EncodedCall::new(name, request).map_err(unreachable)?;
        if self.shared.addresses.is_empty() {
            return Err(unreachable(LinkFault::NoConnection));
        }
        let deadline = self.shared.clock.now().after(limits.whole);
        let start = self.start(audience).load(Ordering::Relaxed);
        let mut plan = CallPlan::new(&self.shared.addresses, start, deadline);
        let mut address = match (audience, self.known_leader()) {
            (CallAudience::Leader, Some(leader)) => leader,
            _ => plan.take_next(),
        };
        loop {
            let left = deadline.since(self.shared.clock.now());
            let limit = limits.attempt.min(left);
            let fault = match self.attempt(address, &call, limit).await {
                Ok(reply) => {
                    self.remember(audience, address);
                    return Ok(reply);
                }
                Err(fault) => fault,
            };
            if audience == CallAudience::Leader {
                self.forget_leader(address);
            }
            let now = self.shared.clock.now();
            let step = plan.record(fault, now, &mut rand::rng());
            match step {
                PlanStep::Retry {
                    address: next,
                    pause,
                } => {
                    // Later calls leave the failed replica aside as well.
                    self.start_at(audience, next);
                    tokio::time::sleep(pause.duration()).await;
                    address = next;
                }
                PlanStep::Fail(error) => return Err(error),
            }
        }
    }

    async fn attempt<R: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        call: &EncodedCall,
        limit: SpanMillis,
    ) -> Result<R, LinkFault> {
        let link = self.link(address)?;
        let reply = link.call(call, limit).await;
        if matches!(reply, Err(LinkFault::NoAnswer)) {
            // Its idle connections may be as silent as this one.
            self.drop_link(address, &link);
        }
        reply
    }

    fn link(&self, address: SocketAddrV4) -> Result<Arc<ReplicaLink>, LinkFault> {
        let mut links = lock(&self.shared.links);
        if let Some(link) = links.get(&address) {
            return Ok(Arc::clone(link));
        }
        if links.len() >= MOST_LINKS {
            links.clear();
        }
        let link = Arc::new(ReplicaLink::new(address, self.shared.secret.clone())?);
        links.insert(address, Arc::clone(&link));
        Ok(link)
    }

    fn drop_link(&self, address: SocketAddrV4, link: &Arc<ReplicaLink>) {
        let mut links = lock(&self.shared.links);
        if links
            .get(&address)
            .is_some_and(|held| Arc::ptr_eq(held, link))
        {
            links.remove(&address);
        }
    }

    pub(super) fn known_leader(&self) -> Option<SocketAddrV4> {
        *lock(&self.shared.leader)
    }

    fn forget_leader(&self, address: SocketAddrV4) {
        let mut leader = lock(&self.shared.leader);
        if *leader == Some(address) {
            *leader = None;
        }
    }

    fn remember(&self, audience: CallAudience, address: SocketAddrV4) {
        if audience == CallAudience::Leader {
            *lock(&self.shared.leader) = Some(address);
        }
        self.start_at(audience, address);
    }

    fn start_at(&self, audience: CallAudience, address: SocketAddrV4) {
        let addresses = &self.shared.addresses;
        if let Some(index) = addresses.iter().position(|known| *known == address) {
            self.start(audience).store(index, Ordering::Relaxed);
        }
    }

    fn start(&self, audience: CallAudience) -> &AtomicUsize {
        match audience {
            CallAudience::Leader => &self.shared.leader_start,
            CallAudience::Reader => &self.shared.reader_start,
        }
    }
}

const fn usual_limits() -> CallLimits {
    CallLimits {
        attempt: ATTEMPT_MILLIS,
        whole: CALL_MILLIS,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
