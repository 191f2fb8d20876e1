use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
    str::FromStr,
};

use super::{CliError, OperatorSettings, UsageError};
use crate::{
    secret::{DeploymentSecret, SecretStore},
    settings::load_settings,
};

/// The control addresses and secret file that a command uses.
///
/// Command-line options override the operator's settings.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorAccess {
    control: Vec<SocketAddrV4>,
    secret: Option<PathBuf>,
}

impl OperatorAccess {
    /// Loads the settings file, if one is given.
    pub(crate) fn new(settings: Option<&Path>) -> Result<Self, CliError> {
        let settings: OperatorSettings = match settings {
            Some(path) => load_settings(path)?,
            None => OperatorSettings::default(),
        };
        Ok(Self {
            control: settings.control,
            secret: settings.secret,
        })
    }

    /// Overrides the secret file of the settings, if an option gives one.
    pub(crate) fn with_secret(mut self, secret: Option<&Path>) -> Self {
        if let Some(path) = secret {
            self.secret = Some(path.to_owned());
        }
        self
    }

    /// Overrides the control addresses of the settings, if an option gives some.
    pub(crate) fn with_control(mut self, control: Option<&AddressList>) -> Self {
        if let Some(list) = control {
            self.control.clone_from(&list.0);
        }
        self
    }

    /// Returns the call addresses of the control replicas; fails when there are none.
    pub(crate) fn control(&self) -> Result<&[SocketAddrV4], UsageError> {
        if self.control.is_empty() {
            return Err(UsageError::Missing {
                name: "--control ADDR,... or `control` in --settings",
            });
        }
        Ok(&self.control)
    }

    /// Loads the deployment secret; fails when no file is given or it is invalid.
    pub(crate) fn secret(&self) -> Result<SecretStore, CliError> {
        let path = self.secret.as_ref().ok_or(UsageError::Missing {
            name: "--secret FILE or `secret` in --settings",
        })?;
        let secret = DeploymentSecret::load(path)?;
        Ok(SecretStore::new(&secret)?)
    }
}

/// A comma-separated list of addresses from the option `--control`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AddressList(Vec<SocketAddrV4>);

impl FromStr for AddressList {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',')
            .map(|part| parse_address("--control", part.trim()))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// Parses an IPv4 address with a port; `name` is the argument named in the error.
pub(crate) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddrV4, UsageError> {
    text.parse().map_err(|_| UsageError::BadValue {
        name,
        value: text.to_owned(),
        allowed: "an IPv4 address and port, such as 192.0.2.1:7100",
    })
}
