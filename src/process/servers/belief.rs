//! What this host believes of each backend server, from its own requests alone.
//!
//! Health answers play no part: they are false at times, either way. A server with overdue
//! requests is *stalled* until it answers; one that fails much gets occasional trial requests
//! only. See `docs/PLATFORM.md`, section "Choice of server".

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::version::plan::RouteId;

/// A request is overdue after this many times its expected time; pauses of servers last ten
/// times as long as usual requests, while nine in ten requests end within twice the usual time.
const OVERDUE_FACTOR: f64 = 2.2;
/// No request is overdue sooner than this, since a timer and a switch of domains take as long.
const MIN_OVERDUE: Duration = Duration::from_millis(12);
/// Half of what is known of a server's speed or failures is forgotten in this time, so that a
/// server that was slow is tried again.
const FORGET_HALF: Duration = Duration::from_millis(2_500);
/// The weight of a reply that is slower than believed.
const SLOWER_WEIGHT: f64 = 0.4;
/// The weight of a reply that is faster than believed.
const FASTER_WEIGHT: f64 = 0.15;
/// The weight of one failure among the others.
const FAILURE_WEIGHT: f64 = 0.3;
/// A server that fails more than this share gets trial requests only.
const FAILING_SHARE: f64 = 0.55;
/// The pause after a failure to connect, and its upper bound when it is doubled.
const FIRST_AVOID: Duration = Duration::from_millis(200);
const MAX_AVOID: Duration = Duration::from_millis(1_600);
/// A server whose address another one has gets nothing for this time, in which its entry lapses; a
/// server that starts again under its name is used again after it.
const REPLACED_FOR: Duration = Duration::from_millis(2_000);
/// The pause after another host declined to send to a server: about a pause of a server, after
/// which the other host is asked again.
const DECLINED_FOR: Duration = Duration::from_millis(150);
/// The share of the latency target that a request takes before any has been seen.
const UNSEEN_SHARE_OF_TARGET: f64 = 0.2;
/// The weight of one reply in a route's typical time.
const TYPICAL_STEP: f64 = 0.04;

/// Names one attempt that is waited for.
pub type Ticket = u64;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole reply came after this time.
    Answered(Duration),
    /// The server refused it for want of room.
    Shed,
    /// The reply was broken, or an error.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Another server answered at its address.
    Replaced,
    /// It was given up without a reply.
    Abandoned,
    /// It was never handed to the server, for reasons of this host.
    NotSent,
}

/// What is believed of a server at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// The expected time to a reply.
    pub expected: Duration,
    /// Attempts of this host that wait for the server.
    pub in_flight: usize,
    /// It is silent for longer than its requests should take.
    pub stalled: bool,
    /// It should get no work for now.
    pub avoided: bool,
    /// Another server has its address.
    pub replaced: bool,
    /// A host that is nearer to it would not send to it a moment ago.
    pub declined: bool,
}

impl Standing {
    /// Tells whether nothing speaks against the server itself.
    pub const fn is_working(&self) -> bool {
        !self.stalled && !self.avoided
    }

    /// Tells whether nothing speaks against sending to it.
    pub const fn is_sound(&self) -> bool {
        self.is_working() && !self.replaced && !self.declined
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    sent_at: Monotonic,
    overdue_at: Monotonic,
}

#[derive(Debug, Clone)]
struct Belief {
    waiting: SmallVec<[Waiting; 4]>,
    heard_at: Monotonic,
    slowness: f64,
    failing: f64,
    as_of: Monotonic,
    avoid_until: Monotonic,
    avoid_step: Duration,
    declined_until: Monotonic,
    replaced_until: Monotonic,
    used_at: Monotonic,
}

impl Belief {
    fn new(now: Monotonic) -> Self {
        Self {
            waiting: SmallVec::new(),
            heard_at: Monotonic::ZERO,
            slowness: 1.0,
            failing: 0.0,
            as_of: now,
            avoid_until: Monotonic::ZERO,
            avoid_step: FIRST_AVOID,
            declined_until: Monotonic::ZERO,
            replaced_until: Monotonic::ZERO,
            used_at: now,
        }
    }

    fn fade(&mut self, now: Monotonic) {
        let (slowness, failing) = self.faded(now);
        self.slowness = slowness;
        self.failing = failing;
        self.as_of = now;
    }

    fn faded(&self, now: Monotonic) -> (f64, f64) {
        let halves = now.saturating_sub(self.as_of).as_secs_f64() / FORGET_HALF.as_secs_f64();
        let keep = 0.5_f64.powf(halves);
        ((self.slowness - 1.0).mul_add(keep, 1.0), self.failing * keep)
    }

    fn is_stalled(&self, now: Monotonic) -> bool {
        self.waiting.iter().any(|w| {
            let patience = w.overdue_at.saturating_sub(w.sent_at);
            now > w.overdue_at && now.saturating_sub(self.heard_at) > patience
        })
    }

    fn avoid(&mut self, now: Monotonic) {
        self.avoid_until = now + self.avoid_step;
        self.avoid_step = (self.avoid_step * 2).min(MAX_AVOID);
    }
}

/// The beliefs of one host.
#[derive(Debug, Default)]
pub struct Beliefs {
    servers: HashMap<ServerId, Belief>,
    typical: HashMap<RouteId, Duration>,
    next_ticket: Ticket,
}

impl Beliefs {
    /// Returns the usual time of a route's attempts.
    pub fn typical(&self, route: &str, latency_target: Duration) -> Duration {
        let unseen = || latency_target.mul_f64(UNSEEN_SHARE_OF_TARGET);
        self.typical.get(route).copied().unwrap_or_else(unseen)
    }

    /// Returns how many times the usual time a server takes, if it was used before.
    pub fn slowness(&self, now: Monotonic, server: &str) -> Option<f64> {
        self.servers.get(server).map(|belief| belief.faded(now).0)
    }

    /// Returns how long an attempt may take before it is overdue.
    pub fn patience(expected: Duration) -> Duration {
        expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE)
    }

    /// Returns what is believed of a server that works on `slots` requests at a time.
    pub fn standing(
        &self,
        now: Monotonic,
        server: &str,
        slots: u32,
        typical: Duration,
    ) -> Standing {
        let Some(belief) = self.servers.get(server) else {
            return Standing {
                expected: typical,
                in_flight: 0,
                stalled: false,
                avoided: false,
                replaced: false,
                declined: false,
            };
        };
        let (slowness, failing) = belief.faded(now);
        let in_flight = belief.waiting.len();
        let rounds = ((in_flight + 1) as f64 / f64::from(slots.max(1))).max(1.0);
        let stalled = belief.is_stalled(now);
        let trial_only = failing > FAILING_SHARE && in_flight > 0;
        Standing {
            expected: typical.mul_f64(slowness * rounds * 4.0_f64.mul_add(failing, 1.0)),
            in_flight,
            stalled,
            avoided: now < belief.avoid_until || trial_only,
            replaced: now < belief.replaced_until,
            declined: now < belief.declined_until,
        }
    }

    /// Takes in that an attempt is under way whose reply is expected after `expected`.
    pub fn on_sent(&mut self, now: Monotonic, server: &ServerId, expected: Duration) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), Belief::new(now));
        }
        let belief = self.servers.get_mut(server).expect("it was inserted above");
        let overdue_at = now + Self::patience(expected);
        belief.waiting.push(Waiting { ticket, sent_at: now, overdue_at });
        belief.used_at = now;
        ticket
    }

    /// Takes in that a server has not answered while others that were asked the same have.
    pub fn on_overdue(&mut self, now: Monotonic, server: &str) {
        if let Some(belief) = self.servers.get_mut(server)
            && let Some(oldest) = belief.waiting.first_mut()
        {
            oldest.overdue_at = oldest.overdue_at.min(now);
        }
    }

    /// Takes in that another host, which knows the server better, would not send to it now.
    pub fn on_declined(&mut self, now: Monotonic, server: &ServerId) {
        let belief = self.servers.entry(server.clone()).or_insert_with(|| Belief::new(now));
        belief.declined_until = now + DECLINED_FOR;
    }

    /// Takes in how long a reply took and how long the same request takes usually.
    pub fn on_speed(&mut self, now: Monotonic, server: &str, took: Duration, usual: Duration) {
        if let Some(belief) = self.servers.get_mut(server) {
            belief.fade(now);
            Self::note_speed(belief, took, usual);
        }
    }

    /// Takes in the end of an attempt; returns whether the server is newly avoided. `usual` is how
    /// long this request takes at a server, where that is known.
    pub fn on_end(
        &mut self,
        now: Monotonic,
        server: &str,
        ticket: Ticket,
        usual: Option<Duration>,
        end: AttemptEnd,
    ) -> bool {
        let Some(belief) = self.servers.get_mut(server) else {
            return false;
        };
        let sent_at = belief.waiting.iter().find(|w| w.ticket == ticket).map(|w| w.sent_at);
        belief.waiting.retain(|w| w.ticket != ticket);
        belief.fade(now);
        match end {
            AttemptEnd::Answered(took) => {
                belief.heard_at = now;
                belief.failing *= 1.0 - FAILURE_WEIGHT;
                belief.avoid_step = FIRST_AVOID;
                belief.avoid_until = Monotonic::ZERO;
                if let Some(usual) = usual {
                    Self::note_speed(belief, took, usual);
                }
                false
            }
            AttemptEnd::Shed => {
                belief.heard_at = now;
                Self::note_failure(belief, now)
            }
            AttemptEnd::Failed => Self::note_failure(belief, now),
            AttemptEnd::Unreachable => {
                belief.failing += (1.0 - belief.failing) * FAILURE_WEIGHT;
                belief.avoid(now);
                true
            }
            AttemptEnd::Replaced => {
                belief.replaced_until = now + REPLACED_FOR;
                true
            }
            AttemptEnd::Abandoned => {
                let waited = now.saturating_sub(sent_at.unwrap_or(now));
                let Some(usual) = usual.filter(|usual| waited > *usual) else {
                    return false;
                };
                Self::note_speed(belief, waited, usual);
                let silent =
                    belief.heard_at < sent_at.unwrap_or(now) && waited > Self::patience(usual) * 2;
                if silent {
                    belief.avoid(now);
                }
                silent
            }
            AttemptEnd::NotSent => false,
        }
    }

    /// Takes in how long a request took at a usual server, for the route's typical time, which
    /// follows the median.
    pub fn on_request(&mut self, route: &RouteId, took: Duration, latency_target: Duration) {
        let unseen = latency_target.mul_f64(UNSEEN_SHARE_OF_TARGET);
        if !self.typical.contains_key(route) {
            self.typical.insert(route.clone(), unseen);
        }
        let typical = self.typical.get_mut(route).expect("it was inserted above");
        let step = 1.0 + TYPICAL_STEP;
        *typical = if took > *typical { typical.mul_f64(step) } else { typical.div_f64(step) };
        *typical = (*typical).max(Duration::from_micros(200));
    }

    /// Forgets servers that were not used for a while.
    pub fn forget_unused(&mut self, now: Monotonic, unused_for: Duration) {
        self.servers.retain(|_, belief| {
            !belief.waiting.is_empty() || now.saturating_sub(belief.used_at) < unused_for
        });
    }

    fn note_speed(belief: &mut Belief, took: Duration, typical: Duration) {
        let ratio = (took.as_secs_f64() / typical.as_secs_f64().max(1e-6)).clamp(0.2, 20.0);
        let weight = if ratio > belief.slowness { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        belief.slowness += (ratio - belief.slowness) * weight;
    }

    fn note_failure(belief: &mut Belief, now: Monotonic) -> bool {
        belief.failing += (1.0 - belief.failing) * FAILURE_WEIGHT;
        let failing = belief.failing > FAILING_SHARE;
        if failing {
            belief.avoid(now);
        }
        failing
    }
}

#[cfg(test)]
mod tests;
