use crate::event::event_codes;

event_codes! {
    /// Events of reading settings, secrets and certificates.
    pub(crate) enum SettingsEvent {
        SecretReloaded = 9001 => "deployment secret reloaded",
        SecretRefused = 9002 => "changed deployment secret refused; the old one stays in force",
        CertificateReloaded = 9003 => "certificate reloaded",
        CertificateRefused = 9004 => "changed certificate refused; the old one stays in force",
    }
}
