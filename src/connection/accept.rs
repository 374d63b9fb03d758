//! Accepts connections until a listener is stopped.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The delay after a failed accept. The usual cause is a lack of file descriptors, which take about
/// this long to become free.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns the next connection, or `None` once `until` is cancelled; `from` names the kind of peer
/// in the log.
pub async fn accept(
    listener: &TcpListener,
    until: &CancellationToken,
    from: &'static str,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = until.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(error) => {
                tracing::warn!(from, %error, "accepting a connection failed; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
