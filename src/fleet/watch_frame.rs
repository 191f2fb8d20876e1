use std::{io, net::Ipv4Addr, time::Duration};

use serde::{Deserialize, Serialize};
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

/// The routes that a poll asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum WantedRoutes {
    /// Those in force, whatever their version: the watcher has none.
    Any,
    /// Those of a higher version than this one, which the watcher has.
    Above(u64),
    /// None: the watcher follows only the directory.
    None,
}

impl WantedRoutes {
    /// Returns whether the poll asks for routes of this version.
    pub(super) fn includes(self, version: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Above(known) => version > known,
            Self::None => false,
        }
    }

    /// Returns the version above which builds that read only the head of a poll send
    /// routes; such a build sends none of version zero.
    fn head_version(self) -> u64 {
        match self {
            Self::Any => 0,
            Self::Above(known) => known,
            Self::None => u64::MAX,
        }
    }
}

/// A watcher's request for everything newer than what it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WatchPoll {
    /// The watcher's address.
    pub(super) watcher: Ipv4Addr,
    /// The routes that it asks for.
    pub(super) routes: WantedRoutes,
    /// How far the watcher has followed this replica's directory.
    pub(super) position: DirectoryPosition,
}

/// The part of a poll that every build reads; the wanted routes follow it.
#[derive(Debug, Serialize, Deserialize)]
struct PollHead {
    watcher: Ipv4Addr,
    version: u64,
    place: DirectoryPosition,
}

impl WatchPoll {
    /// Encodes the poll.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let head = PollHead {
            watcher: self.watcher,
            version: self.routes.head_version(),
            place: self.position,
        };
        let mut payload = postcard::to_stdvec(&head)?;
        payload.extend(postcard::to_stdvec(&self.routes)?);
        Ok(payload)
    }

    /// Decodes a poll. Builds that send only its head never put routes of version zero
    /// into force, so their zero asks for higher versions like any other number.
    pub(super) fn decode(payload: &[u8]) -> Result<Self, postcard::Error> {
        let (head, rest): (PollHead, &[u8]) = postcard::take_from_bytes(payload)?;
        let routes = if rest.is_empty() {
            WantedRoutes::Above(head.version)
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            watcher: head.watcher,
            routes,
            position: head.place,
        })
    }
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

/// Writes a poll; fails after `limit`.
pub(super) async fn write_poll(
    stream: &mut TcpStream,
    poll: &WatchPoll,
    limit: Duration,
) -> io::Result<()> {
    let payload = poll.encode().map_err(io::Error::other)?;
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

/// Reads a poll; fails after `limit`.
pub(super) async fn read_poll(stream: &mut TcpStream, limit: Duration) -> io::Result<WatchPoll> {
    let payload = read_payload(stream, limit).await?;
    WatchPoll::decode(&payload).map_err(io::Error::other)
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
