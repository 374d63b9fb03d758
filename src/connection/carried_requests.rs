//! The requests that a connection to a backend server has carried without a final answer.
//!
//! A server may send a reply once more, at the point where the next one is expected. The echoed
//! identifier tells such a copy from the reply to another request, but not from the reply to the
//! same request if it is sent again. No request is therefore sent twice on one connection. Requests
//! with a final answer are not sent again and need not be remembered.

use smallvec::SmallVec;

use crate::version::config::stable_hash;

/// A connection that carries more requests than this without a final answer is not used again.
const CAPACITY: usize = 64;
/// The seed of the hash by which requests are remembered.
const REQUEST_SEED: u64 = 0x7175_6574_7a61_6c08;

/// The requests that a connection has carried without a final answer, by a hash of their
/// identifiers. Two requests with the same hash cost a new connection.
#[derive(Debug, Clone, Default)]
pub struct CarriedRequests(SmallVec<[u64; 2]>);

impl CarriedRequests {
    /// Records a request that the connection carried.
    pub fn record(&mut self, request: &str) {
        self.0.push(hash(request));
    }

    /// Tells whether the connection may carry a request.
    pub fn allows(&self, request: &str) -> bool {
        !self.is_full() && !self.0.contains(&hash(request))
    }

    /// Tells whether the connection can't remember any further request.
    pub fn is_full(&self) -> bool {
        self.0.len() >= CAPACITY
    }
}

fn hash(request: &str) -> u64 {
    stable_hash(REQUEST_SEED, request.as_bytes())
}

#[cfg(test)]
mod tests;
