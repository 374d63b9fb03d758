//! Merges the records of parts into the greatest few.

use hyper::body::Bytes;

/// The length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

type Record = [u8; RECORD_BYTES];

/// The greatest records of the parts added so far; equal ones all count.
#[derive(Debug, Clone)]
pub struct TopRecords {
    keep: usize,
    records: Vec<Record>,
}

impl TopRecords {
    /// Starts without records; `keep` bounds what is kept.
    pub const fn new(keep: usize) -> Self {
        Self { keep, records: Vec::new() }
    }

    /// Adds the records of a part; a remainder that is shorter than a record is none.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _remainder) = part.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(records);
        if self.records.len() > self.keep * 8 {
            self.cut();
        }
    }

    /// Returns the kept records, greatest first.
    pub fn into_bytes(mut self) -> Bytes {
        self.cut();
        Bytes::from(self.records.into_flattened())
    }

    fn cut(&mut self) {
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.keep);
    }
}

#[cfg(test)]
mod tests;
