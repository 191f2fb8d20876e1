use proptest::prelude::*;
use rstest::rstest;

use crate::flow::request_id;

#[rstest]
#[case(b"GET / HTTP/1.1\r\nX-Request-Id: 0a1b\r\n\r\n", Some("0a1b"))]
#[case(b"POST /x HTTP/1.1\r\nhost: a\r\nx-request-id:77\r\n", Some("77"))]
#[case(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", None)]
#[case(b"GET / HTTP/1.1\r\nX-Request-Id: cut", None)]
#[case(b"", None)]
fn the_id_is_read_from_the_request_head(#[case] data: &[u8], #[case] id: Option<&str>) {
    assert_eq!(request_id(data), id);
}

proptest! {
    #[test]
    fn arbitrary_data_does_not_panic(data: Vec<u8>) {
        request_id(&data);
    }
}
