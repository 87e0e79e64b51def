//! Bytes that follow a complete answer on a kept connection, from backend servers that return no request
//! ids. They must not become the answer to the next request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::connection::Connections;
use gypsumtack::message::Request;
use gypsumtack::time::Clock;
use http_body_util::Full;

const LIMIT: u64 = 1_000;

/// Time for which the thread of the runtime is held, so that nothing reads the connection meanwhile.
const HOLD: Duration = Duration::from_millis(50);

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

/// Starts a backend server on threads of its own.
fn start(leftover: &'static str, moment: Moment) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept() {
            let leftover = if std::mem::take(&mut is_first) { leftover } else { "" };
            std::thread::spawn(move || serve(stream, leftover, moment));
        }
    });
    address
}

fn serve(mut stream: TcpStream, leftover: &str, moment: Moment) -> std::io::Result<()> {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
    stream.set_nodelay(true)?;
    let mut buffer = [0; 4096];
    let mut leftover = leftover;
    while stream.read(&mut buffer)? > 0 {
        match moment {
            Moment::SameSegment => stream.write_all(format!("{ANSWER}{leftover}").as_bytes())?,
            Moment::Idle => {
                stream.write_all(ANSWER.as_bytes())?;
                std::thread::sleep(HOLD / 2);
                stream.write_all(leftover.as_bytes())?;
            }
        }
        leftover = "";
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
            let address = start(leftover, moment);
            let connections = Connections::new(Clock::start());
            let ask = || connections.send_request(address, request(), false, LIMIT, |_| true);
            let (_, _, body) = ask().await.unwrap();
            assert_eq!(body, "own");
            if moment == Moment::Idle {
                std::thread::sleep(HOLD);
            }
            match ask().await {
                Ok((_, _, body)) if body == "own" => {}
                other => wrong.push(format!("{name}, {moment:?}: {other:?}")),
            }
        }
    }
    assert_eq!(wrong, [""; 0]);
}
