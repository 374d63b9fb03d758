//! Sleeps until an optional instant.

use tokio::time::Instant;

/// Sleeps until `at`, or forever if it is `None`.
pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
