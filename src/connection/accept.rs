//! Accepts connections for as long as a listener is wanted.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The pause after a connection could not be accepted, mostly for want of descriptors, which take
/// about as long to come back.
const RETRY: Duration = Duration::from_millis(50);

/// Returns the next connection, or `None` once `until` is set; `from` names in the log whose
/// connection could not be accepted.
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
                tracing::warn!(from, %error, "connection not accepted");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}
