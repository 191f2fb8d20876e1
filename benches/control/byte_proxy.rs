//! Counts the bytes that pass between a client and a replica.

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

/// Forwards TCP connections and counts what passes in either direction.
pub struct ByteProxy {
    pub address: SocketAddrV4,
    bytes: Arc<AtomicU64>,
}

impl ByteProxy {
    /// Starts forwarding to `replica`.
    pub async fn start(replica: SocketAddrV4) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("a bound port") else {
            panic!("an IPv4 address was asked for");
        };
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(replica).await else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(forward(near_in, far_out, Arc::clone(&counted)));
                tokio::spawn(forward(far_in, near_out, Arc::clone(&counted)));
            }
        });
        Self { address, bytes }
    }

    /// Returns the bytes that passed so far, both directions together.
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
