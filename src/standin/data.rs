//! The rows that stand-in servers hold, computed from the query so that tests can check answers.

use smol_str::{SmolStr, format_smolstr};

use crate::connection::query::{Row, merge_rows};
use crate::ids::{IndexVersion, ShardId};
use crate::version::config::{Kind, stable_hash};

const DATA_SEED: u64 = 0x6461_7461_0000_0001;
/// Rows per shard that match the term of a listing, and of a lookup.
const LISTING_ROWS: u32 = 25;
const LOOKUP_ROWS: u32 = 2;

/// Returns the rows with which one shard answers a query.
pub fn shard_rows(
    kind: Kind,
    shard: ShardId,
    version: IndexVersion,
    term: &str,
    key: &str,
    limit: u32,
) -> Vec<Row> {
    let rows = match kind {
        Kind::Listing => (0..LISTING_ROWS).map(|n| row(shard, version, term, n)).collect(),
        Kind::Lookup => (0..LOOKUP_ROWS).map(|n| row(shard, version, term, n)).collect(),
        Kind::Fetch => vec![key_row(shard, version, "item", key)],
        Kind::Submit => vec![key_row(shard, version, "done", key)],
    };
    merge_rows(rows, limit as usize)
}

/// Returns the index version that the text of a row states.
pub fn version_of(row: &Row) -> Option<IndexVersion> {
    row.text.strip_prefix('v')?.split(' ').next()?.parse().ok()
}

fn row(shard: ShardId, version: IndexVersion, term: &str, n: u32) -> Row {
    let seed = format!("{term}/{shard}/{version}/{n}");
    let hash = stable_hash(DATA_SEED, seed.as_bytes());
    Row {
        shard,
        rank: (hash >> 32).cast_signed(),
        key: format_smolstr!("{term}-{shard}-{n}"),
        text: format_smolstr!("v{version} {term}"),
    }
}

fn key_row(shard: ShardId, version: IndexVersion, what: &str, key: &str) -> Row {
    Row { shard, rank: 0, key: SmolStr::new(key), text: format_smolstr!("v{version} {what} {key}") }
}
