//! The hosts of the fleet, which find each other through seeds and gossip.

pub mod beacon;
pub mod directory;
pub mod members;
