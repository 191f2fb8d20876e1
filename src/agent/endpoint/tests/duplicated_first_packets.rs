//! Two agents get copies of every first packet; each caller must still get
//! exactly one working connection.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use crate::{
    agent::{
        admission::{AcceptRule, AdmissionGate, AgentPhase},
        endpoint::{LoadGauge, PEER_INBOX_CAPACITY, TargetIdentity, TunnelSocket, open_endpoint},
    },
    clock::SpanMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
    manifest::ServiceLimits,
    route::{ConnectionRoute, PacketHeader},
    secret::{DeploymentSecret, SecretStore},
    tls::{CertificateStore, TestCertificate, TrustedRoots, client_config},
    tunnel::{FrameHeader, FrameKind},
};

const SERVICE: ServiceNumber = ServiceNumber::new(1);
const CALLERS: usize = 20;
const ECHO_BYTES: usize = 20_000;

async fn loopback() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else {
        panic!("an IPv4 socket has an IPv4 address");
    };
    (socket, address)
}

/// Starts an agent's endpoint.
async fn start_agent(
    secret: &SecretStore,
    certificates: CertificateStore,
) -> (Endpoint, TargetKey) {
    let (io, address) = loopback().await;
    let target = TargetKey::new(address);
    let identity = TargetIdentity {
        service: SERVICE,
        target,
        incarnation: IncarnationId::random(),
    };
    let gate = AdmissionGate::new(AcceptRule::HashOnly, AgentPhase::Serving);
    let load_gauge = Arc::new(LoadGauge::new(ServiceLimits::default()));
    let (inbox, _) = mpsc::channel(PEER_INBOX_CAPACITY);
    let socket = TunnelSocket::new(io, identity, secret.clone(), gate, load_gauge, inbox);
    let lifetime = SpanMillis::new(60_000);
    let endpoint = open_endpoint(Arc::new(socket), secret.clone(), certificates, lifetime)
        .expect("a good certificate");
    (endpoint, target)
}

async fn serve_echo(endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(async move {
            // The agent that loses the race never completes the handshake.
            let Ok(connection) = incoming.await else {
                return;
            };
            while let Ok((mut send, mut receive)) = connection.accept_bi().await {
                if let Ok(bytes) = receive.read_to_end(ECHO_BYTES).await {
                    let _ = send.write_all(&bytes).await;
                    let _ = send.finish();
                }
            }
        });
    }
}

/// Forwards by connection ID; sends first packets to both agents, in
/// alternating order.
async fn duplicate_first_packets(
    service: UdpSocket,
    tunnel: UdpSocket,
    secret: SecretStore,
    agents: [TargetKey; 2],
) {
    let (mut datagram, mut answer, mut frame) = ([0; 2_048], [0; 2_048], Vec::new());
    let mut turn = 0;
    loop {
        tokio::select! {
            Ok((length, SocketAddr::V4(caller))) = service.recv_from(&mut datagram) => {
                let datagram = &datagram[..length];
                let keys = secret.keys().clone();
                FrameHeader::new(FrameKind::Forward, SERVICE, caller)
                    .write(datagram, &keys, &mut frame);
                let header = PacketHeader::read(datagram).expect("a QUIC datagram");
                let route = ConnectionRoute::open(header.destination, &keys);
                turn += 1;
                let receivers = match route {
                    Some(route) => vec![route.target],
                    None => vec![agents[turn % 2], agents[(turn + 1) % 2]],
                };
                for receiver in receivers {
                    let _ = tunnel.send_to(&frame, receiver.address()).await;
                }
            }
            Ok((length, _)) = tunnel.recv_from(&mut answer) => {
                let keys = secret.keys().clone();
                let (header, payload) =
                    FrameHeader::read(&answer[..length], &keys).expect("an authentic frame");
                if header.kind == FrameKind::Answer {
                    let _ = service.send_to(payload, header.caller).await;
                }
            }
        }
    }
}

async fn echo_once(client: Endpoint, service: SocketAddrV4) {
    let connecting = client
        .connect(SocketAddr::V4(service), "echo")
        .expect("settings");
    let connection = connecting.await.expect("one of the agents accepts");
    for round in 0..5u8 {
        let (mut send, mut receive) = connection.open_bi().await.expect("an open connection");
        let bytes = vec![round; ECHO_BYTES];
        send.write_all(&bytes).await.expect("a complete request");
        send.finish().expect("an open stream");
        let echo = receive
            .read_to_end(ECHO_BYTES)
            .await
            .expect("a complete answer");
        assert_eq!(echo, bytes);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_caller_gets_one_connection_when_first_packets_are_duplicated() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let files = TestCertificate::new(&["echo"])
        .and_then(|certificate| certificate.write(folder.path()))
        .expect("a certificate");
    let certificates = CertificateStore::new(files).expect("own certificate");
    let secret = SecretStore::new(&DeploymentSecret::random(1)).expect("a good secret");
    let (first, first_key) = start_agent(&secret, certificates.clone()).await;
    let (second, second_key) = start_agent(&secret, certificates).await;
    let (service, address) = loopback().await;
    let (tunnel, _) = loopback().await;
    let agents = [first_key, second_key];
    let mut tasks: JoinSet<()> = JoinSet::new();
    tasks.spawn(serve_echo(first));
    tasks.spawn(serve_echo(second));
    tasks.spawn(duplicate_first_packets(service, tunnel, secret, agents));

    let trusted_roots = TrustedRoots::load(&folder.path().join("root.pem")).expect("own root");
    let crypto = QuicClientConfig::try_from(client_config(trusted_roots).expect("settings"));
    let config = ClientConfig::new(Arc::new(crypto.expect("a QUIC cipher")));
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|_| {
            let mut client = Endpoint::client((Ipv4Addr::LOCALHOST, 0).into()).expect("a port");
            client.set_default_client_config(config.clone());
            tokio::spawn(echo_once(client, address))
        })
        .collect();
    for caller in callers {
        tokio::time::timeout(Duration::from_secs(60), caller)
            .await
            .expect("an answer")
            .expect("a working connection");
    }
}
