//! Decides which configuration is in force: the highest valid version ever offered.

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
    /// Starts with a first version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] where it breaks a rule.
    pub fn new(first: Config) -> Result<Self> {
        check(&first)?;
        Ok(Self { current: Arc::new(first) })
    }

    /// Returns the version in force.
    pub const fn current(&self) -> &Arc<Config> {
        &self.current
    }

    /// Takes in an offered version; returns whether it came into force.
    ///
    /// A lower version, or the same one again, changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for the same version with other content or another deployment's
    /// version, and [`Error::Invalid`] for a version that breaks a rule. The one in force stays.
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
