//! A timer that may not be set.

use tokio::time::Instant;

/// Sleeps until a time, or for ever where there is none.
pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
