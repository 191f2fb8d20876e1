use std::{collections::BTreeMap, fmt, fs, net::SocketAddrV4, path::PathBuf, time::Duration};

use gumdrop::Options;
use serde::Serialize;

use crate::{
    caller::{CallRequest, CallResponse, CallerError, ServiceCaller},
    cli::{CliError, OutputFormat, UsageError},
    program::ExitStatus,
    tls::TrustedRoots,
};

/// The options of `cyclamen call`.
#[derive(Debug, Options)]
pub(crate) struct CallOptions {
    #[options(help = "print this text")]
    help: bool,
    /// Prints the report as JSON.
    #[options(no_short, help = "write the report as JSON")]
    pub(crate) json: bool,
    /// The service's address and port.
    #[options(no_short, meta = "IP:PORT", help = "the service's address")]
    service_address: Option<SocketAddrV4>,
    /// The service's name, used for SNI and as the authority.
    #[options(no_short, meta = "SERVICE", help = "the service's name")]
    name: Option<String>,
    /// A PEM file with the trusted root certificates.
    #[options(
        no_short,
        meta = "FILE",
        help = "trust the root certificates in this PEM file"
    )]
    ca: Option<PathBuf>,
    #[options(no_short, meta = "METHOD", default = "GET", help = "the HTTP method")]
    method: String,
    /// The path and query.
    #[options(no_short, meta = "PATH", default = "/", help = "the path and query")]
    path: String,
    /// The body, or `@FILE` to read it from a file.
    #[options(
        no_short,
        meta = "TEXT",
        help = "the body, or @FILE to read it from FILE"
    )]
    data: Option<String>,
    /// The ticket that is sent as `Idempotency-Key`.
    #[options(
        no_short,
        meta = "TICKET",
        help = "send this ticket as Idempotency-Key"
    )]
    ticket: Option<String>,
    /// The timeout in seconds.
    #[options(no_short, meta = "N", default = "30", help = "give up after N seconds")]
    timeout_seconds: u64,
}

/// The response of a service.
#[derive(Debug, Serialize)]
struct CallReport {
    status: u16,
    headers: BTreeMap<String, String>,
    body: String,
}

impl CallOptions {
    /// Sends the request and prints the response.
    pub(crate) async fn run(&self) -> Result<ExitStatus, CliError> {
        let request = self.request()?;
        let response = self.send(request);
        let response = tokio::time::timeout(Duration::from_secs(self.timeout_seconds), response)
            .await
            .map_err(|_| CliError::TimedOut {
                seconds: self.timeout_seconds,
            })??;
        let report = CallReport::new(&response);
        OutputFormat::from_flag(self.json).print(&report);
        Ok(if response.is_success() {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
        })
    }

    async fn send(&self, request: CallRequest) -> Result<CallResponse, CliError> {
        let address = self.service_address.ok_or(UsageError::Missing {
            name: "--service-address",
        })?;
        let name = self.name.as_deref();
        let name = name.ok_or(UsageError::Missing { name: "--name" })?;
        let ca = self.ca.as_ref();
        let ca = ca.ok_or(UsageError::Missing { name: "--ca" })?;
        let caller = ServiceCaller::connect(address, name, TrustedRoots::load(ca)?).await?;
        let response: Result<CallResponse, CallerError> = caller.send(request).await;
        caller.close().await;
        Ok(response?)
    }

    fn request(&self) -> Result<CallRequest, CliError> {
        let mut request = CallRequest::new(&self.method, &self.path);
        if let Some(ticket) = &self.ticket {
            request = request.with_ticket(ticket);
        }
        if let Some(data) = &self.data {
            request = request.with_body(load_body(data)?);
        }
        Ok(request)
    }
}

/// Returns the bytes of `data`, or for `@FILE` the content of that file.
fn load_body(data: &str) -> Result<Vec<u8>, CliError> {
    match data.strip_prefix('@') {
        Some(path) => fs::read(path).map_err(|cause| CliError::Unreadable {
            path: path.into(),
            cause,
        }),
        None => Ok(data.as_bytes().to_vec()),
    }
}

impl CallReport {
    fn new(response: &CallResponse) -> Self {
        let headers = response
            .headers
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes());
                (name.to_string(), value.into_owned())
            })
            .collect();
        Self {
            status: response.status,
            headers,
            body: String::from_utf8_lossy(&response.body).into_owned(),
        }
    }
}

impl fmt::Display for CallReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "status {}", self.status)?;
        for (name, value) in &self.headers {
            writeln!(formatter, "{name}: {value}")?;
        }
        write!(formatter, "\n{}", self.body)
    }
}
