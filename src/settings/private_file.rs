use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

/// The permission bits of a file that only its owner may use.
const PRIVATE_MODE: u32 = 0o600;

/// Replaces the file at `path` by one that only its owner can read.
///
/// The new content is synced under another name first, so that a reader sees
/// the old file or the new one, never a part.
///
/// # Errors
///
/// Fails when the folder can't be written.
pub fn write_private(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_path(path);
    let written = write_draft(&draft, text).and_then(|()| fs::rename(&draft, path));
    if written.is_err() {
        // The first error is the one to report.
        let _ = fs::remove_file(&draft);
        return written;
    }
    sync_folder(path)
}

fn write_draft(draft: &Path, text: &str) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(PRIVATE_MODE)
        .open(draft)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn draft_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{:08x}.new", rand::random::<u32>()));
    PathBuf::from(name)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
