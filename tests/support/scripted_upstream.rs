//! An upstream whose answers can be slow, cut or counted.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What the upstream saw.
#[derive(Debug, Default)]
pub struct UpstreamCounts {
    /// Requests that began to run.
    pub begun: AtomicU32,
    /// Requests whose connection was dropped while they ran.
    pub dropped: AtomicU32,
    /// Requests that run now.
    pub running: AtomicU32,
    /// The most that ran at once.
    pub most: AtomicU32,
}

impl UpstreamCounts {
    pub fn begun(&self) -> u32 {
        self.begun.load(Ordering::SeqCst)
    }

    pub fn dropped(&self) -> u32 {
        self.dropped.load(Ordering::SeqCst)
    }

    pub fn most(&self) -> u32 {
        self.most.load(Ordering::SeqCst)
    }
}

/// Starts an upstream that serves until the test ends.
///
/// `/name` answers `name`, `/hold/MS` counts a run and answers after a pause,
/// `/cut` breaks its body off.
pub async fn start_upstream(name: &str, address: SocketAddrV4) -> Arc<UpstreamCounts> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let counts = Arc::new(UpstreamCounts::default());
    let shared = Arc::clone(&counts);
    let name = name.to_owned();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, name.clone(), Arc::clone(&shared)));
        }
    });
    counts
}

async fn serve(mut stream: TcpStream, name: String, counts: Arc<UpstreamCounts>) {
    let Some(path) = read_path(&mut stream).await else {
        return;
    };
    if let Some(millis) = path.strip_prefix("/hold/") {
        let pause = Duration::from_millis(millis.parse().unwrap_or(0));
        hold(&mut stream, pause, &name, &counts).await;
    } else if path == "/cut" {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nonly this";
        let _ = stream.write_all(head.as_bytes()).await;
    } else {
        answer(&mut stream, &name).await;
    }
}

async fn hold(stream: &mut TcpStream, pause: Duration, name: &str, counts: &UpstreamCounts) {
    counts.begun.fetch_add(1, Ordering::SeqCst);
    let running = counts.running.fetch_add(1, Ordering::SeqCst) + 1;
    counts.most.fetch_max(running, Ordering::SeqCst);
    let mut byte = [0];
    tokio::select! {
        () = tokio::time::sleep(pause) => {
            counts.running.fetch_sub(1, Ordering::SeqCst);
            answer(stream, name).await;
        }
        _ = stream.read(&mut byte) => {
            counts.running.fetch_sub(1, Ordering::SeqCst);
            counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn answer(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let text =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads the head and the body of a request; returns its path.
async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.trim().parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    text.split(' ').nth(1).map(ToOwned::to_owned)
}
