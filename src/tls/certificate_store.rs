use std::{io, sync::Arc};

use arc_swap::ArcSwap;
use rustls::{
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{CertificateFiles, TlsError};
use crate::{clock::SpanMillis, event::log_event, settings::SettingsEvent};

/// How often the files' modification times are checked.
const POLL_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The current certificate, reloaded without a restart when its files change.
///
/// New handshakes use the new certificate; open connections are not affected.
#[derive(Debug, Clone)]
pub struct CertificateStore {
    files: CertificateFiles,
    current: Arc<ArcSwap<CertifiedKey>>,
}

impl CertificateStore {
    /// Reads the files and does not watch them.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable.
    pub fn new(files: CertificateFiles) -> Result<Self, TlsError> {
        let current = Arc::new(ArcSwap::from_pointee(files.load()?));
        Ok(Self { files, current })
    }

    /// Reads the files and reloads them when they change and on SIGHUP.
    ///
    /// Must be called within a Tokio runtime. When changed files are unusable,
    /// the error is logged and the current certificate is kept.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable on the first read.
    pub fn open(files: CertificateFiles) -> Result<Self, TlsError> {
        let store = Self::new(files)?;
        let watcher = store.clone();
        tokio::spawn(async move { watcher.watch_files().await });
        Ok(store)
    }

    /// Reads the files again and replaces the current certificate.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable; the current certificate is kept.
    pub fn reload(&self) -> Result<(), TlsError> {
        self.current.store(Arc::new(self.files.load()?));
        Ok(())
    }

    /// Returns the certificate that the next handshake uses.
    #[must_use]
    pub fn current(&self) -> Arc<CertifiedKey> {
        self.current.load_full()
    }

    async fn watch_files(self) {
        let mut hangup = signal(SignalKind::hangup());
        let mut last_modified = self.files.modified_at();
        loop {
            let is_hangup = wait_for_hangup_or_poll(&mut hangup).await;
            let modified = self.files.modified_at();
            if !is_hangup && modified == last_modified {
                continue;
            }
            last_modified = modified;
            match self.reload() {
                Ok(()) => log_event!(info, SettingsEvent::CertificateReloaded),
                Err(error) => log_event!(error, SettingsEvent::CertificateRefused, %error),
            }
        }
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}

/// Waits for SIGHUP or the next poll; returns whether it was SIGHUP.
async fn wait_for_hangup_or_poll(hangup: &mut io::Result<Signal>) -> bool {
    let poll = tokio::time::sleep(POLL_MILLIS.duration());
    let Ok(signal) = hangup else {
        poll.await;
        return false;
    };
    tokio::select! {
        Some(()) = signal.recv() => true,
        () = poll => false,
    }
}
