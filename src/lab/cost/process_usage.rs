use std::{fs, io};

/// The size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = number_at(&text, 1)?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the processor time of the calling thread in nanoseconds.
pub(super) fn thread_nanos() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    number_at(&text, 0)
}

fn number_at(text: &str, place: usize) -> io::Result<u64> {
    text.split_whitespace()
        .nth(place)
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
