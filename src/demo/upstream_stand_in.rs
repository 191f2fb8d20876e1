use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::mpsc, task::JoinSet};

/// The pause between two lines of a stream.
const LINE_PAUSE: Duration = Duration::from_millis(50);
/// The largest body of `/bytes/N`.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The lines of a stream that are buffered for a slow reader.
const BUFFERED_LINES: usize = 4;

type AnswerBody = BoxBody<Bytes, Infallible>;

/// A stand-in for an upstream: a small HTTP/1.1 server.
///
/// `/name` returns its name, `/echo` the request body, `/bytes/N` a body of N bytes,
/// `/slow/MS` its name after MS milliseconds, and `/lines` an endless stream of
/// numbered lines. `/run/ID` returns how often this ID has run.
#[derive(Debug)]
pub struct UpstreamStandIn {
    shared: Arc<UpstreamShared>,
    address: SocketAddrV4,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct UpstreamShared {
    name: String,
    requests: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl UpstreamStandIn {
    /// Starts the server as tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(name: &str, address: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let std::net::SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let shared = Arc::new(UpstreamShared {
            name: name.to_owned(),
            requests: AtomicU64::new(0),
            runs: Mutex::new(BTreeMap::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_connections(listener, Arc::clone(&shared)));
        Ok(Self {
            shared,
            address,
            _tasks: tasks,
        })
    }

    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns the number of requests received.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of runs of each ID.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock_runs().clone()
    }
}

impl UpstreamShared {
    fn lock_runs(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<UpstreamShared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            let service = service_fn(move |request| answer_request(request, Arc::clone(&shared)));
            // A failed connection affects only its peer.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer_request(
    request: Request<Incoming>,
    shared: Arc<UpstreamShared>,
) -> Result<Response<AnswerBody>, hyper::Error> {
    shared.requests.fetch_add(1, Ordering::Relaxed);
    let path = request.uri().path().to_owned();
    let mut segments = path.trim_start_matches('/').splitn(2, '/');
    let (endpoint, argument) = (
        segments.next().unwrap_or_default(),
        segments.next().unwrap_or_default(),
    );
    let body = request.into_body().collect().await?.to_bytes();
    let answer = match endpoint {
        "name" => whole_answer(shared.name.clone().into()),
        "echo" => whole_answer(body),
        "bytes" => whole_answer(generate_body(argument)),
        "slow" => {
            let millis = argument.parse().unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(millis)).await;
            whole_answer(shared.name.clone().into())
        }
        "run" => {
            let mut runs = shared.lock_runs();
            let count = runs.entry(argument.to_owned()).or_default();
            *count += 1;
            whole_answer(count.to_string().into())
        }
        "lines" => stream_answer(&shared.name),
        _ => {
            let mut answer = whole_answer(Bytes::new());
            *answer.status_mut() = StatusCode::NOT_FOUND;
            answer
        }
    };
    Ok(answer)
}

fn whole_answer(body: Bytes) -> Response<AnswerBody> {
    Response::new(Full::new(body).boxed())
}

/// Returns a body of repeating numbers, so that a missing part is detected.
fn generate_body(length: &str) -> Bytes {
    let length = length.parse().unwrap_or(0).min(MAX_BODY_BYTES);
    (0..=250).cycle().take(length).collect()
}

fn stream_answer(name: &str) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel::<Bytes>(BUFFERED_LINES);
    let name = name.to_owned();
    tokio::spawn(async move {
        for line in 0u64.. {
            if sender
                .send(format!("{name} {line}\n").into())
                .await
                .is_err()
            {
                return;
            }
            tokio::time::sleep(LINE_PAUSE).await;
        }
    });
    Response::new(LineBody { receiver }.boxed())
}

/// A body whose frames are sent by a task.
struct LineBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl Body for LineBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let line = ready!(self.get_mut().receiver.poll_recv(context));
        Poll::Ready(line.map(|line| Ok(Frame::data(line))))
    }
}
