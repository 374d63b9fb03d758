//! A minimal HTTP/1 client with one request at a time per connection.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::error::{Error, Result};

/// The maximum size of a response body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;

/// A request body that is held in memory.
pub(crate) type Body = Full<Bytes>;

/// Opens an HTTP connection over a stream and runs it in a task of its own.
pub(crate) async fn connect_over<S>(stream: S) -> Result<SendRequest<Body>, hyper::Error>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection ended");
        }
    });
    Ok(sender)
}

/// Builds a request with a JSON body.
pub(crate) fn json_request<T: Serialize>(path: &str, body: &T) -> Request<Body> {
    let bytes = serde_json::to_vec(body).expect("plain data always serializes");
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "quetzalpoint")
        .header("content-type", "application/json")
        .body(Body::new(Bytes::from(bytes)))
        .expect("the path and headers are valid")
}

/// Builds a request without a body.
pub(crate) fn get_request(path: &str) -> Request<Body> {
    Request::builder()
        .uri(path)
        .header("host", "quetzalpoint")
        .body(Body::default())
        .expect("the path and headers are valid")
}

/// Reads a whole body up to [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(response: Response<Incoming>) -> Result<Bytes, String> {
    let limited = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let collected = limited.collect().await.map_err(|e| e.to_string())?;
    Ok(collected.to_bytes())
}

/// Sends one request on a new connection and reads a JSON reply.
///
/// # Errors
///
/// Returns [`Error::Address`] if the connection fails and [`Error::Remote`] if the reply is invalid
/// or does not arrive in time.
pub(crate) async fn call<T: DeserializeOwned>(
    addr: SocketAddr,
    request: Request<Body>,
    timeout: Duration,
) -> Result<(StatusCode, T)> {
    let remote = |why: String| Error::Remote { addr, why };
    let exchange = async {
        let stream =
            TcpStream::connect(addr).await.map_err(|source| Error::Address { addr, source })?;
        let mut sender = connect_over(stream).await.map_err(|e| remote(e.to_string()))?;
        let response = sender.send_request(request).await.map_err(|e| remote(e.to_string()))?;
        let status = response.status();
        let bytes = read_body(response).await.map_err(remote)?;
        let value = serde_json::from_slice(&bytes).map_err(|e| remote(e.to_string()))?;
        Ok((status, value))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(remote(format!("no reply within {} ms", timeout.as_millis()))),
    }
}
