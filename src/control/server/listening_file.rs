use std::{fs, io, net::SocketAddrV4, path::Path};

use serde::Serialize;

/// The file within the data folder that holds this replica's listen address.
const FILE_NAME: &str = "listening.json";

/// The content of the file.
#[derive(Debug, Serialize)]
struct ListeningRecord {
    listen: SocketAddrV4,
}

/// Writes the replica's listen address to a file for other programs on this host.
pub(crate) fn write_listening(folder: &Path, listen: SocketAddrV4) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let text = serde_json::to_string(&ListeningRecord { listen })?;
    let path = folder.join(FILE_NAME);
    let partial = path.with_extension("partial");
    fs::write(&partial, text)?;
    fs::rename(&partial, &path)
}
