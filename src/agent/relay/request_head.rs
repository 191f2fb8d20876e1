use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header, request::Parts};

use super::{PeerHead, PeerPurpose, RequestBody};
use crate::{clock::SpanMillis, secret::KeyRing};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];
/// The header with the time left until the deadline, in milliseconds.
pub(super) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-millis");

/// Builds the request for the agent's upstream.
pub(super) fn upstream_request(
    head: &Parts,
    body: RequestBody,
    time_left: SpanMillis,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path_only(&head.uri);
    *request.headers_mut() = forwarded_headers(head);
    if request.body().length().is_some() {
        // hyper sets the length of the buffered body; the caller's may be wrong.
        request.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let time_left = HeaderValue::from(time_left.millis());
    request.headers_mut().insert(DEADLINE_HEADER, time_left);
    request
}

/// Builds the request for another agent.
pub(super) fn peer_request(
    head: &Parts,
    body: RequestBody,
    time_left: SpanMillis,
    purpose: PeerPurpose,
    ring: &KeyRing,
) -> Request<RequestBody> {
    let mut request = upstream_request(head, body, time_left);
    let uri = request.uri().clone();
    let method = request.method().clone();
    PeerHead::sign(purpose, (&method, &uri, request.headers_mut()), b"", ring);
    request
}

/// Removes the hop-by-hop headers.
pub(super) fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

fn path_only(uri: &Uri) -> Uri {
    uri.path_and_query()
        .cloned()
        .map(Uri::from)
        .unwrap_or_default()
}

fn forwarded_headers(head: &Parts) -> HeaderMap {
    let mut headers = head.headers.clone();
    strip_hop_headers(&mut headers);
    PeerHead::strip(&mut headers);
    if !headers.contains_key(header::HOST) {
        let host = head.uri.authority().map_or("", |host| host.as_str());
        if let Ok(host) = HeaderValue::from_str(host) {
            headers.insert(header::HOST, host);
        }
    }
    headers
}
