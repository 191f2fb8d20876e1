use std::{
    fmt, io,
    path::{Path, PathBuf},
    str::FromStr,
};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    cli::{CliError, OutputFormat, UsageError},
    program::ExitStatus,
    secret::DeploymentSecret,
    settings::write_private_file,
};

/// The epoch of a deployment's first secret.
const FIRST_EPOCH: u8 = 1;

/// The options of `cyclamen secret`.
#[derive(Debug, Options)]
pub(crate) struct SecretOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The rotation step to take.
    #[options(
        no_short,
        meta = "STEP",
        help = "the step of `rotate`: add, activate or retire"
    )]
    step: Option<RotationStep>,
    /// The action, `new` or `rotate`, and the secret file.
    #[options(free, help = "new FILE, or rotate FILE --step STEP")]
    arguments: Vec<String>,
}

/// One step of a rotation.
///
/// The file must reach every process before the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RotationStep {
    /// Adds the next epoch, which is accepted but not used yet.
    Add,
    /// Makes the added epoch active; the old one is still accepted.
    Activate,
    /// Removes the old epoch.
    Retire,
}

impl FromStr for RotationStep {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "add" => Ok(Self::Add),
            "activate" => Ok(Self::Activate),
            "retire" => Ok(Self::Retire),
            _ => Err(UsageError::BadValue {
                name: "--step",
                value: text.to_owned(),
                allowed: "add, activate or retire",
            }),
        }
    }
}

/// The epochs in the secret file; never contains the secret itself.
#[derive(Debug, Serialize)]
struct SecretReport {
    file: PathBuf,
    active: u8,
    epochs: Vec<u8>,
}

impl SecretOptions {
    /// Creates a secret file or applies one rotation step to it.
    pub(crate) fn run(&self) -> Result<ExitStatus, CliError> {
        let (action, path) = self.action()?;
        let secret = match action {
            SecretAction::New => {
                ensure_absent(&path)?;
                DeploymentSecret::random(FIRST_EPOCH)
            }
            SecretAction::Rotate(step) => rotate(DeploymentSecret::load(&path)?, step)?,
        };
        let text = serde_json::to_string_pretty(&secret).unwrap_or_default();
        write_private_file(&path, &text).map_err(|cause| CliError::Unwritable {
            path: path.clone(),
            cause,
        })?;
        let report = SecretReport {
            file: path,
            active: secret.active,
            epochs: secret.epochs.iter().map(|epoch| epoch.epoch).collect(),
        };
        OutputFormat::from_flag(self.json).print(&report);
        Ok(ExitStatus::Success)
    }

    fn action(&self) -> Result<(SecretAction, PathBuf), UsageError> {
        let [action, path] = self.arguments.as_slice() else {
            return Err(UsageError::Missing {
                name: "`new FILE` or `rotate FILE`",
            });
        };
        let action = match (action.as_str(), self.step) {
            ("new", None) => SecretAction::New,
            ("rotate", Some(step)) => SecretAction::Rotate(step),
            ("rotate", None) => return Err(UsageError::Missing { name: "--step" }),
            _ => {
                return Err(UsageError::BadValue {
                    name: "the action",
                    value: action.clone(),
                    allowed: "`new` without --step, or `rotate` with it",
                });
            }
        };
        Ok((action, PathBuf::from(path)))
    }
}

/// The action on the secret file.
#[derive(Debug, Clone, Copy)]
enum SecretAction {
    New,
    Rotate(RotationStep),
}

/// Fails when the file exists.
///
/// Overwriting a secret in use would break authentication between the processes.
fn ensure_absent(path: &Path) -> Result<(), CliError> {
    if path.exists() {
        return Err(CliError::Unwritable {
            path: path.to_owned(),
            cause: io::ErrorKind::AlreadyExists.into(),
        });
    }
    Ok(())
}

fn rotate(secret: DeploymentSecret, step: RotationStep) -> Result<DeploymentSecret, CliError> {
    let rotated = match step {
        RotationStep::Add => secret.with_next_epoch()?,
        RotationStep::Activate => secret.with_next_epoch_active()?,
        RotationStep::Retire => secret.with_active_epoch_only()?,
    };
    Ok(rotated)
}

impl fmt::Display for SecretReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let epochs: Vec<String> = self.epochs.iter().map(u8::to_string).collect();
        write!(
            formatter,
            "{}: epochs {}, active {}",
            self.file.display(),
            epochs.join(" and "),
            self.active
        )
    }
}
