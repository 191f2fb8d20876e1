use std::str;

/// The request header with the id, in lower case.
const ID_HEADER: &[u8] = b"\r\nx-request-id:";
/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 64;

/// Returns the id of the HTTP request that starts in `data`, for log lines only:
/// the payload of a flow is never changed, and no decision depends on it.
pub(crate) fn request_id(data: &[u8]) -> Option<&str> {
    let starts_request = data.first().is_some_and(u8::is_ascii_uppercase);
    if !starts_request {
        return None;
    }
    let found = data
        .windows(ID_HEADER.len())
        .position(|window| window.eq_ignore_ascii_case(ID_HEADER))?;
    let rest = &data[found + ID_HEADER.len()..];
    let end = rest
        .iter()
        .take(MAX_ID_BYTES)
        .position(|byte| *byte == b'\r')?;
    str::from_utf8(&rest[..end]).ok().map(str::trim)
}
