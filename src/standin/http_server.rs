//! A minimal HTTP/1 server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

pub(crate) type Reply = Response<Full<Bytes>>;

/// Accepts the next connection; returns `None` once the server is stopped or accepting fails.
pub(crate) async fn accept(
    listener: &TcpListener,
    stopped: &CancellationToken,
) -> Option<TcpStream> {
    tokio::select! {
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = stopped.cancelled() => None,
    }
}

/// Serves one connection until it ends or `closed` is cancelled.
pub(crate) async fn serve<F>(
    stream: TcpStream,
    closed: CancellationToken,
    handle: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let reply = handle(request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    tokio::select! {
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        () = closed.cancelled() => {}
    }
}

pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    raw_json(status, serde_json::to_vec(body).expect("plain data always serializes"))
}

pub(crate) fn raw_json(status: StatusCode, body: Vec<u8>) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the status and headers are valid")
}

pub(crate) fn not_found() -> Reply {
    json(StatusCode::NOT_FOUND, &"no such path")
}

pub(crate) async fn body_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
