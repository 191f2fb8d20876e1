use std::{io, process};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use super::ProgramEvent;
use crate::event::log_event;

/// The exit code of a process that left before its work was in order.
const FORCED_EXIT: i32 = 1;

/// Tells the parts of a process that it is to stop in order.
///
/// Clones see the same stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    stopped: watch::Receiver<bool>,
}

/// Asks for the stop that a [`StopSignal`] tells of.
#[derive(Debug, Clone)]
pub struct StopTrigger {
    stopped: watch::Sender<bool>,
}

impl StopTrigger {
    /// Asks for an orderly stop; asking again changes nothing.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }
}

impl StopSignal {
    /// Creates a stop that only the trigger asks for.
    #[must_use]
    pub fn new() -> (Self, StopTrigger) {
        let (sender, receiver) = watch::channel(false);
        let signal = Self { stopped: receiver };
        (signal, StopTrigger { stopped: sender })
    }

    /// Creates a stop that SIGTERM or SIGINT asks for.
    ///
    /// The second of them ends the process at once. It must be called within
    /// the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the signals can't be caught.
    pub fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let (stop, trigger) = Self::new();
        tokio::spawn(follow_signals(terminate, interrupt, trigger));
        Ok(stop)
    }

    /// Returns whether the stop was asked for.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    /// Returns once the stop is asked for; never when the trigger is gone.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.clone();
        if stopped.wait_for(|stopped| *stopped).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn follow_signals(mut terminate: Signal, mut interrupt: Signal, trigger: StopTrigger) {
    next_signal(&mut terminate, &mut interrupt).await;
    log_event!(info, ProgramEvent::StopRequested);
    trigger.stop();
    next_signal(&mut terminate, &mut interrupt).await;
    log_event!(warn, ProgramEvent::StopForced);
    process::exit(FORCED_EXIT);
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
