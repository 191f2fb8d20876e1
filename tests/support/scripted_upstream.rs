//! An upstream that can answer slowly, cut its response and count requests.

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

/// Counts the `/hold/` requests of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamCounters {
    /// Requests that started.
    pub started: AtomicU32,
    /// Requests whose connection was closed while they ran.
    pub dropped: AtomicU32,
    /// Requests that are running now.
    pub running: AtomicU32,
    /// The highest number of requests that ran at once.
    pub peak: AtomicU32,
}

impl UpstreamCounters {
    pub fn started(&self) -> u32 {
        self.started.load(Ordering::SeqCst)
    }

    pub fn dropped(&self) -> u32 {
        self.dropped.load(Ordering::SeqCst)
    }

    pub fn peak(&self) -> u32 {
        self.peak.load(Ordering::SeqCst)
    }
}

/// Starts an upstream that serves until the test ends.
///
/// `/hold/MS` is counted and answered with `name` after a delay of MS
/// milliseconds, `/cut` ends before its body is complete, `/twice` sends a second
/// copy of its answer when the next request arrives on its connection, and any other
/// path is answered with `name`.
pub async fn start_upstream(name: &str, address: SocketAddrV4) -> Arc<UpstreamCounters> {
    let listener = TcpListener::bind(address).await.expect("a free address");
    let counters = Arc::new(UpstreamCounters::default());
    let shared = Arc::clone(&counters);
    let name = name.to_owned();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, name.clone(), Arc::clone(&shared)));
        }
    });
    counters
}

async fn serve(mut stream: TcpStream, name: String, counters: Arc<UpstreamCounters>) {
    let Some(path) = read_path(&mut stream).await else {
        return;
    };
    if let Some(millis) = path.strip_prefix("/hold/") {
        let delay = Duration::from_millis(millis.parse().unwrap_or(0));
        respond_after(&mut stream, delay, &name, &counters).await;
    } else if path == "/cut" {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nonly this";
        let _ = stream.write_all(head.as_bytes()).await;
    } else if path == "/twice" {
        let copy = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\ntwice";
        let _ = stream.write_all(copy.as_bytes()).await;
        if read_path(&mut stream).await.is_some() {
            let _ = stream.write_all(copy.as_bytes()).await;
        }
    } else {
        respond(&mut stream, &name).await;
    }
}

async fn respond_after(
    stream: &mut TcpStream,
    delay: Duration,
    name: &str,
    counters: &UpstreamCounters,
) {
    counters.started.fetch_add(1, Ordering::SeqCst);
    let running = counters.running.fetch_add(1, Ordering::SeqCst) + 1;
    counters.peak.fetch_max(running, Ordering::SeqCst);
    let mut byte = [0];
    tokio::select! {
        () = tokio::time::sleep(delay) => {
            counters.running.fetch_sub(1, Ordering::SeqCst);
            respond(stream, name).await;
        }
        _ = stream.read(&mut byte) => {
            counters.running.fetch_sub(1, Ordering::SeqCst);
            counters.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn respond(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let text =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Reads one request with its body and returns its path.
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
