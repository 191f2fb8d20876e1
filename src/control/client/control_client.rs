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
    ControlClientError, FailoverPlan, FailoverStep, ReplicaCallError, ReplicaClient,
    replica_client::EncodedCall,
};
use crate::{
    clock::{ProcessClock, SpanMillis},
    control::api::{
        AnnounceReply, AnnounceRequest, ApplyReply, ApplyRequest, CallName, ControlDump,
        ControlStatus, FeedReply, HeartbeatReply, HeartbeatRequest, StatusRequest, WatchRequest,
        WithdrawRequest,
    },
    key::FeedRevision,
    secret::SecretStore,
};

/// The timeout of one attempt at one replica, without the wait of a watch call.
const ATTEMPT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The timeout of a call with all its attempts.
const CALL_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(6_000);
/// The timeout of one attempt of `apply`; manifests can be large.
const APPLY_ATTEMPT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// The timeout of `apply` with all its attempts.
const APPLY_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(15_000);
/// The maximum number of replica clients; at the limit all are dropped.
const MAX_REPLICA_CLIENTS: usize = 64;

/// A client of the control group; clones share their connections.
///
/// Each call has a deadline and fails over from a replica that does not answer
/// or refuses. Later calls start at the replica that answered last.
#[derive(Debug, Clone)]
pub struct ControlClient {
    shared: Arc<ClientShared>,
}

#[derive(Debug)]
struct ClientShared {
    addresses: Vec<SocketAddrV4>,
    secret: SecretStore,
    clock: ProcessClock,
    clients: Mutex<HashMap<SocketAddrV4, Arc<ReplicaClient>>>,
    leader: Mutex<Option<SocketAddrV4>>,
    leader_start: AtomicUsize,
    any_start: AtomicUsize,
}

/// The timeouts of one attempt and of a call with all its attempts.
#[derive(Debug, Clone, Copy)]
struct CallTimeouts {
    attempt: SpanMillis,
    total: SpanMillis,
}

/// Which replicas can answer a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicaChoice {
    /// Only the leader, which makes all changes.
    Leader,
    /// Any replica whose state is current.
    AnyCurrent,
}

impl ControlClient {
    /// Creates a client of the replicas at `addresses` without connecting.
    ///
    /// Reads start at a random replica to spread many clients over the group.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddrV4>, secret: SecretStore) -> Self {
        Self {
            shared: Arc::new(ClientShared {
                any_start: AtomicUsize::new(usize::from(rand::random::<u16>())),
                leader_start: AtomicUsize::new(0),
                leader: Mutex::new(None),
                clients: Mutex::new(HashMap::new()),
                clock: ProcessClock::new(),
                addresses,
                secret,
            }),
        }
    }

    /// Returns the configured replicas.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.shared.addresses
    }

    /// Registers a target, or changes its phase or weight.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is unreachable, or its reply is lost.
    pub async fn announce(
        &self,
        request: &AnnounceRequest,
    ) -> Result<AnnounceReply, ControlClientError> {
        self.call_leader(CallName::Announce, request).await
    }

    /// Deregisters a target; returns the first revision without it.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is unreachable, or its reply is lost.
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
    /// Fails when the group refuses, is unreachable, or its reply is lost.
    pub async fn heartbeat(
        &self,
        request: &HeartbeatRequest,
    ) -> Result<HeartbeatReply, ControlClientError> {
        self.call_leader(CallName::Heartbeat, request).await
    }

    /// Submits a manifest.
    ///
    /// # Errors
    ///
    /// Fails when the group refuses, is unreachable, or its reply is lost;
    /// after a lost reply the same manifest can be submitted again.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReply, ControlClientError> {
        let timeouts = CallTimeouts {
            attempt: APPLY_ATTEMPT_TIMEOUT_MILLIS,
            total: APPLY_TIMEOUT_MILLIS,
        };
        self.call(ReplicaChoice::Leader, CallName::Apply, request, timeouts)
            .await
    }

    /// Returns the changes after a revision, waiting for them as long as requested.
    ///
    /// # Errors
    ///
    /// Fails when no current replica is reachable.
    pub async fn watch(&self, request: &WatchRequest) -> Result<FeedReply, ControlClientError> {
        let timeouts = CallTimeouts {
            attempt: SpanMillis::new(request.wait.millis() + ATTEMPT_TIMEOUT_MILLIS.millis()),
            total: SpanMillis::new(request.wait.millis() * 2 + CALL_TIMEOUT_MILLIS.millis()),
        };
        self.call(
            ReplicaChoice::AnyCurrent,
            CallName::Watch,
            request,
            timeouts,
        )
        .await
    }

    /// Returns the group's status from any current replica.
    ///
    /// # Errors
    ///
    /// Fails when no current replica is reachable.
    pub async fn status(&self) -> Result<ControlStatus, ControlClientError> {
        let timeouts = default_timeouts();
        let request = StatusRequest {};
        self.call(
            ReplicaChoice::AnyCurrent,
            CallName::Status,
            &request,
            timeouts,
        )
        .await
    }

    /// Returns the status from the replica at `address`, with the watchers of its feed.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not answer or is not current.
    pub async fn status_at(
        &self,
        address: SocketAddrV4,
    ) -> Result<ControlStatus, ReplicaCallError> {
        self.call_replica(address, CallName::Status).await
    }

    /// Returns the state of the replica at `address`.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not answer.
    pub async fn dump_at(&self, address: SocketAddrV4) -> Result<ControlDump, ReplicaCallError> {
        self.call_replica(address, CallName::Dump).await
    }

    async fn call_replica<R: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        name: CallName,
    ) -> Result<R, ReplicaCallError> {
        let call = EncodedCall::new(name, &StatusRequest {})?;
        self.attempt(address, &call, ATTEMPT_TIMEOUT_MILLIS).await
    }

    async fn call_leader<Q: Serialize, R: DeserializeOwned>(
        &self,
        name: CallName,
        request: &Q,
    ) -> Result<R, ControlClientError> {
        self.call(ReplicaChoice::Leader, name, request, default_timeouts())
            .await
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        choice: ReplicaChoice,
        name: CallName,
        request: &Q,
        timeouts: CallTimeouts,
    ) -> Result<R, ControlClientError> {
        let unreachable = |last| ControlClientError::Unreachable { attempts: 0, last };
        let call = EncodedCall::new(name, request).map_err(unreachable)?;
        if self.shared.addresses.is_empty() {
            return Err(unreachable(ReplicaCallError::NoConnection));
        }
        let deadline = self.shared.clock.now().after(timeouts.total);
        let start_index = self.start_index(choice).load(Ordering::Relaxed);
        let mut plan = FailoverPlan::new(&self.shared.addresses, start_index, deadline);
        let mut address = match (choice, self.known_leader()) {
            (ReplicaChoice::Leader, Some(leader)) => leader,
            _ => plan.next_address(),
        };
        loop {
            let remaining = deadline.since(self.shared.clock.now());
            let attempt_timeout = timeouts.attempt.min(remaining);
            let error = match self.attempt(address, &call, attempt_timeout).await {
                Ok(reply) => {
                    self.record_success(choice, address);
                    return Ok(reply);
                }
                Err(error) => error,
            };
            if choice == ReplicaChoice::Leader {
                self.forget_leader(address);
            }
            let now = self.shared.clock.now();
            let step = plan.record_error(error, now, &mut rand::rng());
            match step {
                FailoverStep::Retry {
                    address: next,
                    pause,
                } => {
                    // Later calls skip the failed replica too.
                    self.set_start(choice, next);
                    tokio::time::sleep(pause.duration()).await;
                    address = next;
                }
                FailoverStep::Fail(error) => return Err(error),
            }
        }
    }

    async fn attempt<R: DeserializeOwned>(
        &self,
        address: SocketAddrV4,
        call: &EncodedCall,
        attempt_timeout: SpanMillis,
    ) -> Result<R, ReplicaCallError> {
        let client = self.client(address)?;
        let reply = client.call(call, attempt_timeout).await;
        if matches!(reply, Err(ReplicaCallError::NoAnswer)) {
            // The idle connections to this replica may be dead as well.
            self.discard_client(address, &client);
        }
        reply
    }

    fn client(&self, address: SocketAddrV4) -> Result<Arc<ReplicaClient>, ReplicaCallError> {
        let mut clients = lock(&self.shared.clients);
        if let Some(client) = clients.get(&address) {
            return Ok(Arc::clone(client));
        }
        if clients.len() >= MAX_REPLICA_CLIENTS {
            clients.clear();
        }
        let client = Arc::new(ReplicaClient::new(address, self.shared.secret.clone())?);
        clients.insert(address, Arc::clone(&client));
        Ok(client)
    }

    fn discard_client(&self, address: SocketAddrV4, client: &Arc<ReplicaClient>) {
        let mut clients = lock(&self.shared.clients);
        if clients
            .get(&address)
            .is_some_and(|current| Arc::ptr_eq(current, client))
        {
            clients.remove(&address);
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

    fn record_success(&self, choice: ReplicaChoice, address: SocketAddrV4) {
        if choice == ReplicaChoice::Leader {
            *lock(&self.shared.leader) = Some(address);
        }
        self.set_start(choice, address);
    }

    fn set_start(&self, choice: ReplicaChoice, address: SocketAddrV4) {
        let addresses = &self.shared.addresses;
        if let Some(index) = addresses.iter().position(|listed| *listed == address) {
            self.start_index(choice).store(index, Ordering::Relaxed);
        }
    }

    fn start_index(&self, choice: ReplicaChoice) -> &AtomicUsize {
        match choice {
            ReplicaChoice::Leader => &self.shared.leader_start,
            ReplicaChoice::AnyCurrent => &self.shared.any_start,
        }
    }
}

const fn default_timeouts() -> CallTimeouts {
    CallTimeouts {
        attempt: ATTEMPT_TIMEOUT_MILLIS,
        total: CALL_TIMEOUT_MILLIS,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
