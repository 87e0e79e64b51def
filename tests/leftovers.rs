//! Bytes that follow a complete answer on a kept connection, from backend servers that return no request
//! ids. They must not become the answer to the next request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;

use bytes::Bytes;
use gypsumtack::body::BodyMemory;
use gypsumtack::connection::{BodyUse, Connections};
use gypsumtack::message::Request;
use gypsumtack::time::Clock;
use http_body_util::Full;

const LIMIT: u64 = 1_000;

/// What follows the first answer.
const LEFTOVERS: [(&str, &str); 5] = [
    ("success", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"),
    ("refusal", "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 5\r\n\r\nother"),
    ("interim", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "interim and success",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
    ),
    ("no answer", "other bytes"),
];

/// When the leftover is written.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Moment {
    SameSegment,
    /// After the answer was read, while no request is on its way.
    Idle,
}

/// Tells a backend server that its answer was read, and waits until it has written the leftover.
struct Gate {
    read: mpsc::Sender<()>,
    written: mpsc::Receiver<()>,
}

impl Gate {
    /// Holds the thread of the runtime meanwhile, so that nothing reads the connection.
    fn pass(&self) {
        self.read.send(()).unwrap();
        self.written.recv().unwrap();
    }
}

/// Starts a backend server on threads of its own.
fn start(leftover: &'static str, moment: Moment) -> (SocketAddr, Gate) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (read, is_read) = mpsc::channel();
    let (write, written) = mpsc::channel();
    std::thread::spawn(move || {
        let mut first = Some((is_read, write));
        while let Ok((stream, _)) = listener.accept() {
            let first = first.take();
            std::thread::spawn(move || serve(stream, leftover, moment, first));
        }
    });
    (address, Gate { read, written })
}

/// Serves a connection, with a leftover behind the first answer of the `first` one.
fn serve(
    mut stream: TcpStream,
    leftover: &str,
    moment: Moment,
    mut first: Option<(mpsc::Receiver<()>, mpsc::Sender<()>)>,
) -> std::io::Result<()> {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
    stream.set_nodelay(true)?;
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer)? > 0 {
        match (first.take(), moment) {
            (None, _) => stream.write_all(ANSWER.as_bytes())?,
            (Some(_), Moment::SameSegment) => {
                stream.write_all(format!("{ANSWER}{leftover}").as_bytes())?;
            }
            (Some((is_read, written)), Moment::Idle) => {
                stream.write_all(ANSWER.as_bytes())?;
                is_read.recv().unwrap();
                stream.write_all(leftover.as_bytes())?;
                written.send(()).unwrap();
            }
        }
    }
    Ok(())
}

fn request() -> Request {
    http::Request::builder().uri("/").header("host", "x").body(Full::<Bytes>::default()).unwrap()
}

#[tokio::test]
async fn bytes_behind_an_answer_are_not_the_next_answer() {
    let mut wrong = Vec::new();
    for (name, leftover) in LEFTOVERS {
        for moment in [Moment::SameSegment, Moment::Idle] {
            let (address, gate) = start(leftover, moment);
            let connections = Connections::new(Clock::start(), BodyMemory::new(8 << 20));
            let ask = || {
                connections.send_request(address, request(), false, LIMIT, |_| BodyUse::Delivered)
            };
            let (_, _, body) = ask().await.unwrap();
            assert_eq!(body, "own");
            if moment == Moment::Idle {
                gate.pass();
            }
            match ask().await {
                Ok((_, _, body)) if body == "own" => {}
                other => wrong.push(format!("{name}, {moment:?}: {other:?}")),
            }
        }
    }
    assert_eq!(wrong, [""; 0]);
}
