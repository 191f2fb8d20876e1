//! The on-disk format of one log entry in a segment file.

use super::journal_error::DamageFault;
use crate::control::replica::LogEntry;

/// Content length, content checksum and header checksum, 4 bytes each.
pub(super) const RECORD_HEADER_BYTES: usize = 12;

/// The result of parsing the bytes of a segment file from some offset.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ParsedRecord {
    /// An entry and the length of its record in bytes.
    Entry(LogEntry, usize),
    /// There are no more bytes.
    End,
    /// An incomplete record, whose write was interrupted.
    Torn,
    /// A record that does not hold the bytes that were written.
    Damaged(DamageFault),
}

/// Appends the record of an entry to `buffer`; returns `false` if it can't be encoded.
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
    let checksum = header_checksum(&header[..8]);
    header[8..].copy_from_slice(&checksum);
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(&content);
    true
}

/// Parses the record at the start of `bytes`.
///
/// A record that extends past the end of the file is torn. A record of full length with a
/// wrong checksum is damaged, even at the end of the file, since it may have been
/// acknowledged.
pub(super) fn parse_record(bytes: &[u8]) -> ParsedRecord {
    if bytes.is_empty() {
        return ParsedRecord::End;
    }
    // The file system may have extended the file without writing its content.
    if bytes.iter().all(|byte| *byte == 0) {
        return ParsedRecord::Torn;
    }
    let Some((header, rest)) = bytes.split_at_checked(RECORD_HEADER_BYTES) else {
        return ParsedRecord::Torn;
    };
    if header[8..] != header_checksum(&header[..8]) {
        return ParsedRecord::Damaged(DamageFault::Header);
    }
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let Some(content) = rest.get(..length) else {
        return ParsedRecord::Torn;
    };
    if header[4..8] != crc32fast::hash(content).to_le_bytes() {
        return ParsedRecord::Damaged(DamageFault::Content);
    }
    match postcard::from_bytes(content) {
        Ok(entry) => ParsedRecord::Entry(entry, RECORD_HEADER_BYTES + length),
        Err(_) => ParsedRecord::Damaged(DamageFault::Encoding),
    }
}

fn header_checksum(fields: &[u8]) -> [u8; 4] {
    // Zeros must not be a valid header.
    (!crc32fast::hash(fields)).to_le_bytes()
}
