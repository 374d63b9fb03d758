//! Fault injection for tests: deliberate faults show that the tests' checks can fail.

/// Returns whether a deliberate fault is enabled. It is always `false` outside of tests.
macro_rules! flawed {
    ($flaw:ident) => {{
        #[cfg(test)]
        {
            crate::stateful::injected_fault::is_active(
                crate::stateful::injected_fault::InjectedFault::$flaw,
            )
        }
        #[cfg(not(test))]
        {
            false
        }
    }};
}

pub(crate) use flawed;
