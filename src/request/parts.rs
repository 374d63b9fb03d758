//! Collects the received parts, some of them merged by a relay.

use hyper::body::Bytes;
use smallvec::SmallVec;

use super::records::TopRecords;
use crate::connection::exchange::Signature;

/// Parts received together; their merged records can't be separated again.
#[derive(Debug, Clone)]
struct Bundle {
    shards: SmallVec<[usize; 8]>,
    signatures: SmallVec<[Signature; 8]>,
    records: Bytes,
    selected: bool,
}

/// The received parts of one request.
///
/// A shard that was asked twice may be in two bundles. The answer uses bundles that share no shard,
/// larger ones first.
#[derive(Debug, Default)]
pub struct Parts {
    bundles: Vec<Bundle>,
    covered: usize,
}

impl Parts {
    /// Returns how many shards the answer covers so far.
    pub const fn covered(&self) -> usize {
        self.covered
    }

    /// Adds parts received together, unless one of their signatures is already present or a shard
    /// occurs twice among them.
    pub fn add(&mut self, parts: impl IntoIterator<Item = (usize, Signature)>, records: Bytes) {
        let (shards, signatures): (SmallVec<[usize; 8]>, SmallVec<[Signature; 8]>) =
            parts.into_iter().unzip();
        let known = |signature| self.bundles.iter().any(|b| b.signatures.contains(signature));
        let repeated = (1..shards.len()).any(|n| shards[..n].contains(&shards[n]));
        if shards.is_empty() || repeated || signatures.iter().any(known) {
            return;
        }
        let disjoint = self.is_disjoint(&shards);
        self.bundles.push(Bundle { shards, signatures, records, selected: false });
        if disjoint {
            let bundle = self.bundles.last_mut().expect("one was pushed above");
            bundle.selected = true;
            self.covered += bundle.shards.len();
        } else {
            self.select_bundles();
        }
    }

    /// Returns the signatures and the top records of the answer.
    pub fn finish(self, record_count: usize) -> (Vec<Signature>, Bytes) {
        let mut signatures = Vec::with_capacity(self.covered);
        let mut records = TopRecords::new(record_count);
        for bundle in self.bundles.into_iter().filter(|bundle| bundle.selected) {
            signatures.extend(bundle.signatures);
            records.add(&bundle.records);
        }
        (signatures, records.into_bytes())
    }

    fn is_disjoint(&self, shards: &[usize]) -> bool {
        let selected = self.bundles.iter().filter(|bundle| bundle.selected);
        selected.flat_map(|bundle| &bundle.shards).all(|shard| !shards.contains(shard))
    }

    fn select_bundles(&mut self) {
        self.bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.shards.len()));
        self.bundles.iter_mut().for_each(|bundle| bundle.selected = false);
        self.covered = 0;
        for n in 0..self.bundles.len() {
            if self.is_disjoint(&self.bundles[n].shards) {
                self.bundles[n].selected = true;
                self.covered += self.bundles[n].shards.len();
            }
        }
    }
}

#[cfg(test)]
mod tests;
