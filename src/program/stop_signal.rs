use std::{io, process};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use super::ProgramEvent;
use crate::event::log_event;

/// The exit code of a process that a second signal stops without a graceful
/// shutdown.
const FORCED_EXIT_CODE: i32 = 1;

/// Signals a graceful shutdown to the tasks of a process.
///
/// All clones share the same state.
#[derive(Debug, Clone)]
pub struct StopSignal {
    stopped: watch::Receiver<bool>,
}

/// Triggers its [`StopSignal`].
#[derive(Debug, Clone)]
pub struct StopTrigger {
    stopped: watch::Sender<bool>,
}

impl StopTrigger {
    /// Requests a graceful shutdown; further calls have no effect.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }
}

impl StopSignal {
    /// Creates a signal and the trigger that sets it.
    #[must_use]
    pub fn new() -> (Self, StopTrigger) {
        let (sender, receiver) = watch::channel(false);
        let signal = Self { stopped: receiver };
        (signal, StopTrigger { stopped: sender })
    }

    /// Creates a signal that SIGTERM or SIGINT triggers.
    ///
    /// A second SIGTERM or SIGINT exits the process immediately. Must be called
    /// within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the signal handlers can't be installed.
    pub fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let (stop, trigger) = Self::new();
        tokio::spawn(handle_signals(terminate, interrupt, trigger));
        Ok(stop)
    }

    /// Returns whether a stop was requested.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    /// Waits until a stop is requested; waits forever when the trigger was dropped
    /// without one.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn handle_signals(mut terminate: Signal, mut interrupt: Signal, trigger: StopTrigger) {
    wait_for_signal(&mut terminate, &mut interrupt).await;
    log_event!(info, ProgramEvent::StopRequested);
    trigger.stop();
    wait_for_signal(&mut terminate, &mut interrupt).await;
    log_event!(warn, ProgramEvent::StopForced);
    process::exit(FORCED_EXIT_CODE);
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
