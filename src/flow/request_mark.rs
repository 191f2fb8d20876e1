use std::str;

/// The header that carries a request's id, in lower case.
const ID_HEADER: &[u8] = b"\r\nx-request-id:";
/// The most bytes of an id that are read.
const MAX_ID_BYTES: usize = 64;

/// Returns the id of the request whose head begins in `data`, for log lines.
///
/// A flow's bytes belong to its two ends: they are looked at, never changed,
/// and no decision depends on them.
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
