//! What a host knows and believes of backend servers that come and go.

pub mod belief;
pub mod cold;
pub mod extra_budget;
pub mod registry;
pub mod split;
