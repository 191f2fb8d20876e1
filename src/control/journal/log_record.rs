//! The form of one log entry in a segment file.

use super::journal_error::DamageFault;
use crate::control::replica::LogEntry;

/// Length of the content, its checksum, and the checksum of both.
pub(super) const RECORD_HEADER_BYTES: usize = 12;

/// What stands at a place of a segment file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RecordFound {
    /// An entry, and the bytes that it takes.
    Entry(LogEntry, usize),
    /// The end of the file.
    End,
    /// The beginning of a record whose write was cut short.
    Torn,
    /// Other bytes than were written.
    Damaged(DamageFault),
}

/// Appends an entry's record to `buffer`; returns whether it could be encoded.
pub(super) fn encode_record(entry: &LogEntry, buffer: &mut Vec<u8>) -> bool {
    let Ok(content) = postcard::to_stdvec(entry) else {
        return false;
    };
    let Ok(length) = u32::try_from(content.len()) else {
        return false;
    };
    let mut header = [0; RECORD_HEADER_BYTES];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..8].copy_from_slice(&crc32fast::hash(&content).to_le_bytes());
    let header_sum = header_checksum(&header[..8]);
    header[8..].copy_from_slice(&header_sum);
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(&content);
    true
}

/// Reads what stands at the beginning of `bytes`.
///
/// A record that the file's end cuts short is torn. A record that is there in
/// its full length and does not match its checksums is damaged, even at the
/// end: it may have been acknowledged.
pub(super) fn read_record(bytes: &[u8]) -> RecordFound {
    if bytes.is_empty() {
        return RecordFound::End;
    }
    // A file system may have grown the file without its content.
    if bytes.iter().all(|byte| *byte == 0) {
        return RecordFound::Torn;
    }
    let Some((header, rest)) = bytes.split_at_checked(RECORD_HEADER_BYTES) else {
        return RecordFound::Torn;
    };
    if header[8..] != header_checksum(&header[..8]) {
        return RecordFound::Damaged(DamageFault::Header);
    }
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let Some(content) = rest.get(..length) else {
        return RecordFound::Torn;
    };
    if header[4..8] != crc32fast::hash(content).to_le_bytes() {
        return RecordFound::Damaged(DamageFault::Content);
    }
    match postcard::from_bytes(content) {
        Ok(entry) => RecordFound::Entry(entry, RECORD_HEADER_BYTES + length),
        Err(_) => RecordFound::Damaged(DamageFault::Encoding),
    }
}

fn header_checksum(fields: &[u8]) -> [u8; 4] {
    // Zeros must not be a valid header.
    (!crc32fast::hash(fields)).to_le_bytes()
}
