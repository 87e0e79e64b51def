//! Long answers: all of them share a bound on memory, and each is delivered whole.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Fleet, document, plan, settings_text, until};
use gypsumtack::Settings;
use gypsumtack_standin::caller::CallerRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Length of a long body, and the memory for long bodies, of which one body may have a half.
const BODY_BYTES: usize = 8 << 20;
const MEMORY_BYTES: usize = 20 << 20;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a backend server that answers `/deep/long` with a long body, in chunks if the path says so, and
/// all other requests with a short one. Each answer ends its connection.
async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = vec![0; 4096];
                let Ok(read @ 1..) = stream.read(&mut request).await else { return };
                let request = String::from_utf8_lossy(&request[..read]).into_owned();
                let length = if request.contains("/long") { BODY_BYTES } else { 2 };
                let body = vec![b'v'; length];
                let (framing, end) = match request.contains("chunked") {
                    true => (
                        format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n"),
                        "\r\n0\r\n\r\n",
                    ),
                    false => (format!("content-length: {length}\r\n\r\n"), ""),
                };
                let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n{framing}");
                let _ = stream.write_all(&[head.as_bytes(), &body, end.as_bytes()].concat()).await;
            });
        }
    });
    address
}

/// A VM beside the backend server, and one whose daemon sends requests there.
async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    for (index, service) in ["deep", "front"].into_iter().enumerate() {
        let text = settings_text(&format!("vm-{index}"), "a", fleet.platform.address());
        let text = format!("{text}answer_memory = {MEMORY_BYTES}\n");
        fleet.add_with(Settings::parse(&text, "test").unwrap(), plan(service, 4, 1, &[])).await;
    }
    fleet.settle(&["deep", "front"]).await;
    fleet.replace_backend(0, start_backend().await).await;
    fleet
}

/// Guards against long answers that fail because other long answers occupy the memory for them.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_wait_for_memory_are_delivered_whole() {
    let fleet = start_fleet().await;
    let paths = ["/deep/long", "/deep/long-chunked"];
    let asked = (0..12).map(|index| {
        let request = CallerRequest::get(paths[index / 2 % 2]).key("acme-key");
        fleet.ask(index % 2, request)
    });
    for (index, answer) in futures::future::join_all(asked).await.into_iter().enumerate() {
        let what = paths[index / 2 % 2];
        assert_eq!(answer.status, 200, "{what} at {}: {:?}", index % 2, answer.body.len());
        assert_eq!(answer.body.len(), BODY_BYTES, "{what} at {}", index % 2);
        assert!(answer.body.iter().all(|byte| *byte == b'v'), "{what} at {}", index % 2);
    }
}

/// Guards against memory that is not counted while an answer waits for a caller that reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_its_caller_does_not_read_occupies_memory() {
    let fleet = start_fleet().await;
    for node in [0, 1] {
        let mut slow = TcpStream::connect(fleet.nodes[node].callers()).await.unwrap();
        let request = "GET /deep/long HTTP/1.1\r\nhost: x\r\nx-api-key: acme-key\r\n\r\n";
        slow.write_all(request.as_bytes()).await.unwrap();
        let mut first = [0; 9];
        slow.read_exact(&mut first).await.unwrap();
        assert_eq!(&first, b"HTTP/1.1 ");
        // The memory for very long bodies has no room for a second one.
        let get = |path: &str| CallerRequest::get(path).key("acme-key");
        let second = fleet.ask(node, get("/deep/long"));
        let mut second = std::pin::pin!(second);
        let waits = tokio::time::timeout(Duration::from_millis(400), &mut second).await;
        assert!(waits.is_err(), "node {node}: {:?}", waits.map(|answer| answer.status));
        let short = tokio::time::timeout(TIMEOUT, fleet.ask(node, get("/deep"))).await;
        assert_eq!(short.expect("a short answer waits").status, 200, "node {node}");
        drop(slow);
        let second =
            tokio::time::timeout(TIMEOUT, second).await.expect("the memory is not released");
        assert_eq!((second.status.as_u16(), second.body.len()), (200, BODY_BYTES), "node {node}");
    }
    let board = fleet.nodes[0].daemon.board();
    until("all requests have ended", || board.is_idle()).await;
}
