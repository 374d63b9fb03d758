//! The hosts of the fleet: who is there, who holds which seat, and who does not answer.

pub mod beacon;
pub mod directory;
pub mod gossip;
pub mod lease;
pub mod members;
pub(crate) mod membership_actor;
pub mod pause;
pub mod seats;
pub mod suspicion;
