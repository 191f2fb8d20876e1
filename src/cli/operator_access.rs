use std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
    str::FromStr,
};

use super::{CliError, OperatorSettings, UsageFault};
use crate::{
    secret::{DeploymentSecret, SecretStore},
    settings::load_settings,
};

/// How a command reaches the deployment: options first, then the settings.
#[derive(Debug, Clone, Default)]
pub(crate) struct OperatorAccess {
    control: Vec<SocketAddrV4>,
    secret: Option<PathBuf>,
}

impl OperatorAccess {
    /// Reads the settings file, if one is named.
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

    /// Lets an option go before the settings.
    pub(crate) fn with_secret(mut self, secret: Option<&Path>) -> Self {
        if let Some(path) = secret {
            self.secret = Some(path.to_owned());
        }
        self
    }

    /// Lets an option go before the settings.
    pub(crate) fn with_control(mut self, control: Option<&AddressList>) -> Self {
        if let Some(list) = control {
            self.control.clone_from(&list.0);
        }
        self
    }

    /// Returns the control replicas' addresses, at least one.
    pub(crate) fn control(&self) -> Result<&[SocketAddrV4], UsageFault> {
        if self.control.is_empty() {
            return Err(UsageFault::Missing {
                name: "--control ADDR,... or `control` in --settings",
            });
        }
        Ok(&self.control)
    }

    /// Returns the keys of the deployment secret.
    pub(crate) fn secret(&self) -> Result<SecretStore, CliError> {
        let path = self.secret.as_ref().ok_or(UsageFault::Missing {
            name: "--secret FILE or `secret` in --settings",
        })?;
        let secret = DeploymentSecret::load(path)?;
        Ok(SecretStore::new(&secret)?)
    }
}

/// Addresses that are separated by commas on a command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AddressList(Vec<SocketAddrV4>);

impl FromStr for AddressList {
    type Err = UsageFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',')
            .map(|part| parse_address("--control", part.trim()))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// Reads an address with a port; `name` is the argument's name for the error.
pub(crate) fn parse_address(name: &'static str, text: &str) -> Result<SocketAddrV4, UsageFault> {
    text.parse().map_err(|_| UsageFault::BadValue {
        name,
        value: text.to_owned(),
        allowed: "an IPv4 address and port, such as 192.0.2.1:7100",
    })
}
