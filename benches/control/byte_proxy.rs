//! A TCP proxy that counts the bytes between a client and a replica.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Forwards TCP connections to a replica and counts the bytes of both directions.
pub struct ByteProxy {
    pub address: SocketAddrV4,
    bytes: Arc<AtomicU64>,
}

impl ByteProxy {
    /// Starts a proxy for `replica` on a free port.
    pub async fn start(replica: SocketAddrV4) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("a bound port") else {
            panic!("the listener has no IPv4 address");
        };
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((client_stream, _)) = listener.accept().await {
                let Ok(replica_stream) = TcpStream::connect(replica).await else {
                    continue;
                };
                let _ = (
                    client_stream.set_nodelay(true),
                    replica_stream.set_nodelay(true),
                );
                let (client_read, client_write) = client_stream.into_split();
                let (replica_read, replica_write) = replica_stream.into_split();
                tokio::spawn(forward(client_read, replica_write, Arc::clone(&counted)));
                tokio::spawn(forward(replica_read, client_write, Arc::clone(&counted)));
            }
        });
        Self { address, bytes }
    }

    /// Returns the bytes forwarded so far, both directions together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn forward(
    mut input: tokio::net::tcp::OwnedReadHalf,
    mut output: tokio::net::tcp::OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 65_536];
    while let Ok(length @ 1..) = input.read(&mut buffer).await {
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        if output.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
