use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

/// The permission bits of a file that only its owner can read and write.
const PRIVATE_MODE: u32 = 0o600;

/// Atomically replaces the file at `path` by one that only its owner can read.
///
/// The content is written and synced to a temporary file, which is then renamed:
/// a reader sees the old file or the new one, never a partial one.
///
/// # Errors
///
/// Fails when the temporary file can't be written, renamed or synced.
pub fn write_private_file(path: &Path, text: &str) -> io::Result<()> {
    let temp_path = temp_path_for(path);
    let result = write_temp_file(&temp_path, text).and_then(|()| fs::rename(&temp_path, path));
    if result.is_err() {
        // An error of the cleanup is ignored; the first error is returned.
        let _ = fs::remove_file(&temp_path);
        return result;
    }
    sync_parent_folder(path)
}

fn write_temp_file(temp_path: &Path, text: &str) -> io::Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(PRIVATE_MODE)
        .open(temp_path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn temp_path_for(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{:08x}.new", rand::random::<u32>()));
    PathBuf::from(name)
}

fn sync_parent_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
