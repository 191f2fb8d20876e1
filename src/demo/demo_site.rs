use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
};

use tokio::task::JoinSet;

use super::{
    DemoError, FabricStandIn, UpstreamStandIn,
    demo_load::DemoService,
    demo_plan::{BALANCERS, CONTROL_REPLICAS, DOMAINS, REGION, SERVICES},
};
use crate::{
    agent::{AgentNode, AgentSettings},
    balancer::{BalancerNode, BalancerSettings},
    clock::SpanMillis,
    control::{ControlSettings, PeerSettings, client::ControlClient, run_control},
    key::FailureDomain,
    manifest::Manifest,
    program::LogFormat,
    secret::{DeploymentSecret, SecretStore},
    settings::write_private_file,
    tls::{CertificateFiles, TestCertificate, TrustedRoots},
};

/// How long connection IDs stay in use.
const CONNECTION_ID_LIFETIME: SpanMillis = SpanMillis::new(600_000);
/// The port of the first service; the next services have the ports after it.
const FIRST_PORT: u16 = 4433;

/// An upstream and its agent.
#[derive(Debug)]
pub(super) struct DemoTarget {
    /// The name of its service.
    pub(super) service: &'static str,
    /// The stand-in of the upstream.
    pub(super) upstream: UpstreamStandIn,
    /// The upstream's agent.
    pub(super) agent: AgentNode,
}

/// The demo site, in this process and on loopback.
#[derive(Debug)]
pub(super) struct DemoSite {
    folder: PathBuf,
    loopback_block: (u8, u8),
    certificates: CertificateFiles,
    control: JoinSet<()>,
}

impl DemoSite {
    /// Creates a site and writes its secret and certificate into `folder`.
    pub(super) fn new(folder: &Path) -> Result<Self, DemoError> {
        let names: Vec<&str> = SERVICES.iter().map(|service| service.name).collect();
        let certificates = TestCertificate::new(&names)?.write(folder)?;
        let text = serde_json::to_string(&DeploymentSecret::random(1)).unwrap_or_default();
        write_private_file(&folder.join("secret.json"), &text)
            .map_err(preparing("the deployment secret"))?;
        Ok(Self {
            folder: folder.to_owned(),
            loopback_block: rand::random(),
            certificates,
            control: JoinSet::new(),
        })
    }

    /// Starts the control replicas and returns a client for them.
    pub(super) fn start_control(&mut self) -> Result<ControlClient, DemoError> {
        for replica in 1..=CONTROL_REPLICAS {
            let settings = self.control_settings(replica);
            fs::create_dir_all(&settings.data_folder).map_err(preparing("a data folder"))?;
            self.control.spawn(async move {
                // A failed replica shows in the client's calls.
                let _ = run_control(settings).await;
            });
        }
        let secret = DeploymentSecret::load(&self.secret_file())?;
        let store = SecretStore::new(&secret)?;
        Ok(ControlClient::new(self.control_addresses(), store))
    }

    /// Starts the balancer with this index.
    pub(super) fn start_balancer(&self, index: u8) -> Result<BalancerNode, DemoError> {
        let settings = BalancerSettings {
            name: format!("balancer-{index}"),
            domain: domain(index),
            listen_ip: Some(self.ip(10 + index)),
            tunnel_ip: self.ip(10 + index),
            tunnel_ports: 2,
            control: self.control_addresses(),
            secret_file: self.secret_file(),
            admin_listen: None,
            metrics_listen: None,
            log_format: LogFormat::Text,
        };
        Ok(BalancerNode::start(&settings)?)
    }

    /// Starts a target of a service: the upstream, then its agent.
    pub(super) async fn start_target(
        &self,
        service: &'static str,
        index: u8,
    ) -> Result<DemoTarget, DemoError> {
        let ip = self.ip(100 + index);
        let name = format!("{service}-{index}");
        let upstream = UpstreamStandIn::start(&name, SocketAddrV4::new(ip, 0))
            .await
            .map_err(preparing("an upstream"))?;
        let settings = AgentSettings {
            name,
            domain: domain(index),
            service: service.to_owned(),
            upstream: upstream.address(),
            tunnel_listen: SocketAddrV4::new(ip, 6000),
            peer_listen: SocketAddrV4::new(ip, 6001),
            weight: 1,
            control: self.control_addresses(),
            secret_file: self.secret_file(),
            tls: self.certificates.clone(),
            connection_id_lifetime: CONNECTION_ID_LIFETIME,
            admin_listen: None,
            metrics_listen: None,
            log_format: LogFormat::Text,
        };
        Ok(DemoTarget {
            service,
            upstream,
            agent: AgentNode::start(&settings).await?,
        })
    }

    /// Starts the fabric of each service, with the first balancers.
    pub(super) async fn start_fabrics(&self) -> Result<Vec<FabricStandIn>, DemoError> {
        let balancers: Vec<u8> = (0..BALANCERS).collect();
        let mut fabrics = Vec::new();
        for index in 0..SERVICES.len() {
            let address = self.service_address(index);
            let listener_addresses = self.listener_addresses(index, &balancers);
            let fabric = FabricStandIn::start(address, self.ip(3), listener_addresses)
                .await
                .map_err(preparing("the fabric"))?;
            fabrics.push(fabric);
        }
        Ok(fabrics)
    }

    /// Sends the datagrams of all services to these balancers from now on.
    pub(super) fn send_to_balancers(&self, fabrics: &[FabricStandIn], balancers: &[u8]) {
        for (index, fabric) in fabrics.iter().enumerate() {
            fabric.set_balancers(self.listener_addresses(index, balancers));
        }
    }

    /// Returns what callers need to reach a service.
    pub(super) fn service(&self, index: usize) -> Result<DemoService, DemoError> {
        Ok(DemoService {
            name: SERVICES[index].name,
            address: self.service_address(index),
            trusted_roots: TrustedRoots::load(&self.folder.join("root.pem"))?,
        })
    }

    pub(super) fn service_address(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1), service_port(index))
    }

    fn control_settings(&self, replica: u8) -> ControlSettings {
        let others = (1..=CONTROL_REPLICAS).filter(|other| *other != replica);
        ControlSettings {
            name: format!("control-{replica}"),
            domain: domain(replica),
            listen: self.call_address(replica),
            replica,
            link_listen: Some(self.link_address(replica)),
            peers: others
                .map(|other| PeerSettings {
                    replica: other,
                    link_address: self.link_address(other),
                    call_address: self.call_address(other),
                })
                .collect(),
            data_folder: self.folder.join(format!("control-{replica}")),
            secret_file: self.secret_file(),
            metrics_listen: None,
            log_format: LogFormat::Text,
        }
    }

    fn listener_addresses(&self, service: usize, balancers: &[u8]) -> Vec<SocketAddrV4> {
        balancers
            .iter()
            .map(|balancer| SocketAddrV4::new(self.ip(10 + balancer), service_port(service)))
            .collect()
    }

    fn control_addresses(&self) -> Vec<SocketAddrV4> {
        (1..=CONTROL_REPLICAS)
            .map(|replica| self.call_address(replica))
            .collect()
    }

    fn call_address(&self, replica: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(200 + replica), 7000)
    }

    fn link_address(&self, replica: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(200 + replica), 7001)
    }

    fn secret_file(&self) -> PathBuf {
        self.folder.join("secret.json")
    }

    /// Returns an address in the loopback block 127.x.y.0/24 of this demo.
    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.loopback_block.0, self.loopback_block.1, last)
    }
}

/// Returns a version of the manifest; versions differ in the queue limits.
pub(super) fn demo_manifest(site: &DemoSite, version: u64) -> Manifest {
    let services = SERVICES.iter().enumerate().map(|(index, service)| {
        let mut spec = service.spec(site.service_address(index));
        spec.limits.queue += u16::try_from(version).unwrap_or_default();
        spec
    });
    Manifest {
        version,
        replaces: version - 1,
        services: services.collect(),
    }
}

fn service_port(index: usize) -> u16 {
    FIRST_PORT + u16::try_from(index).unwrap_or_default()
}

fn domain(index: u8) -> FailureDomain {
    FailureDomain::new(REGION, DOMAINS[usize::from(index) % DOMAINS.len()])
}

fn preparing(what: &'static str) -> impl Fn(io::Error) -> DemoError {
    move |cause| DemoError::Prepare { what, cause }
}
