//! Calls over HTTP/1.1.

use std::{
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    time::{Duration, Instant},
};

/// Makes one call; `None` if it fails or takes longer than `limit`. Returns the status, the
/// `Location` and the body.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, Option<String>, String)> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), limit).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        let left = end.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_owned())
    });
    Some((status, location, body.to_owned()))
}

/// Makes a call of the operator: follows two redirects, with one second for each response.
pub fn operator_call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let (mut to, mut path) = (to, path.to_owned());
    for _ in 0..3 {
        let (status, location, answer) = call(to, method, &path, body, Duration::from_secs(1))?;
        if status != 307 {
            return Some((status, answer));
        }
        let location = location?;
        let (address, rest) = location.strip_prefix("http://")?.split_once('/')?;
        to = address.parse().ok()?;
        path = format!("/{rest}");
    }
    None
}
