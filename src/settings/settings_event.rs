use crate::event::event_codes;

event_codes! {
    /// Events of reloading secrets and certificates.
    pub(crate) enum SettingsEvent {
        SecretReloaded = 9001 => "deployment secret reloaded",
        SecretRefused = 9002 => "changed deployment secret rejected; keeping the current one",
        CertificateReloaded = 9003 => "certificate reloaded",
        CertificateRefused = 9004 => "changed certificate rejected; keeping the current one",
    }
}
