//! Describes which shards an answer covers, in a form that stays short for many shards.

use std::collections::BTreeMap;
use std::fmt::Write;

use smol_str::SmolStr;

use crate::derive::data;
use crate::ids::ShardId;

data! {
    /// The shards that an answer covers.
    pub struct Coverage {
        /// The number of shards of the pinned index version that the request needs.
        pub shards: u32,
        /// The number of shards whose verified reply is in the answer.
        pub answered: u32,
        /// The missing shards, grouped by reason.
        pub missing: Vec<Missing>,
    }

    /// Shards that are missing for one reason.
    pub struct Missing {
        /// The reason.
        pub reason: SmolStr,
        /// The number of shards.
        pub count: u32,
        /// The shard numbers as ranges, such as `0-3,7`.
        pub shards: String,
    }
}

impl Coverage {
    /// Creates the coverage from the missing shards and their reasons.
    pub fn new(shards: u32, missing: impl IntoIterator<Item = (ShardId, SmolStr)>) -> Self {
        let mut by_reason: BTreeMap<SmolStr, Vec<ShardId>> = BTreeMap::new();
        for (shard, reason) in missing {
            by_reason.entry(reason).or_default().push(shard);
        }
        let missing: Vec<Missing> = by_reason
            .into_iter()
            .map(|(reason, mut list)| {
                list.sort_unstable();
                list.dedup();
                let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
                Missing { reason, count, shards: ranges(&list) }
            })
            .collect();
        let absent: u32 = missing.iter().map(|m| m.count).sum();
        Self { shards, answered: shards.saturating_sub(absent), missing }
    }

    /// Returns the covered share in thousandths (permille).
    pub fn permille(&self) -> u32 {
        (self.answered * 1_000).checked_div(self.shards).unwrap_or(1_000)
    }
}

/// Formats sorted shard numbers as ranges.
fn ranges(sorted: &[ShardId]) -> String {
    let mut text = String::new();
    let mut rest = sorted;
    while let Some((&first, _)) = rest.split_first() {
        let run = rest.iter().zip(first..).take_while(|(a, b)| **a == *b).count();
        let last = rest[run - 1];
        if !text.is_empty() {
            text.push(',');
        }
        let written =
            if run == 1 { write!(text, "{first}") } else { write!(text, "{first}-{last}") };
        written.expect("writing to a string always succeeds");
        rest = &rest[run..];
    }
    text
}

#[cfg(test)]
mod tests;
