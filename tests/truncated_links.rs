//! Connections between daemons that end in the middle of an answer.

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fleet::{Fleet, document, plan, until};
use gypsumtack::codec;
use gypsumtack::envelope::{ReachedService, Report, RequestId};
use gypsumtack::member::Record;
use gypsumtack::message::Answer;
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack_standin::caller::CallerRequest;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of bytes that pass while no connection is to be cut.
const UNCUT: usize = usize::MAX;

/// Forwards connections to a daemon. Once armed, it ends the next one that answers after so many bytes.
#[derive(Clone)]
struct Cutter {
    left: Arc<AtomicUsize>,
}

impl Cutter {
    async fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cutter = Self { left: Arc::new(AtomicUsize::new(UNCUT)) };
        let forwarding = cutter.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else { continue };
                tokio::spawn(forwarding.clone().forward(stream, server));
            }
        });
        (cutter, address)
    }

    async fn forward(self, client: TcpStream, server: TcpStream) {
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let requests =
            tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_server).await });
        let mut buffer = [0; 1 << 16];
        while let Ok(count @ 1..) = from_server.read(&mut buffer).await {
            let left = self.left.load(Ordering::Acquire);
            let passed = count.min(left);
            if to_client.write_all(&buffer[..passed]).await.is_err() {
                break;
            }
            if left != UNCUT {
                self.left.store(left - passed, Ordering::Release);
            }
            if passed < count {
                self.left.store(UNCUT, Ordering::Release);
                break;
            }
        }
        requests.abort();
    }
}

/// Starts a VM with an instance and one that reaches it over a [`Cutter`].
async fn start() -> (Fleet, Cutter) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet.add("a", plan("front", 8, 1, &[])).await;
    fleet.settle(&["deep", "front"]).await;
    let record = fleet.nodes[0].daemon.board().record();
    let (cutter, peers) = Cutter::start(record.peers).await;
    let board = fleet.nodes[1].daemon.board();
    let record = Record { peers, counter: 1_000_000, ..record };
    assert!(board.update_view(|view, now| view.merge(record, now)));
    (fleet, cutter)
}

/// Guards against an answer that counts as whole although its connection ended before it did.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_between_daemons_is_no_success() {
    let (fleet, cutter) = start().await;
    let ask = async |method: &str, at: usize| {
        let request = match method {
            "GET" => CallerRequest::get("/deep"),
            _ => CallerRequest::post("/sign", "x".into())
                .header(HeaderName::from_static("idempotency-key"), &format!("k{at}")),
        };
        fleet.ask(1, request.key("acme-key")).await
    };
    let mut cut = 0;
    for method in ["GET", "sign"] {
        let whole = ask(method, 10_000).await;
        assert_eq!(whole.outcome(), "ran", "{whole:?}");
        for length in (0..6).chain((6..480).step_by(24)) {
            let mut warm = ask("GET", 0).await;
            while warm.outcome() != "ran" {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                warm = ask("GET", 0).await;
            }
            let begun = fleet.begun();
            cutter.left.store(length, Ordering::Release);
            let answer = ask(method, length).await;
            cut += usize::from(cutter.left.swap(UNCUT, Ordering::AcqRel) == UNCUT);
            let ran = fleet.begun() > begun;
            let case = format!("{method} cut after {length} bytes: {answer:?}");
            assert!(!answer.status.is_success() || answer.body == whole.body, "{case}");
            assert!(answer.outcome() != "not-run" || !ran, "it ran: {case}");
        }
    }
    assert!(cut > 20, "only {cut} connections were cut");
    let board = fleet.nodes[1].daemon.board();
    until("no request is left", || board.is_idle()).await;
}

fn answer() -> Answer {
    let request = RequestId::parse("0123456789abcdef").unwrap();
    let problem = "a problem".to_owned();
    let mut report = Report::new(request, Outcome::Ran, Some(Reason::BadAnswer { problem }));
    report.reached = vec![ReachedService { service: "deep".to_owned(), work_ms: 1.5 }];
    let mut headers = HeaderMap::new();
    headers.insert("x-some", HeaderValue::from_static("value"));
    Answer { status: StatusCode::OK, headers, body: "the body".into(), report }
}

/// Guards against a part of a message that decodes as a whole one.
#[test]
fn no_part_of_an_encoded_answer_decodes() {
    let whole = codec::encode(&answer()).unwrap();
    assert!(codec::decode::<Answer>(&whole).is_ok());
    for length in 0..whole.len() {
        assert!(codec::decode::<Answer>(&whole[..length]).is_err(), "{length} bytes decode");
    }
}
