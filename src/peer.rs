//! What daemons say to each other, over tarpc.
//!
//! Requests for the local backend server, heartbeats, loans and documents go over links: connections
//! whose two ends have proved that they know the fleet's secret. Many messages share a link, and one
//! that goes silent is dropped as a whole. docs/DESIGN.md, "Links".

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tarpc::{client, context};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OnceCell, watch};

use crate::backend;
use crate::board::Newer;
use crate::codec::Postcard;
use crate::document::RawDocument;
use crate::envelope::Envelope;
use crate::handshake;
use crate::member::Record;
use crate::message::{Answer, Message};
use crate::overload::OverloadStatus;
use crate::quarantine::SuspectReport;
use crate::roster::Roster;
use crate::share::LOAN_VALIDITY;
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// The longest that opening a link may take. A VM without power does not even refuse, and a request
/// waits for this.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// The longest that a heartbeat may take.
const HEARTBEAT_TIME: Duration = Duration::from_millis(500);

/// The longest that asking for room may take; it is asked again soon.
const ROOM_TIME: Duration = Duration::from_millis(100);

/// The longest that fetching a document or a roster may take.
const DOCUMENT_TIME: Duration = Duration::from_secs(2);

/// How long a link may owe an answer before it is asked whether it still works.
const SILENCE: Duration = Duration::from_millis(250);

/// The longest that a link may take to say that it still works.
const PING_TIME: Duration = Duration::from_millis(350);

/// How often links are looked at for silence.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

/// Messages that wait to be written on one link.
const PENDING: usize = 1_000;

#[tarpc::service]
trait Peer {
    async fn run(envelope: Envelope, message: Message) -> Answer;
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    async fn borrow(ask: LoanRequest) -> LoanResponse;
    async fn report_offered_work(vm: String, work: f64) -> OverloadStatus;
    async fn document(than: u64) -> Option<RawDocument>;
    async fn roster(than: u64) -> Option<Roster>;
    async fn ping();
}

/// What two daemons tell each other now and then.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub record: Record,
    /// Other members' records that changed lately.
    pub rumors: Vec<Record>,
    /// The document that the sender has in force.
    pub document: u64,
    /// The roster that the sender knows.
    pub roster: u64,
    /// How long ago the store confirmed both, in milliseconds.
    pub age_ms: u32,
    /// Requests that crashed backend servers.
    pub suspects: Vec<SuspectReport>,
}

/// Asks for one token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The customer that has a request waiting.
    pub customer: String,
}

/// Answers an [`LoanRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanResponse {
    /// Whether a token was taken out for the asker.
    pub granted: bool,
}

/// Why a request to another daemon has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No link could be opened, so nothing was sent.
    Unreachable,
    /// The link broke or went silent after the request may have been sent.
    ConnectionLost,
    /// Time ran out.
    TimedOut,
}

/// Links to other daemons, opened when they are first needed.
#[derive(Debug, Default)]
pub struct PeerConnections {
    links: Mutex<BTreeMap<SocketAddr, Arc<OnceCell<Arc<PeerConnection>>>>>,
}

/// One link.
#[derive(Debug)]
struct PeerConnection {
    client: PeerClient,
    waiting: AtomicUsize,
    heard: AtomicU64,
    lost: watch::Sender<bool>,
}

/// A message that waits for its answer on a link.
struct Waiting<'a>(&'a PeerConnection);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl PeerConnection {
    /// Waits for an answer, or until the link is given up.
    async fn call<T>(
        &self,
        clock: Clock,
        answer: impl Future<Output = Result<T, client::RpcError>>,
    ) -> Result<T, CallError> {
        if self.waiting.fetch_add(1, Ordering::AcqRel) == 0 {
            self.hear(clock.now());
        }
        let _waiting = Waiting(self);
        let mut lost = self.lost.subscribe();
        tokio::select! {
            answer = answer => match answer {
                Ok(answer) => {
                    self.hear(clock.now());
                    Ok(answer)
                }
                Err(client::RpcError::DeadlineExceeded) => Err(CallError::TimedOut),
                Err(_) => Err(CallError::ConnectionLost),
            },
            _ = lost.wait_for(|lost| *lost) => Err(CallError::ConnectionLost),
        }
    }

    fn hear(&self, now: Time) {
        self.heard.store(now.as_micros(), Ordering::Relaxed);
    }

    fn is_silent(&self, now: Time) -> bool {
        let heard = Time::from_micros(self.heard.load(Ordering::Relaxed));
        self.waiting.load(Ordering::Acquire) > 0 && now.since(heard) > SILENCE
    }
}

impl PeerConnections {
    /// Runs a request on the backend server of the daemon at `address`.
    ///
    /// Dropping the future cancels the request there.
    ///
    /// # Errors
    ///
    /// Only after [`CallError::Unreachable`] it is certain that the request did not run.
    pub async fn run(
        &self,
        shared: &Shared,
        address: SocketAddr,
        envelope: Envelope,
        message: Message,
    ) -> Result<Answer, CallError> {
        let left = Duration::from_micros(envelope.time_left_us);
        let link = self.link(shared, address).await?;
        let answer = link.client.run(context_of(left), envelope, message);
        self.call(shared, address, &link, answer).await
    }

    /// Exchanges heartbeats with one member. Returns whether it answered.
    pub async fn exchange_heartbeat(&self, shared: &Shared, partner: &Record) -> bool {
        let beat = beat_of(shared);
        let ask = async |peer: &PeerClient, context| peer.heartbeat(context, beat).await;
        let reply = self.within(HEARTBEAT_TIME, shared, partner.control, ask).await;
        let Some(reply) = reply else { return false };
        take_beat(shared, reply);
        true
    }

    /// Borrows one token for `customer` from the daemon at `address`.
    ///
    /// A loan that comes late is dropped; the lender stops counting it a while after that.
    pub async fn borrow(&self, shared: &Shared, address: SocketAddr, customer: &str) -> bool {
        let sent = shared.board.clock.now();
        let question = LoanRequest { customer: customer.to_owned() };
        let ask = async |peer: &PeerClient, context| peer.borrow(context, question).await;
        let loan = self.within(LOAN_VALIDITY, shared, address, ask).await;
        let in_time = shared.board.clock.now().since(sent) <= LOAN_VALIDITY;
        loan.is_some_and(|loan| loan.granted) && in_time
    }

    /// Tells the daemon at `address` how much work is offered here for its service, in seconds of a slot in
    /// a second, and asks how much of it to refuse.
    pub async fn report_offered_work(
        &self,
        shared: &Shared,
        address: SocketAddr,
        work: f64,
    ) -> Option<OverloadStatus> {
        let vm = shared.board.settings.vm.clone();
        let ask =
            async |peer: &PeerClient, context| peer.report_offered_work(context, vm, work).await;
        self.within(ROOM_TIME, shared, address, ask).await
    }

    /// Fetches the document of the daemon at `address`, if it is newer than the one in force here.
    pub async fn document(&self, shared: &Shared, address: SocketAddr) -> Option<RawDocument> {
        let than = shared.board.policy.load().version;
        let ask = async |peer: &PeerClient, context| peer.document(context, than).await;
        self.within(DOCUMENT_TIME, shared, address, ask).await.flatten()
    }

    /// Fetches the roster of the daemon at `address`, if it is newer than the own one.
    pub async fn roster(&self, shared: &Shared, address: SocketAddr) -> Option<Roster> {
        let than = shared.board.roster.load().version;
        let ask = async |peer: &PeerClient, context| peer.roster(context, than).await;
        self.within(DOCUMENT_TIME, shared, address, ask).await.flatten()
    }

    /// Asks the daemon at `address`; `None` when it does not answer within `time`.
    async fn within<T>(
        &self,
        time: Duration,
        shared: &Shared,
        address: SocketAddr,
        ask: impl AsyncFnOnce(&PeerClient, context::Context) -> Result<T, client::RpcError>,
    ) -> Option<T> {
        let exchange = async {
            let link = self.link(shared, address).await?;
            let answer = ask(&link.client, context_of(time));
            self.call(shared, address, &link, answer).await
        };
        tokio::time::timeout(time, exchange).await.ok()?.ok()
    }

    async fn call<T>(
        &self,
        shared: &Shared,
        address: SocketAddr,
        link: &Arc<PeerConnection>,
        answer: impl Future<Output = Result<T, client::RpcError>>,
    ) -> Result<T, CallError> {
        let result = link.call(shared.board.clock, answer).await;
        if matches!(result, Err(CallError::ConnectionLost)) {
            self.drop_link(address, link);
        }
        result
    }

    /// The link to `address`, opened now if there is none. Those who ask at once share one attempt.
    async fn link(
        &self,
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<Arc<PeerConnection>, CallError> {
        let cell = Arc::clone(lock(&self.links).entry(address).or_default());
        let open = async {
            let opened = tokio::time::timeout(CONNECT_TIME, open(shared, address)).await;
            opened.ok()?.inspect_err(|error| note_unopened(shared, address, error)).ok()
        };
        let link =
            cell.get_or_try_init(|| async { open.await.ok_or(CallError::Unreachable) }).await;
        link.cloned()
    }

    fn drop_link(&self, address: SocketAddr, link: &Arc<PeerConnection>) {
        let mut links = lock(&self.links);
        let same = links.get(&address).and_then(|cell| cell.get());
        if same.is_some_and(|known| Arc::ptr_eq(known, link)) {
            links.remove(&address);
        }
        link.lost.send_replace(true);
    }

    fn silent(&self, now: Time) -> Vec<(SocketAddr, Arc<PeerConnection>)> {
        let links = lock(&self.links);
        let open = links.iter().filter_map(|(address, cell)| Some((*address, cell.get()?)));
        let silent = open.filter(|(_, link)| link.is_silent(now));
        silent.map(|(address, link)| (address, Arc::clone(link))).collect()
    }
}

/// Drops links that owe an answer and do not answer a ping either, until the daemon ends. Requests that
/// wait on such a link are told at once.
pub async fn watch_connections(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        let now = shared.board.clock.now();
        for (address, link) in shared.peers.silent(now) {
            tokio::spawn(probe(Arc::clone(&shared), address, link));
        }
    }
}

async fn probe(shared: Arc<Shared>, address: SocketAddr, link: Arc<PeerConnection>) {
    // Heard now, so that the next look does not ask again beside this one.
    link.hear(shared.board.clock.now() + PING_TIME);
    let answer = tokio::time::timeout(PING_TIME, link.client.ping(context_of(PING_TIME))).await;
    if matches!(answer, Ok(Ok(()))) {
        return link.hear(shared.board.clock.now());
    }
    tracing::info!(event = "link-silent", vm = shared.board.settings.vm, %address);
    shared.peers.drop_link(address, &link);
}

fn context_of(time: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Clock::instant_after(time);
    context
}

fn note_unopened(shared: &Shared, address: SocketAddr, error: &io::Error) {
    tracing::debug!(event = "link-unopened", vm = shared.board.settings.vm, %address, %error);
}

async fn open(shared: &Shared, address: SocketAddr) -> io::Result<Arc<PeerConnection>> {
    let frames = handshake::open(&shared.keys, address).await?;
    let transport = tarpc::serde_transport::new(frames, Postcard);
    let mut config = client::Config::default();
    config.max_in_flight_requests = usize::MAX;
    config.pending_request_buffer = PENDING;
    let client = PeerClient::new(config, transport).spawn();
    let link = PeerConnection {
        client,
        waiting: AtomicUsize::new(0),
        heard: AtomicU64::new(0),
        lost: watch::Sender::new(false),
    };
    Ok(Arc::new(link))
}

fn beat_of(shared: &Shared) -> Heartbeat {
    let board = &shared.board;
    let age = board.clock.now().since(board.confirmed());
    Heartbeat {
        record: board.record(),
        rumors: board.update_view(|view, _| view.take_rumors()),
        document: board.policy.load().version,
        roster: board.roster.load().version,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        suspects: lock(&board.quarantine).recent_reports(board.clock.now()),
    }
}

/// Merges what a peer said. Another's word that this VM is suspect is refuted with a new record.
fn take_beat(shared: &Shared, beat: Heartbeat) {
    let board = &shared.board;
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
        board.update_quarantine(|quarantine, now| quarantine.merge(&beat.suspects, now));
    }
    if accused {
        board.publish_self();
    }
    // What the sender does not know yet, the store's confirmation does not cover for it.
    let current =
        beat.document >= board.policy.load().version && beat.roster >= board.roster.load().version;
    if current {
        board.confirm(board.clock.now() - Duration::from_millis(u64::from(beat.age_ms)));
    }
    hear(&board.newer_document, beat.document, control);
    board.mark_introduced();
    hear(&board.newer_roster, beat.roster, control);
}

fn hear(newer: &watch::Sender<Newer>, version: u64, control: SocketAddr) {
    newer.send_if_modified(|newest| {
        let newer = version > newest.version;
        if newer {
            *newest = Newer { version, control };
        }
        newer
    });
}

#[derive(Debug, Clone)]
struct Server {
    shared: Arc<Shared>,
}

impl Peer for Server {
    async fn run(self, _: context::Context, envelope: Envelope, message: Message) -> Answer {
        backend::run(&self.shared, envelope, message).await
    }

    async fn heartbeat(self, _: context::Context, heartbeat: Heartbeat) -> Heartbeat {
        take_beat(&self.shared, heartbeat);
        beat_of(&self.shared)
    }

    async fn borrow(self, _: context::Context, ask: LoanRequest) -> LoanResponse {
        LoanResponse { granted: self.shared.board.lend(&ask.customer) }
    }

    async fn report_offered_work(
        self,
        _: context::Context,
        vm: String,
        work: f64,
    ) -> OverloadStatus {
        self.shared.board.report_offered_work(&vm, work)
    }

    async fn document(self, _: context::Context, than: u64) -> Option<RawDocument> {
        let text = self.shared.board.document.load_full()?;
        (text.version > than).then(|| (*text).clone())
    }

    async fn roster(self, _: context::Context, than: u64) -> Option<Roster> {
        let roster = self.shared.board.roster.load_full();
        (roster.version > than).then(|| (*roster).clone())
    }

    async fn ping(self, _: context::Context) {}
}

/// Serves other daemons until `stop` turns true.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        tokio::spawn(serve_link(Arc::clone(&shared), stream, stop.clone()));
    }
}

async fn serve_link(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    let accepted =
        tokio::time::timeout(HEARTBEAT_TIME, handshake::accept(&shared.keys, stream)).await;
    let Ok(Ok(frames)) = accepted else { return };
    let transport = tarpc::serde_transport::new(frames, Postcard);
    let channel = BaseChannel::with_defaults(transport);
    let server = Server { shared };
    let serving = channel.execute(server.serve()).for_each(|answer| async move {
        tokio::spawn(answer);
    });
    tokio::select! {
        () = serving => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
