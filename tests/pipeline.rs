//! The HTTP server for callers: order of answers, graceful shutdown, and requests that never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use gypsumtack::envelope::RequestId;
use gypsumtack::message::{Answer, Message};
use gypsumtack::pipeline::{self, Delivery, Hooks};
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack::server::Bounds;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;

/// Starts a listener whose handler never ends for `/stuck`, and answers any other request at once with
/// its path.
async fn listener(stop_timeout: Duration) -> (SocketAddr, watch::Sender<bool>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let bounds = move || Bounds { stop_timeout, ..Bounds::internal(10) };
    let handler = async |id, message: Message, _| {
        if message.uri.path() == "/stuck" {
            std::future::pending::<()>().await;
        }
        let problem = message.uri.path().to_owned();
        Answer::refusal(id, Outcome::Ran, Reason::BadRequest { problem })
    };
    let hooks = Hooks { handler, bounds, on_delivery: |_: Delivery<'_>| () };
    let task = tokio::spawn(pipeline::serve(listener, Dialect::own(), stopped, hooks));
    (address, stop, task)
}

/// Sends one pipelined GET request for each of `paths` on a new connection.
async fn send(address: SocketAddr, paths: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = |path: &&str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let requests: String = paths.iter().map(request).collect();
    stream.write_all(requests.as_bytes()).await.unwrap();
    stream
}

/// Reads a connection until it closes, and returns the statuses of the answers in order.
async fn statuses(mut stream: TcpStream) -> Vec<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let answers = text.split("HTTP/1.1 ").skip(1);
    answers.map(|answer| answer[..3].to_owned()).collect()
}

/// A graceful shutdown must not wait forever for a request that hangs, and must not drop the answers
/// that are complete but wait for it. Each hanging request gets status 502 after the stop time-out.
#[tokio::test]
async fn shutdown_answers_each_request_that_was_read() {
    let (address, stop, task) = listener(Duration::from_millis(100)).await;
    let stream = send(address, &["/one", "/stuck", "/two", "/stuck"]).await;
    let mut first = [0; 12];
    stream.peek(&mut first).await.unwrap();
    stop.send(true).unwrap();
    assert_eq!(statuses(stream).await, ["400", "502", "400", "502"]);
    task.await.unwrap();
}

/// Requests run concurrently, but their answers keep the order of the requests, as HTTP/1.1 requires.
#[tokio::test]
async fn answers_keep_the_order_of_requests() {
    let (address, stop, _task) = listener(Duration::from_secs(10)).await;
    let stream = send(address, &["/one", "/two", "/three"]).await;
    let mut first = [0; 12];
    stream.peek(&mut first).await.unwrap();
    stop.send(true).unwrap();
    assert_eq!(statuses(stream).await, ["400", "400", "400"]);
}

/// Head-of-line blocking has to be visible to operators: when a complete answer waited for a slower,
/// earlier request of the same connection, the delivery names that request.
#[tokio::test]
async fn delivery_names_the_request_that_blocked_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stop, stopped) = watch::channel(false);
    let ready = Arc::new(Notify::new());
    let handler = move |id: RequestId, message: Message, _| {
        let ready = Arc::clone(&ready);
        async move {
            match message.uri.path() {
                "/slow" => ready.notified().await,
                _ => ready.notify_one(),
            }
            Answer::not_run(id, Reason::NoDocument)
        }
    };
    let (sender, mut deliveries) = mpsc::unbounded_channel();
    let on_delivery = move |delivery: Delivery<'_>| {
        let Delivery { request, behind, .. } = delivery;
        sender.send((request.clone(), behind.cloned())).unwrap();
    };
    let hooks = Hooks { handler, bounds: || Bounds::internal(10), on_delivery };
    tokio::spawn(pipeline::serve(listener, Dialect::own(), stopped, hooks));
    let _stream = send(address, &["/slow", "/quick"]).await;
    let (slow, before) = deliveries.recv().await.unwrap();
    assert_eq!(before, None);
    let (_, before) = deliveries.recv().await.unwrap();
    assert_eq!(before, Some(slow));
}
