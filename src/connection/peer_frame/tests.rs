use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};
use smallvec::smallvec;

use super::{Call, ForwardedRequest, Frame, RelayCall, decode, encode};

fn call() -> Call {
    let mut headers = HeaderMap::new();
    headers.append("accept", HeaderValue::from_static("a/b"));
    headers.append("accept", HeaderValue::from_bytes(b"\xff").expect("opaque bytes are allowed"));
    Call {
        method: Method::POST,
        path: "/a/b?c=%20d".into(),
        host: "search.example".into(),
        headers,
        body: Bytes::from_static(b"\x00\x01"),
        request_id: "9c41".into(),
    }
}

#[test]
fn relayed_request_round_trips_unchanged() {
    let frame = Frame::Call(RelayCall {
        id: 7,
        version: 3,
        route: "r".into(),
        shards: smallvec![0, 19],
        insists: false,
        pace_us: 0,
        left_ms: 250,
        request: ForwardedRequest::from(&call()),
    });
    let bytes = encode(&frame);
    assert!(bytes.len() < 120, "{} bytes", bytes.len());
    let Some(Frame::Call(arrived)) = decode(&bytes) else { panic!("it is a call") };
    let (arrived, sent) = (arrived.request.into_call().expect("it is a request"), call());
    assert_eq!(arrived.headers, sent.headers);
    assert_eq!((arrived.method, arrived.path, arrived.host), (sent.method, sent.path, sent.host));
    assert_eq!((arrived.body, arrived.request_id), (sent.body, sent.request_id));
}

#[test]
fn invalid_frame_is_not_decoded() {
    assert_eq!(decode(&[250, 1, 2]), None);
    assert_eq!(decode(&[]), None);
}
