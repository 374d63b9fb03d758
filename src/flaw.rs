//! Deliberate faults, which exist only in tests, to show that the checks can fail.

/// Tells whether a deliberate fault is switched on; never outside tests.
macro_rules! flawed {
    ($flaw:ident) => {{
        #[cfg(test)]
        {
            crate::stateful::flaw::is_on(crate::stateful::flaw::Flaw::$flaw)
        }
        #[cfg(not(test))]
        {
            false
        }
    }};
}

pub(crate) use flawed;
