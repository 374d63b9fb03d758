use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use smallvec::smallvec;
use smol_str::SmolStr;
use tokio_util::codec::Decoder;

use super::{
    Call, CallId, Facts, FactsExtension, ForwardAnswer, ForwardCall, ForwardReply,
    ForwardedRequest, Frame, FrameDecoder, Known, RelayCall, RelayParts, decode, decode_headers,
    encode, encode_headers, write,
};
use crate::ids::{ConfigVersion, Revision};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::position::{Epochs, PlanOrder};
use crate::process::budgets::memory_budget::MemoryBudget;
use crate::process::servers::registry::{Change, Fact};
use crate::process::servers::withheld::{Withheld, WithheldSubject};
use crate::version::plan::PlanDocument;

/// [`Frame`] as builds without epochs define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldFrame {
    Call(RelayCall),
    Parts(RelayParts),
    Cancel(CallId),
    Pull(OldKnown),
    Facts(OldFacts),
}

/// [`Known`] as builds without epochs define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldKnown {
    revision: Revision,
    version: ConfigVersion,
}

/// [`Facts`] as builds without epochs define it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldFacts {
    after: Revision,
    changes: Vec<Change>,
    up_to: Revision,
    plan: Option<PlanDocument>,
    returned_ms_ago: Option<u32>,
}

/// A frame of a kind that has an extension, and the same frame of a build without epochs.
struct Case {
    name: &'static str,
    frame: Frame,
    old: OldFrame,
}

const EPOCHS: Epochs = Epochs { source: 300, plan_series: 2 };

fn changes() -> Vec<Change> {
    vec![
        Change { revision: 41, fact: Fact::Server("s".into(), None) },
        Change { revision: 42, fact: Fact::DomainOut("d".into(), true) },
    ]
}

fn plan() -> PlanDocument {
    PlanDocument { version: 9, ..PlanDocument::default() }
}

fn extension() -> FactsExtension {
    let server = WithheldSubject::Server { id: "s".into(), revision: 41, lost_revision: 90 };
    let domain = WithheldSubject::Domain { domain: "d".into(), lost_revision: 70 };
    FactsExtension {
        epochs: EPOCHS,
        whole: true,
        knows_earlier: true,
        withheld: vec![
            Withheld { subject: server, left_ms: 1_500 },
            Withheld { subject: domain, left_ms: 0 },
        ],
    }
}

fn pull(epochs: Option<Epochs>) -> Case {
    Case {
        name: if epochs.is_some() { "pull with epochs" } else { "pull without epochs" },
        frame: Frame::Pull(Known { revision: 42, version: 9, epochs }),
        old: OldFrame::Pull(OldKnown { revision: 42, version: 9 }),
    }
}

fn facts(extension: Option<FactsExtension>, plan: Option<PlanDocument>) -> Case {
    Case {
        name: match (&extension, &plan) {
            (None, None) => "facts without extension or plan",
            (None, Some(_)) => "facts with a plan and no extension",
            (Some(_), None) => "facts with extension and no plan",
            (Some(_), Some(_)) => "facts with extension and plan",
        },
        frame: Frame::Facts(Facts {
            after: 40,
            changes: changes(),
            up_to: 42,
            plan: plan.clone(),
            returned_ms_ago: Some(700),
            extension,
            pass_on: false,
        }),
        old: OldFrame::Facts(OldFacts {
            after: 40,
            changes: changes(),
            up_to: 42,
            plan,
            returned_ms_ago: Some(700),
        }),
    }
}

fn extended() -> [Case; 3] {
    [pull(Some(EPOCHS)), facts(Some(extension()), None), facts(Some(extension()), Some(plan()))]
}

fn unextended() -> [Case; 3] {
    [pull(None), facts(None, None), facts(None, Some(plan()))]
}

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
fn forwarded_request_and_its_answer_round_trip_unchanged() {
    let forward = Frame::Forward(ForwardCall {
        id: 7,
        plan: PlanOrder { series: 1, version: 3 },
        service: Some("s".into()),
        attempts_made: 1,
        left_ms: 250,
        target_left_ms: 90,
        request: ForwardedRequest::from(&call()),
    });
    let reply = |outcome, more| {
        Frame::Forwarded(ForwardReply { id: 7, outcome, body: vec![1, 2].into(), more })
    };
    let headers = encode_headers(&call().headers);
    assert_eq!(decode_headers(headers.clone()), Some(call().headers));
    let signature = Some("x".into());
    let answer = ForwardAnswer::Reply { status: 200, headers, signature };
    let gathered = ForwardAnswer::Gathered { signatures: vec!["x".into()], missing: 2 };
    let frames = [
        forward,
        reply(Outcome::Answered(answer), true),
        reply(Outcome::Answered(gathered), false),
        reply(Outcome::NotRun(NotRunReason::RateLimited), false),
        reply(Outcome::Unknown(UnknownReason::ConnectionLost), false),
    ];
    for frame in frames {
        assert_eq!(decode(&encode(&frame)), Some(frame));
    }
}

#[test]
fn invalid_frame_is_not_decoded() {
    assert_eq!(decode(&[250, 1, 2]), None);
    assert_eq!(decode(&[]), None);
}

#[test]
fn pulls_and_facts_round_trip_with_and_without_extension() {
    for case in extended().into_iter().chain(unextended()) {
        assert_eq!(decode(&encode(&case.frame)), Some(case.frame), "{}", case.name);
    }
}

// The build before reads the extension, and ignores what follows it.
#[test]
fn facts_to_be_passed_on_round_trip_and_are_readable_by_the_build_before() {
    for case in [facts(Some(extension()), None), facts(Some(extension()), Some(plan()))] {
        let Frame::Facts(facts) = case.frame else { panic!("these are facts") };
        let passed_on = Frame::Facts(Facts { pass_on: true, ..facts.clone() });
        let bytes = encode(&passed_on);
        assert_eq!(decode(&bytes), Some(passed_on), "{}", case.name);
        let (_, rest) = postcard::take_from_bytes::<OldFrame>(&bytes).expect("it is readable");
        assert_eq!(postcard::from_bytes(rest), Ok(extension()), "{}", case.name);
    }
}

// Hosts that are not upgraded yet would get no facts from upgraded ones.
#[test]
fn old_build_does_not_reject_or_misread_frames_with_epochs() {
    for case in extended().into_iter().chain(unextended()) {
        let bytes = encode(&case.frame);
        let read = postcard::from_bytes::<OldFrame>(&bytes);
        assert_eq!(read, Ok(case.old), "{}", case.name);
    }
}

// Upgraded hosts would get no facts from hosts that are not upgraded yet, or invent their epochs.
#[test]
fn new_build_does_not_reject_or_extend_frames_without_epochs() {
    for case in unextended() {
        let bytes = postcard::to_stdvec(&case.old).expect("plain data always serializes");
        assert_eq!(decode(&bytes), Some(case.frame), "{}", case.name);
    }
}

// An extension in the middle of a frame would shift what older builds read after it.
#[test]
fn extension_does_not_change_the_bytes_of_the_base_frame() {
    for case in extended() {
        let base = postcard::to_stdvec(&case.old).expect("plain data always serializes");
        assert!(encode(&case.frame).starts_with(&base), "{}", case.name);
    }
    for case in unextended() {
        let base = postcard::to_stdvec(&case.old).expect("plain data always serializes");
        assert_eq!(encode(&case.frame), base, "{}", case.name);
    }
}

#[test]
fn frame_with_an_incomplete_or_malformed_extension_is_not_decoded() {
    for case in extended() {
        let bytes = encode(&case.frame);
        let base = postcard::to_stdvec(&case.old).expect("plain data always serializes").len();
        for length in base + 1..bytes.len() {
            assert_eq!(decode(&bytes[..length]), None, "{} cut to {length} bytes", case.name);
        }
        // No integer is longer than ten bytes.
        let malformed = [&bytes[..base], &[0xff; 11]].concat();
        assert_eq!(decode(&malformed), None, "{}", case.name);
    }
}

#[test]
fn bytes_after_frames_without_extension_are_ignored() {
    let bytes = [&encode(&Frame::Cancel(7))[..], &[0xff; 11]].concat();
    assert_eq!(decode(&bytes), Some(Frame::Cancel(7)));
}

/// Guards against a body that hosts of the build before can't read: they take it for a list of bytes.
#[test]
fn bodies_are_encoded_as_in_the_build_before() {
    #[derive(serde::Serialize)]
    struct OldRequest {
        method: SmolStr,
        path: SmolStr,
        host: SmolStr,
        request_id: SmolStr,
        headers: Vec<(SmolStr, Vec<u8>)>,
        body: Vec<u8>,
    }
    #[derive(serde::Serialize)]
    struct OldReply {
        id: u32,
        outcome: Outcome<ForwardAnswer>,
        body: Vec<u8>,
        more: bool,
    }
    for length in [0, 1, 127, 128, 70_000] {
        let body: Vec<u8> = (0..length).map(|n: u32| n as u8).collect();
        let call = Call { body: body.clone().into(), ..call() };
        let old = OldRequest {
            method: call.method.as_str().into(),
            path: call.path.clone(),
            host: call.host.clone(),
            request_id: call.request_id.clone(),
            headers: encode_headers(&call.headers),
            body: body.clone(),
        };
        let new = ForwardedRequest::from(&call);
        assert_eq!(postcard::to_stdvec(&new), postcard::to_stdvec(&old), "{length}");
        let outcome = Outcome::NotRun(NotRunReason::Overloaded);
        let old = OldReply { id: 7, outcome: outcome.clone(), body: body.clone(), more: false };
        let new = ForwardReply { id: 7, outcome, body: body.into(), more: false };
        assert_eq!(postcard::to_stdvec(&new), postcard::to_stdvec(&old), "{length}");
    }
}

fn reply_of(length: usize) -> Frame {
    let outcome = Outcome::NotRun(NotRunReason::Overloaded);
    Frame::Forwarded(ForwardReply { id: 7, outcome, body: vec![7; length].into(), more: false })
}

#[tokio::test]
async fn written_frames_are_split_again_however_they_arrive() {
    let frames = [reply_of(0), reply_of(5), reply_of(100_000), reply_of(70_000), reply_of(1)];
    let mut stream = Vec::new();
    for frame in &frames {
        write(&mut stream, frame).await.expect("a list takes all bytes");
    }
    for piece in [1, 1_000, stream.len()] {
        let memory = MemoryBudget::new(1 << 20);
        let mut decoder = FrameDecoder::within(memory.clone());
        let (mut source, mut decoded) = (BytesMut::new(), Vec::new());
        for bytes in stream.chunks(piece) {
            source.extend_from_slice(bytes);
            while let Some(frame) = decoder.decode(&mut source).expect("the frames are valid") {
                decoded.push(decode(&frame).expect("the frame is valid"));
            }
        }
        assert_eq!(decoded, frames, "in pieces of {piece}");
        assert_eq!(memory.used_bytes(), 0, "in pieces of {piece}");
    }
}

/// Guards against frames that are announced, or begun, and fill the memory.
#[test]
fn frame_for_which_there_is_no_memory_is_refused_at_its_length() {
    let memory = MemoryBudget::new(1 << 20);
    let mut decoders: Vec<_> = (0..8).map(|_| FrameDecoder::within(memory.clone())).collect();
    let announced = [2, 240, 0].as_slice();
    let accepts = |decoder: &mut FrameDecoder| decoder.decode(&mut announced.into()).is_ok();
    assert_eq!(decoders.iter_mut().filter_map(|d| accepts(d).then_some(())).count(), 4);
    drop(decoders);
    assert_eq!(memory.used_bytes(), 0);
}
