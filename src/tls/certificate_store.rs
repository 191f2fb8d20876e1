use std::{io, sync::Arc};

use arc_swap::ArcSwap;
use rustls::{
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{CertificateFiles, TlsError};
use crate::{clock::SpanMillis, event::log_event, settings::SettingsEvent};

/// How often the files' times of change are looked at.
const POLL_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The certificate in force; changed files replace it without a restart.
///
/// Handshakes after the change present the new certificate, open connections
/// go on.
#[derive(Debug, Clone)]
pub struct CertificateStore {
    files: CertificateFiles,
    current: Arc<ArcSwap<CertifiedKey>>,
}

impl CertificateStore {
    /// Reads the files, without watching them.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable.
    pub fn new(files: CertificateFiles) -> Result<Self, TlsError> {
        let current = Arc::new(ArcSwap::from_pointee(files.load()?));
        Ok(Self { files, current })
    }

    /// Reads the files and reloads them on change and on SIGHUP.
    ///
    /// It must be called within the runtime. Changed files that are unusable
    /// are logged, and the certificate in force stays.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable at the start.
    pub fn open(files: CertificateFiles) -> Result<Self, TlsError> {
        let store = Self::new(files)?;
        let watched = store.clone();
        tokio::spawn(async move { watched.watch_files().await });
        Ok(store)
    }

    /// Reads the files again and puts them in force.
    ///
    /// # Errors
    ///
    /// Fails when the files are unusable; the certificate in force stays.
    pub fn reload(&self) -> Result<(), TlsError> {
        self.current.store(Arc::new(self.files.load()?));
        Ok(())
    }

    /// Returns the certificate that the next handshake presents.
    #[must_use]
    pub fn current(&self) -> Arc<CertifiedKey> {
        self.current.load_full()
    }

    async fn watch_files(self) {
        let mut hangup = signal(SignalKind::hangup());
        let mut seen = self.files.changed_at();
        loop {
            let asked = wait_for_hangup(&mut hangup).await;
            let found = self.files.changed_at();
            if !asked && found == seen {
                continue;
            }
            seen = found;
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

/// Waits for SIGHUP or the next look at the files; returns true for SIGHUP.
async fn wait_for_hangup(hangup: &mut io::Result<Signal>) -> bool {
    let pause = tokio::time::sleep(POLL_MILLIS.duration());
    let Ok(signal) = hangup else {
        pause.await;
        return false;
    };
    tokio::select! {
        Some(()) = signal.recv() => true,
        () = pause => false,
    }
}
