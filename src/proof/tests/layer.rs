//! Tests of both layers: a refused call is counted and never reaches the server.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use jsonrpsee::{
    core::BoxError,
    server::{HttpBody, HttpRequest, HttpResponse},
};
use rstest::rstest;
use tower::{Layer, ServiceExt, service_fn};

use super::proof::secret;
use crate::{
    admin::MetricsRecorder,
    clock::{ClockMillis, SpanMillis},
    proof::{
        CALL_HEADER, CallHead, CallProof, ClientProofLayer, REPLY_HEADER, ReplyProof,
        ServerProofLayer, unix_time_now,
    },
    secret::SecretStore,
};

const BODY_LIMIT: usize = 64;
const HEAD: CallHead<'static> = CallHead {
    method: "POST",
    path: "/",
};

fn store(byte: u8) -> SecretStore {
    let mut secret = secret(1, &[1]);
    secret.epochs[0].secret = vec![byte; 32];
    SecretStore::new(&secret).expect("a valid secret")
}

fn proof(store: &SecretStore, body: &[u8], time: ClockMillis) -> String {
    CallProof::new(store.keys().active(), HEAD, body, time, 42).to_string()
}

/// Sends a request through a `ServerProofLayer`; returns the response and the number
/// of calls that reached the server.
async fn send(header: Option<String>, body: Vec<u8>) -> (HttpResponse<HttpBody>, usize) {
    let reached = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&reached);
    let inner = service_fn(move |_: HttpRequest<HttpBody>| {
        counter.fetch_add(1, Ordering::Relaxed);
        std::future::ready(Ok::<_, BoxError>(HttpResponse::new(HttpBody::from(
            "answer",
        ))))
    });
    let mut request = HttpRequest::post("/");
    if let Some(header) = header {
        request = request.header(CALL_HEADER, header);
    }
    let request = request.body(HttpBody::from(body)).expect("a valid request");
    let service = ServerProofLayer::new(store(1), BODY_LIMIT).layer(inner);
    let response = service.oneshot(request).await.expect("a response");
    (response, reached.load(Ordering::Relaxed))
}

#[derive(Debug, Clone, Copy)]
enum InvalidCall {
    Missing,
    OtherSecret,
    Stale,
    OtherEpoch,
    OtherBody,
    Oversize,
    Malformed,
}

fn invalid_call(call: InvalidCall) -> (Option<String>, Vec<u8>) {
    let body = b"{}".to_vec();
    let now = unix_time_now();
    let header = match call {
        InvalidCall::Missing => None,
        InvalidCall::OtherSecret => Some(proof(&store(2), &body, now)),
        InvalidCall::Stale => {
            let old = now.millis() - SpanMillis::new(60_000).millis();
            Some(proof(&store(1), &body, ClockMillis::new(old)))
        }
        InvalidCall::OtherEpoch => Some(proof(&store(1), &body, now).replacen("01", "02", 1)),
        InvalidCall::OtherBody => Some(proof(&store(1), b"[]", now)),
        InvalidCall::Oversize => {
            let body = vec![b' '; BODY_LIMIT + 1];
            return (Some(proof(&store(1), &body, now)), body);
        }
        InvalidCall::Malformed => Some("no proof".to_owned()),
    };
    (header, body)
}

#[rstest]
#[case(InvalidCall::Missing, 401, "missing")]
#[case(InvalidCall::OtherSecret, 401, "mismatch")]
#[case(InvalidCall::Stale, 401, "stale")]
#[case(InvalidCall::OtherEpoch, 401, "unknown_epoch")]
#[case(InvalidCall::OtherBody, 401, "body_mismatch")]
#[case(InvalidCall::Oversize, 413, "oversize")]
#[case(InvalidCall::Malformed, 401, "malformed")]
#[tokio::test]
async fn an_invalid_call_is_counted_and_does_not_reach_the_server(
    #[case] call: InvalidCall,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let recorder = MetricsRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let (header, body) = invalid_call(call);
    let (response, reached) = send(header, body).await;
    assert_eq!((response.status().as_u16(), reached), (status, 0));
    let counted = format!("cyclamen_call_proof_refused_total{{reason=\"{reason}\"}} 1");
    assert!(recorder.render().contains(&counted));
}

/// A body that counts how often it is polled.
struct CountedBody(Arc<AtomicUsize>);

impl http_body::Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, Infallible>>> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Poll::Ready(None)
    }
}

#[tokio::test]
async fn the_body_of_an_unauthenticated_call_is_not_read() {
    let read = Arc::new(AtomicUsize::new(0));
    let body = CountedBody(Arc::clone(&read));
    let request = HttpRequest::post("/")
        .header(CALL_HEADER, proof(&store(2), b"", unix_time_now()))
        .body(HttpBody::new(body))
        .expect("a valid request");
    let inner = service_fn(|_: HttpRequest<HttpBody>| {
        std::future::ready(Ok::<_, BoxError>(HttpResponse::new(HttpBody::empty())))
    });
    let service = ServerProofLayer::new(store(1), BODY_LIMIT).layer(inner);
    let response = service.oneshot(request).await.expect("a response");
    assert_eq!(response.status().as_u16(), 401);
    assert_eq!(read.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn the_reply_to_an_authenticated_call_carries_a_proof() {
    let store = store(1);
    let header = proof(&store, b"{}", unix_time_now());
    let (response, reached) = send(Some(header), b"{}".to_vec()).await;
    assert_eq!(reached, 1);
    let text = response.headers()[REPLY_HEADER]
        .to_str()
        .expect("a text header");
    let reply = ReplyProof::parse(text).expect("a proof");
    assert_eq!(reply.verify(&store.keys(), 42, 200, b"answer"), Ok(()));
}

#[rstest]
#[case::same_secret(1, true)]
#[case::other_secret(2, false)]
#[tokio::test]
async fn a_client_accepts_only_authenticated_replies(#[case] server: u8, #[case] accepted: bool) {
    // There is no `ServerProofLayer` here, so only the check of the reply decides.
    let server_store = store(server);
    let inner = service_fn(move |request: HttpRequest<HttpBody>| {
        let header = request.headers()[CALL_HEADER]
            .to_str()
            .expect("a text header");
        let nonce = CallProof::parse(header).expect("a proof").nonce();
        let proof = ReplyProof::new(server_store.keys().active(), nonce, 200, b"answer");
        let response = http::Response::builder()
            .header(REPLY_HEADER, proof.to_string())
            .body(HttpBody::from("answer"))
            .expect("a valid response");
        std::future::ready(Ok(response))
    });
    let request = HttpRequest::post("/")
        .body(HttpBody::from("{}"))
        .expect("a valid request");
    let service = ClientProofLayer::new(store(1), BODY_LIMIT).layer(inner);
    let answer = service.oneshot(request).await;
    assert_eq!(answer.is_ok(), accepted);
    if let Ok(answer) = answer {
        let body = answer.into_body().collect().await.expect("a body");
        assert_eq!(body.to_bytes(), Bytes::from_static(b"answer"));
    }
}
