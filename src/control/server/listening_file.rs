use std::{fs, io, net::SocketAddrV4, path::Path};

use serde::Serialize;

/// The file within the data folder that tells where this replica listens.
const FILE_NAME: &str = "listening.json";

/// What the file holds.
#[derive(Debug, Serialize)]
struct ListeningRecord {
    listen: SocketAddrV4,
}

/// Tells other programs of this machine where the replica listens.
pub(crate) fn write_listening(folder: &Path, listen: SocketAddrV4) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let text = serde_json::to_string(&ListeningRecord { listen })?;
    let path = folder.join(FILE_NAME);
    let partial = path.with_extension("partial");
    fs::write(&partial, text)?;
    fs::rename(&partial, &path)
}
