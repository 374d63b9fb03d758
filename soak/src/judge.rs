//! Decides from what callers and backend servers saw whether the promises were kept.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::callers::{Answer, End, PATIENCE, Sent};
use crate::world::{FLOOR, World, greatest};

/// How much later than its deadline an answer may come on a shared machine.
const SLACK: Duration = Duration::from_millis(500);
/// A disturbance may have held up a request this long before or after it.
const AROUND: Duration = Duration::from_millis(500);
/// The statuses that promise that a request did not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// The least share of the requests that is answered in the calm end of a run.
const SERVED_AT_END: f64 = 0.95;

/// Returns each broken promise; `calm_from` is when service must be back.
pub fn judge(world: &World, seen: &[Sent], calm_from: Instant) -> Vec<String> {
    let mut broken: Vec<String> = seen.iter().filter_map(|sent| one(world, sent)).collect();
    let calm: Vec<&Sent> = seen.iter().filter(|sent| sent.sent_at >= calm_from).collect();
    let served = |sent: &&&Sent| matches!(&sent.end, End::Answered(answer) if answer.status == 200);
    let count = calm.iter().filter(served).count();
    if calm.is_empty() || (count as f64) < calm.len() as f64 * SERVED_AT_END {
        broken.push(format!("at the end {count} of {} requests were served", calm.len()));
    }
    broken
}

fn one(world: &World, sent: &Sent) -> Option<String> {
    let fault = |what: &str| Some(format!("{}: {what}: {:?}", sent.id, sent.end));
    let runs = world.shards.iter().map(|shard| world.ledger.runs(shard, &sent.id)).sum::<u32>();
    if sent.once && runs > 1 {
        return fault("ran more than once");
    }
    let host = world.hosts.iter().find(|host| sent.host.ip() == host.ip);
    let disturbed = host.is_none_or(|host| {
        let from = sent.sent_at.checked_sub(AROUND).unwrap_or(sent.sent_at);
        host.was_disturbed(from, sent.ended_at + AROUND)
    });
    let answer = match &sent.end {
        End::Answered(answer) => answer,
        End::Closed if !disturbed && runs > 0 => {
            return fault("ran, and the connection was closed");
        }
        End::Silent if !disturbed => return fault("no answer"),
        End::Closed | End::Silent => return None,
    };
    if sent.once && runs > 0 && NOT_RUN.contains(&answer.status) {
        return fault("ran, although the answer says not");
    }
    if !disturbed && sent.ended_at - sent.sent_at > PATIENCE + SLACK {
        return fault("answered late");
    }
    match answer.status {
        200 if !sent.once => {
            gathered(&world.shards, &sent.id, answer).and_then(|what| fault(&what))
        }
        200 | 429 | 502 | 503 | 504 => None,
        _ => fault("a status that no proper request gets"),
    }
}

/// Checks an answer of several shards.
fn gathered(shards: &[String], id: &str, answer: &Answer) -> Option<String> {
    let mut parts = BTreeSet::new();
    for signature in &answer.signatures {
        let mut words = signature.split('/');
        let (shard, _server, request) = (words.next()?, words.next()?, words.next()?);
        let Some(shard) = shards.iter().position(|known| known == shard) else {
            return Some("a part of no shard".into());
        };
        if request != id {
            return Some("a part of another request".into());
        }
        if !parts.insert(shard) {
            return Some("two parts of one shard".into());
        }
    }
    if parts.len() + answer.missing != shards.len() {
        return Some("the missing parts are not told".into());
    }
    if (parts.len() as f64) < FLOOR * shards.len() as f64 {
        return Some("too few parts".into());
    }
    let expected = greatest(parts.into_iter());
    (answer.body != expected).then(|| "not the greatest records of its parts".into())
}

#[cfg(test)]
mod tests;
