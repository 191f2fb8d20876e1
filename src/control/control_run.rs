use std::io;

use miette::Diagnostic;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use super::{
    ControlEvent, ControlSettings,
    feed::FeedState,
    replica_shell::{ReplicaShellError, ReplicatedState, start_replica},
    server::{ControlServer, ControlService, ServerError, write_listening},
    store::{ControlStore, StateHandle},
};
use crate::{
    admin::{AdminError, start_metrics},
    event::log_event,
    program::init_logging,
    secret::{SecretError, SecretStore},
};

/// Why `cyclamen-control` could not start, or stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum ControlError {
    /// The deployment secret is unusable.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Secret(#[from] SecretError),
    /// The server could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Server(#[from] ServerError),
    /// The data folder can't be written.
    #[error("cannot write to the data folder: {0}")]
    DataFolder(#[source] io::Error),
    /// The log replica could not start, or failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Replica(#[from] ReplicaShellError),
    /// The metrics listener could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] AdminError),
    /// The signal handler could not be installed.
    #[error("cannot listen for signals: {0}")]
    Signals(#[source] io::Error),
}

/// Runs a control replica until SIGTERM or Ctrl-C.
///
/// # Errors
///
/// Fails when the replica can't start, or when its log fails.
pub async fn run_control(settings: ControlSettings) -> Result<(), ControlError> {
    init_logging(settings.log_format);
    let mut terminate = signal(SignalKind::terminate()).map_err(ControlError::Signals)?;
    if let Some(address) = settings.metrics_listen {
        start_metrics(address)?;
    }
    let options = settings.replica_options();
    let secret = SecretStore::open(settings.secret_file)?;
    let (listener, address) = ControlServer::bind(settings.listen)?;
    let state = StateHandle::new(FeedState::new());
    let replica = start_replica(
        options,
        ReplicatedState::Registry(state.clone()),
        secret.clone(),
    )
    .await?;
    let store = ControlStore::Replicated {
        handle: replica.handle.clone(),
        state: state.clone(),
    };
    let service = ControlService::new(settings.name.clone(), address, state, store);
    let server = ControlServer::start(listener, service, secret)?;
    write_listening(&settings.data_folder, address).map_err(ControlError::DataFolder)?;
    log_event!(info, ControlEvent::Started, name = settings.name, %address);
    let failure = tokio::select! {
        _ = terminate.recv() => None,
        _ = tokio::signal::ctrl_c() => None,
        ended = replica.task => Some(ended.unwrap_or(ReplicaShellError::Ended)),
    };
    if failure.is_none() {
        replica.handle.prepare_stop().await;
    }
    server.stop().await;
    if let Some(error) = failure {
        // Without its log, the replica must not acknowledge anything.
        log_event!(error, ControlEvent::ReplicaFailed, %error);
        return Err(error.into());
    }
    log_event!(info, ControlEvent::Stopped);
    Ok(())
}
