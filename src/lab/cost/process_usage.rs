use std::{fs, io};

/// The size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = parse_field(&text, 1)?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the CPU time of the calling thread in nanoseconds.
pub(super) fn thread_cpu_nanos() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    parse_field(&text, 0)
}

fn parse_field(text: &str, index: usize) -> io::Result<u64> {
    text.split_whitespace()
        .nth(index)
        .and_then(|field| field.parse().ok())
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
