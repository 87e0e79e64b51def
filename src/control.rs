//! What daemons say to each other outside the path of a request, over tarpc.
//!
//! Heartbeats spread members and document versions, loans move single tokens, and a newer document is
//! fetched from a peer when the platform is out of reach. Every message is signed with the fleet key.
//! docs/DESIGN.md, "Control", says why requests themselves go over HTTP instead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::board::Board;
use crate::key::Sealed;
use crate::member::Record;
use crate::publish::Body;
use crate::quarantine::Rumor;
use crate::share::LOAN_USE;
use crate::sync::lock;
use crate::time::Clock;

/// The largest message, in bytes: a whole document must fit.
const LARGEST_MESSAGE: usize = 16 << 20;

/// The longest that a heartbeat may take.
const HEARTBEAT_TIME: Duration = Duration::from_millis(500);

/// The longest that fetching a document may take.
const DOCUMENT_TIME: Duration = Duration::from_secs(2);

/// Requests of one peer that are in progress at most.
const MOST_IN_PROGRESS: usize = 256;

#[tarpc::service]
trait Control {
    async fn heartbeat(beat: Sealed) -> Option<Sealed>;
    async fn borrow(ask: Sealed) -> Option<Sealed>;
    async fn document(ask: Sealed) -> Option<Sealed>;
}

/// What two daemons tell each other now and then.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub record: Record,
    /// Other members' records that changed lately.
    pub rumors: Vec<Record>,
    /// The document that the sender has in force.
    pub version: u64,
    /// Requests that crashed backend servers.
    pub suspects: Vec<Rumor>,
}

/// Asks for one token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// The customer that has a request waiting.
    pub customer: String,
}

/// Answers an [`Ask`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Loan {
    /// Whether a token was taken out for the asker.
    pub granted: bool,
}

/// Asks for a document newer than this version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Newer {
    /// The version that the asker has.
    pub than: u64,
}

/// Connections to other daemons' control addresses.
#[derive(Debug, Default)]
pub struct Clients {
    clients: Mutex<BTreeMap<SocketAddr, ControlClient>>,
}

impl Clients {
    async fn get(&self, address: SocketAddr) -> Option<ControlClient> {
        let known = lock(&self.clients).get(&address).cloned();
        if known.is_some() {
            return known;
        }
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(LARGEST_MESSAGE);
        let transport = connect.await.ok()?;
        let client = ControlClient::new(client::Config::default(), transport).spawn();
        lock(&self.clients).insert(address, client.clone());
        Some(client)
    }

    fn forget(&self, address: SocketAddr) {
        lock(&self.clients).remove(&address);
    }
}

/// Exchanges heartbeats with one member. Returns whether it answered.
pub async fn beat(board: &Board, partner: &Record) -> bool {
    let beat = heartbeat_of(board);
    let reply =
        call(board, partner.control, HEARTBEAT_TIME, &beat, |client, ctx, sealed| async move {
            client.heartbeat(ctx, sealed).await
        });
    let Some(reply): Option<Heartbeat> = reply.await else { return false };
    take_heartbeat(board, reply);
    true
}

/// Borrows one token for `customer` from the daemon at `address`.
///
/// A loan that comes late is dropped; the lender stops counting it a while after that.
pub async fn borrow(board: &Board, address: SocketAddr, customer: &str) -> bool {
    let sent = board.clock.now();
    let ask = Ask { customer: customer.to_owned() };
    let loan = call(board, address, LOAN_USE, &ask, |client, ctx, sealed| async move {
        client.borrow(ctx, sealed).await
    });
    let loan: Option<Loan> = loan.await;
    let in_time = board.clock.now().since(sent) <= LOAN_USE;
    loan.is_some_and(|loan| loan.granted) && in_time
}

/// Fetches the document of the daemon at `address`, if it is newer than the one in force here.
pub async fn fetch(board: &Board, address: SocketAddr) -> Option<Body> {
    let ask = Newer { than: board.policy.load().version };
    call(board, address, DOCUMENT_TIME, &ask, |client, ctx, sealed| async move {
        client.document(ctx, sealed).await
    })
    .await
}

async fn call<Q, A, F>(
    board: &Board,
    address: SocketAddr,
    time: Duration,
    question: &Q,
    send: impl FnOnce(ControlClient, context::Context, Sealed) -> F,
) -> Option<A>
where
    Q: Serialize,
    A: serde::de::DeserializeOwned,
    F: Future<Output = Result<Option<Sealed>, client::RpcError>>,
{
    let sealed = board.fleet.seal(question);
    let mut ctx = context::current();
    ctx.deadline = Clock::instant_after(time);
    let exchange = async {
        let client = board.control.get(address).await?;
        match send(client, ctx, sealed).await {
            Ok(answer) => answer,
            Err(_) => {
                board.control.forget(address);
                None
            }
        }
    };
    let answer = tokio::time::timeout(time, exchange).await.ok().flatten()?;
    board.fleet.open(&answer)
}

fn heartbeat_of(board: &Board) -> Heartbeat {
    Heartbeat {
        record: board.record(),
        rumors: board.update_view(|view, _| view.rumors()),
        version: board.policy.load().version,
        suspects: lock(&board.quarantine).rumors(board.clock.now()),
    }
}

/// Merges what a peer said. Another's word that this VM is suspect is refuted with a new record.
fn take_heartbeat(board: &Board, beat: Heartbeat) {
    let control = beat.record.control;
    let me = &board.settings.vm;
    let records = std::iter::once(beat.record).chain(beat.rumors);
    let (own, others): (Vec<_>, Vec<_>) = records.partition(|record| record.vm == *me);
    let accused = own.iter().any(|r| r.suspect && r.incarnation == board.incarnation);
    board.update_view(|view, now| {
        for record in others {
            view.merge(record, now);
        }
    });
    if !beat.suspects.is_empty() {
        board.suspect(|quarantine, now| quarantine.merge(&beat.suspects, now));
    }
    if accused {
        board.publish_self();
    }
    board.newer.send_if_modified(|newest| {
        let newer = beat.version > newest.version;
        if newer {
            *newest = Source { version: beat.version, control };
        }
        newer
    });
}

/// Where a newer document was heard of.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    /// Its version.
    pub version: u64,
    /// The control address of a daemon that has it.
    pub control: SocketAddr,
}

impl Default for Source {
    fn default() -> Self {
        Self { version: 0, control: SocketAddr::from(([0, 0, 0, 0], 0)) }
    }
}

#[derive(Debug, Clone)]
struct Server {
    board: Arc<Board>,
}

impl Control for Server {
    async fn heartbeat(self, _: context::Context, beat: Sealed) -> Option<Sealed> {
        let beat: Heartbeat = self.board.fleet.open(&beat)?;
        take_heartbeat(&self.board, beat);
        Some(self.board.fleet.seal(&heartbeat_of(&self.board)))
    }

    async fn borrow(self, _: context::Context, ask: Sealed) -> Option<Sealed> {
        let ask: Ask = self.board.fleet.open(&ask)?;
        let granted = lend(&self.board, &ask.customer);
        Some(self.board.fleet.seal(&Loan { granted }))
    }

    async fn document(self, _: context::Context, ask: Sealed) -> Option<Sealed> {
        let ask: Newer = self.board.fleet.open(&ask)?;
        let body = self.board.document.load_full()?;
        (body.version > ask.than).then(|| self.board.fleet.seal(&*body))
    }
}

fn lend(board: &Board, customer: &str) -> bool {
    let policy = board.policy.load();
    let tables = board.tables.load();
    let id = policy.customer_id(customer);
    let share = id.and_then(|id| tables.shares.get(&id));
    share.is_some_and(|share| share.holding().lend(board.clock.now()))
}

/// Serves other daemons until `stop` turns true.
pub async fn serve(board: Arc<Board>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_peer(Arc::clone(&board), stream, stop.clone()));
    }
}

async fn serve_peer(
    board: Arc<Board>,
    stream: tokio::net::TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(LARGEST_MESSAGE).new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(MOST_IN_PROGRESS);
    let requests = channel.execute(Server { board }.serve());
    let all = requests.for_each(|answer| async {
        tokio::spawn(answer);
    });
    tokio::select! {
        () = all => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
