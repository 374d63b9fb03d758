use std::convert::Infallible;
use std::time::Duration;

use futures::stream::{self, StreamExt};
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};
use tokio::time::{Instant, advance};

use super::{BodyError, receive};
use crate::process::clients::{ClientKind, Clients, MachineLimits};

const MAX_BODY_BYTES: usize = 256 << 10;
const MACHINE: MachineLimits = MachineLimits { memory_bytes: 16 << 20, descriptors: 400 };
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a body of `count` frames, each a part of a buffer of its own, which then ends or not.
fn body(
    frame_bytes: usize,
    count: usize,
    ends: bool,
) -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    const READ_BUFFER_BYTES: usize = 8 << 10;
    let frame = move |_| Bytes::from(vec![7; READ_BUFFER_BYTES]).slice(..frame_bytes);
    let frames = stream::iter(0..count).map(frame).map(|data| Ok(Frame::data(data)));
    let rest = if ends { stream::empty().left_stream() } else { stream::pending().right_stream() };
    StreamBody::new(frames.chain(rest))
}

#[tokio::test(start_paused = true)]
async fn bodies_are_received_within_their_limits() {
    struct Case {
        name: &'static str,
        frame_bytes: usize,
        count: usize,
        ends: bool,
        received: Result<usize, BodyError>,
    }
    let cases = [
        Case { name: "empty", frame_bytes: 1, count: 0, ends: true, received: Ok(0) },
        Case {
            name: "longest in the smallest frames",
            frame_bytes: 1,
            count: MAX_BODY_BYTES,
            ends: true,
            received: Ok(MAX_BODY_BYTES),
        },
        Case {
            name: "too long by one byte",
            frame_bytes: 1,
            count: MAX_BODY_BYTES + 1,
            ends: true,
            received: Err(BodyError::TooLong),
        },
        Case {
            name: "without end",
            frame_bytes: 100,
            count: 10,
            ends: false,
            received: Err(BodyError::TimedOut),
        },
    ];
    for Case { name, frame_bytes, count, ends, received } in cases {
        let clients = Clients::new(MACHINE);
        let registered = clients.register(ClientKind::Caller).expect("there is room");
        let before = clients.requests.used_bytes();
        let deadline = Instant::now() + TIMEOUT;
        let body = body(frame_bytes, count, ends);
        let connection = registered.connection();
        let result = receive(body, MAX_BODY_BYTES, deadline, &clients, connection).await;
        assert_eq!(result.as_ref().map(Bytes::len).map_err(|error| *error), received, "{name}");
        drop(result);
        assert_eq!(clients.requests.used_bytes(), before, "{name}");
    }
}

/// Guards against bodies whose frames keep whole read buffers in memory that nobody counts.
#[tokio::test(start_paused = true)]
async fn memory_of_a_body_follows_from_its_length() {
    let clients = Clients::new(MACHINE);
    let registered = clients.register(ClientKind::Caller).expect("there is room");
    let before = clients.requests.used_bytes();
    let deadline = Instant::now() + TIMEOUT;
    let body = body(16, 1_000, true);
    let body = receive(body, MAX_BODY_BYTES, deadline, &clients, registered.connection()).await;
    let held = clients.requests.used_bytes() - before;
    let length = body.expect("it is received").len();
    assert!((length..=2 * length).contains(&held), "{held} bytes for {length}");
}

#[tokio::test(start_paused = true)]
async fn body_is_refused_when_its_connection_must_make_room() {
    let clients = Clients::new(MACHINE);
    let registered = clients.register(ClientKind::Caller).expect("there is room");
    let deadline = Instant::now() + TIMEOUT;
    let body = body(16, 10, false);
    let displace = async {
        tokio::task::yield_now().await;
        advance(TIMEOUT / 2).await;
        clients.relieve_requests();
    };
    let connection = registered.connection();
    let received = receive(body, MAX_BODY_BYTES, deadline, &clients, connection);
    let (received, ()) = tokio::join!(received, displace);
    assert_eq!(received, Err(BodyError::NoMemory));
}
