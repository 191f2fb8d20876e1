//! Tests of request profiles.

use std::net::{Ipv4Addr, SocketAddrV4};

use rstest::rstest;

use super::super::{ProfileError, RequestProfile};
use crate::{
    clock::{ClockMillis, SpanMillis},
    manifest::{RequestPriority, ServiceLimits, ServiceSpec, TrafficRule},
};

fn spec() -> ServiceSpec {
    ServiceSpec {
        name: "barge-control".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 443),
        limits: ServiceLimits::default(),
        deadline: SpanMillis::new(10_000),
        retry_percent: 10,
        rules: vec![TrafficRule {
            name: "stop".to_owned(),
            methods: vec!["POST".to_owned()],
            path_prefix: "/stop".to_owned(),
            priority: RequestPriority::Urgent,
            deadline: Some(SpanMillis::new(500)),
            idempotent: Some(true),
            stream: false,
        }],
    }
}

#[rstest]
#[case("POST", "/stop/3", None, 500, true)]
#[case("POST", "/start/3", None, 10_000, false)]
#[case("PUT", "/stop/3", None, 10_000, true)]
#[case("PATCH", "/x", Some("250"), 250, false)]
#[case("GET", "/x", Some(" 99999999999 "), 3_600_000, true)]
fn traffic_rules_and_headers_decide(
    #[case] method: &str,
    #[case] path: &str,
    #[case] field: Option<&str>,
    #[case] deadline: u64,
    #[case] idempotent: bool,
) {
    let profile = RequestProfile::new(&spec(), method, path, field, ClockMillis::ORIGIN);
    let profile = profile.expect("a valid request");
    assert_eq!(profile.deadline, ClockMillis::new(deadline));
    assert_eq!(profile.idempotent, idempotent);
}

#[rstest]
#[case("")]
#[case("-1")]
#[case("1s")]
fn a_malformed_deadline_is_rejected(#[case] field: &str) {
    let profile = RequestProfile::new(&spec(), "GET", "/", Some(field), ClockMillis::ORIGIN);
    assert_eq!(profile, Err(ProfileError::MalformedDeadline));
}
