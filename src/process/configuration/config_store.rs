//! Keeps the configuration in force: the highest valid version offered so far.

use std::sync::Arc;

use crate::error::{Error, Result};
use crate::flaw::flawed;
use crate::version::check::check;
use crate::version::config::Config;

/// The configuration in force in this process.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    current: Arc<Config>,
}

impl ConfigStore {
    /// Creates a store with an initial configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if the configuration breaks a rule.
    pub fn new(first: Config) -> Result<Self> {
        check(&first)?;
        Ok(Self { current: Arc::new(first) })
    }

    /// Returns the configuration in force.
    pub const fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// Adopts an offered configuration if its version is higher than the one in force; returns
    /// whether it did.
    ///
    /// A lower version, or the same configuration again, changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the same version has different content or the configuration
    /// belongs to another deployment, and [`Error::Invalid`] if it breaks a rule. The configuration
    /// in force is then unchanged.
    pub fn offer(&mut self, offered: Config) -> Result<bool> {
        let refused = |why: &str| Error::Refused {
            offered: offered.version,
            in_force: self.current.version,
            why: why.to_owned(),
        };
        if offered.fleet.deployment != self.current.fleet.deployment {
            return Err(refused("it belongs to another deployment"));
        }
        if offered.version < self.current.version && !flawed!(ConfigReverts) {
            return Ok(false);
        }
        if offered.version == self.current.version {
            return if offered == *self.current {
                Ok(false)
            } else {
                Err(refused(
                    "the same version was accepted with other content; publish a higher one",
                ))
            };
        }
        check(&offered)?;
        self.current = Arc::new(offered);
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
