//! The parts that are in, some of them merged by a relay.

use hyper::body::Bytes;
use smallvec::SmallVec;

use super::records::TopRecords;
use crate::connection::exchange::Signature;

/// Parts that came together; their records can't be told apart any more.
#[derive(Debug, Clone)]
struct Bundle {
    shards: SmallVec<[usize; 8]>,
    signatures: SmallVec<[Signature; 8]>,
    records: Bytes,
    chosen: bool,
}

/// All parts of one request that are in.
///
/// A shard that was asked twice may be in two bundles; the answer is made of bundles that share
/// no shard, the greater ones first.
#[derive(Debug, Default)]
pub struct Parts {
    bundles: Vec<Bundle>,
    covered: usize,
}

impl Parts {
    /// Returns how many shards the answer would cover.
    pub const fn covered(&self) -> usize {
        self.covered
    }

    /// Adds parts that came together, unless they bear a signature that is in already.
    pub fn add(&mut self, parts: impl IntoIterator<Item = (usize, Signature)>, records: Bytes) {
        let (shards, signatures): (SmallVec<[usize; 8]>, SmallVec<[Signature; 8]>) =
            parts.into_iter().unzip();
        let known = |signature| self.bundles.iter().any(|b| b.signatures.contains(signature));
        if shards.is_empty() || signatures.iter().any(known) {
            return;
        }
        let fresh = self.is_free(&shards);
        self.bundles.push(Bundle { shards, signatures, records, chosen: false });
        if fresh {
            let bundle = self.bundles.last_mut().expect("one was pushed above");
            bundle.chosen = true;
            self.covered += bundle.shards.len();
        } else {
            self.choose();
        }
    }

    /// Returns the signatures and the greatest records of the answer.
    pub fn finish(self, record_count: usize) -> (Vec<Signature>, Bytes) {
        let mut signatures = Vec::with_capacity(self.covered);
        let mut records = TopRecords::new(record_count);
        for bundle in self.bundles.into_iter().filter(|bundle| bundle.chosen) {
            signatures.extend(bundle.signatures);
            records.add(&bundle.records);
        }
        (signatures, records.into_bytes())
    }

    fn is_free(&self, shards: &[usize]) -> bool {
        let chosen = self.bundles.iter().filter(|bundle| bundle.chosen);
        chosen.flat_map(|bundle| &bundle.shards).all(|shard| !shards.contains(shard))
    }

    fn choose(&mut self) {
        self.bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.shards.len()));
        self.bundles.iter_mut().for_each(|bundle| bundle.chosen = false);
        self.covered = 0;
        for n in 0..self.bundles.len() {
            if self.is_free(&self.bundles[n].shards) {
                self.bundles[n].chosen = true;
                self.covered += self.bundles[n].shards.len();
            }
        }
    }
}

#[cfg(test)]
mod tests;
