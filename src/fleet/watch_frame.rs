use std::{io, net::Ipv4Addr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    directory::{AttributeEntry, DirectoryPosition, DirectoryUpdate},
    listener::ListenerManifest,
};

/// The largest frame in bytes; a manifest of 100,000 routes fits.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// A watcher's request for everything newer than what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WatchPoll {
    /// The watcher's address.
    pub(super) watcher: Ipv4Addr,
    /// The version of the routes in force at the watcher.
    #[serde(rename = "version")]
    pub(super) routes_version: u64,
    /// How far the watcher has followed this replica's directory.
    #[serde(rename = "place")]
    pub(super) position: DirectoryPosition,
}

/// Everything newer than what the watcher has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WatchReply {
    /// The routes, if newer.
    pub(super) routes: Option<ListenerManifest>,
    /// The changes of the directory, if any.
    pub(super) targets: Option<DirectoryUpdate>,
    /// The members of the control group.
    pub(super) members: Vec<Ipv4Addr>,
    /// The leader, if one is known.
    pub(super) leader: Option<Ipv4Addr>,
    /// Whether the replica hears a leader and has an entry of its term committed,
    /// so that its routes are current.
    #[serde(rename = "current")]
    pub(super) caught_up: bool,
}

/// Writes a length-prefixed value; fails after `limit`.
pub(super) async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    value: &T,
    limit: Duration,
) -> io::Result<()> {
    let payload = postcard::to_stdvec(value).map_err(io::Error::other)?;
    write_payload(stream, &payload, limit).await
}

/// Writes a reply, followed by the attributes of its records and the evacuated domains,
/// which builds without them ignore.
pub(super) async fn write_reply(
    stream: &mut TcpStream,
    reply: &WatchReply,
    limit: Duration,
) -> io::Result<()> {
    let payload = encode_reply(reply).map_err(io::Error::other)?;
    write_payload(stream, &payload, limit).await
}

/// Encodes a reply for `write_reply`.
pub(super) fn encode_reply(reply: &WatchReply) -> Result<Vec<u8>, postcard::Error> {
    let mut payload = postcard::to_stdvec(reply)?;
    if let Some(targets) = &reply.targets {
        let entries = AttributeEntry::list(&targets.records);
        payload.extend(postcard::to_stdvec(&entries)?);
        payload.extend(postcard::to_stdvec(&targets.evacuation)?);
    }
    Ok(payload)
}

async fn write_payload(stream: &mut TcpStream, payload: &[u8], limit: Duration) -> io::Result<()> {
    let length = u32::try_from(payload.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + payload.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(payload);
    timeout(limit, stream.write_all(&bytes)).await?
}

/// Reads a length-prefixed value; fails after `limit`.
pub(super) async fn read_frame<T: DeserializeOwned>(
    stream: &mut TcpStream,
    limit: Duration,
) -> io::Result<T> {
    let payload = read_payload(stream, limit).await?;
    postcard::from_bytes(&payload).map_err(io::Error::other)
}

/// Reads a reply with the attributes of its records and the evacuated domains; fails
/// after `limit`.
pub(super) async fn read_reply(stream: &mut TcpStream, limit: Duration) -> io::Result<WatchReply> {
    let payload = read_payload(stream, limit).await?;
    decode_reply(&payload).map_err(io::Error::other)
}

/// Decodes a reply; what an older build does not send is unknown.
pub(super) fn decode_reply(payload: &[u8]) -> Result<WatchReply, postcard::Error> {
    let (mut reply, rest): (WatchReply, &[u8]) = postcard::take_from_bytes(payload)?;
    if let Some(targets) = &mut reply.targets
        && !rest.is_empty()
    {
        let (entries, rest): (Vec<AttributeEntry>, &[u8]) = postcard::take_from_bytes(rest)?;
        AttributeEntry::apply(&entries, &mut targets.records);
        if !rest.is_empty() {
            targets.evacuation = postcard::from_bytes(rest)?;
        }
    }
    Ok(reply)
}

async fn read_payload(stream: &mut TcpStream, limit: Duration) -> io::Result<Vec<u8>> {
    timeout(limit, async {
        let length = stream.read_u32().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload).await?;
        Ok(payload)
    })
    .await?
}
