//! HTTP calls of the operator and of targets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes one call; returns the status and the body.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(CALL_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((status, head.to_lowercase(), body.to_owned()))
}

/// Makes a call and follows a redirect twice.
pub fn follow(
    mut address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    for _ in 0..3 {
        let (status, head, answer) = call(address, method, path, body)?;
        if status != 307 {
            return Some((status, answer));
        }
        let location = head.split("location: http://").nth(1)?;
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}
