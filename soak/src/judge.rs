//! Decides from what callers and backend servers saw whether the promises were kept.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::callers::{Answer, End, PATIENCE, Sent};
use crate::world::{FLOOR, World, greatest, records};

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
        200 if sent.once => plain(&world.shards, &sent.id, answer).and_then(fault),
        200 => gathered(&world.shards, &sent.id, answer).and_then(fault),
        429 | 502 | 503 | 504 => None,
        _ => fault("a status that no proper request gets"),
    }
}

/// Checks the answer of one server of the first shard.
fn plain(shards: &[String], id: &str, answer: &Answer) -> Option<&'static str> {
    let [signature] = &answer.signatures[..] else {
        return Some("not one signature");
    };
    let words: Vec<&str> = signature.split('/').collect();
    match words[..] {
        [shard, _server, request] if shard == shards[0] && request == id => {
            (answer.body != records(0)).then_some("not the server's body")
        }
        _ => Some("another request's answer"),
    }
}

/// Checks an answer of several shards.
fn gathered(shards: &[String], id: &str, answer: &Answer) -> Option<&'static str> {
    let mut parts = BTreeSet::new();
    for signature in &answer.signatures {
        let words: Vec<&str> = signature.split('/').collect();
        let [shard, _server, request] = words[..] else {
            return Some("a signature that no server made");
        };
        let Some(shard) = shards.iter().position(|known| known == shard) else {
            return Some("a part of no shard");
        };
        if request != id {
            return Some("a part of another request");
        }
        if !parts.insert(shard) {
            return Some("two parts of one shard");
        }
    }
    if parts.len() + answer.missing != shards.len() {
        return Some("the missing parts are not told");
    }
    if (parts.len() as f64) < FLOOR * shards.len() as f64 {
        return Some("too few parts");
    }
    let expected = greatest(parts.into_iter());
    (answer.body != expected).then_some("not the greatest records of its parts")
}

#[cfg(test)]
mod tests;
