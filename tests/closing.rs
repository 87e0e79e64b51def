//! What follows an answer that closes its connection. Callers take it for not read and send it again.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use gypsumtack::envelope::RequestId;
use gypsumtack::message::{Answer, Message};
use gypsumtack::pipeline::{self, Delivery, Hooks};
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack::server::Bounds;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Length of a body that takes all memory for bodies of its size.
const UPLOAD_BYTES: usize = 360_000;

/// Length of an answer that does not fit into the buffers of a connection.
const ANSWER_BYTES: usize = 16 << 20;

/// Time for the listener to act on what was sent.
const PAUSE: Duration = Duration::from_millis(200);

fn post(path: &str, length: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), &vec![b'v'; length]].concat()
}

/// A body waits for memory while its connection is told to stop, and gets it once the closing answer is
/// being written.
#[tokio::test]
async fn a_body_that_waited_for_memory_does_not_start_behind_a_closing_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let (stage, stages) = watch::channel(0);
    let started = Arc::new(Mutex::new(Vec::new()));
    let starts = Arc::clone(&started);
    let handler = move |id: RequestId, message: Message, _| {
        let (mut stages, path) = (stages.clone(), message.uri.path().to_owned());
        starts.lock().unwrap().push(path.clone());
        async move {
            let released = match path.as_str() {
                "/get" => 1,
                "/short" => 2,
                "/upload" => 3,
                _ => 0,
            };
            stages.wait_for(|stage| *stage >= released).await.unwrap();
            let problem = path.clone();
            let mut answer = Answer::refusal(id, Outcome::Ran, Reason::BadRequest { problem });
            if path == "/short" {
                answer.body = vec![b'v'; ANSWER_BYTES].into();
            }
            answer
        }
    };
    let bounds = || Bounds { body_memory: UPLOAD_BYTES * 2, ..Bounds::internal(10) };
    let hooks = Hooks { handler, bounds, on_delivery: |_: Delivery<'_>| () };
    tokio::spawn(pipeline::serve(listener, Dialect::own(), stopped, hooks));

    let mut upload = TcpStream::connect(address).await.unwrap();
    upload.write_all(&post("/upload", UPLOAD_BYTES)).await.unwrap();
    while started.lock().unwrap().is_empty() {
        tokio::time::sleep(PAUSE / 10).await;
    }
    let mut caller = TcpStream::connect(address).await.unwrap();
    let requests = [
        b"GET /get HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
        post("/short", 1),
        post("/long", (64 << 10) + 1),
    ];
    caller.write_all(&requests.concat()).await.unwrap();
    tokio::time::sleep(PAUSE).await;
    stage.send(1).unwrap();
    tokio::time::sleep(PAUSE).await;
    stop.send(true).unwrap();
    tokio::time::sleep(PAUSE).await;
    stage.send(2).unwrap();
    tokio::time::sleep(PAUSE).await;
    stage.send(3).unwrap();
    tokio::time::sleep(PAUSE).await;
    let mut answers = Vec::new();
    let _ = caller.read_to_end(&mut answers).await;
    let text = String::from_utf8_lossy(&answers);
    assert_eq!(text.matches("connection: close").count(), 1);
    assert_eq!(*started.lock().unwrap(), ["/upload", "/get", "/short"]);
}
