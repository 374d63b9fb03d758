//! Merges the records of parts and keeps the greatest.

use hyper::body::Bytes;

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The greatest records of all added parts; duplicates are kept.
#[derive(Debug, Clone)]
pub struct TopRecords {
    keep: usize,
    records: Vec<Record>,
}

impl TopRecords {
    /// Creates an empty collection that keeps at most `keep` records.
    pub const fn new(keep: usize) -> Self {
        Self { keep, records: Vec::new() }
    }

    /// Adds the records of a part and ignores a trailing incomplete record.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _remainder) = part.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(records);
        if self.records.len() > self.keep * 8 {
            self.keep_greatest();
        }
    }

    /// Returns the kept records, greatest first.
    pub fn into_bytes(mut self) -> Bytes {
        self.keep_greatest();
        Bytes::from(self.records.into_flattened())
    }

    fn keep_greatest(&mut self) {
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.keep);
    }
}

#[cfg(test)]
mod tests;
