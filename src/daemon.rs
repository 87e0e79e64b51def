//! Start and graceful shutdown of one daemon: its listeners and background tasks.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::arrivals::Arrivals;
use crate::board::Board;
use crate::body::BodyMemory;
use crate::connection::Connections;
use crate::dialect::Dialect;
use crate::error::{Error, Result};
use crate::feed::Format;
use crate::held_bodies::HeldBodies;
use crate::key::FleetKeys;
use crate::peer::PeerConnections;
use crate::pipeline::{Delivery, Hooks};
use crate::reservation::Reservations;
use crate::server::{self, Bounds};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::store::{Client, WireProtocol};
use crate::supervise::restart_after_panic;
use crate::time::{self, Clock, Time};
use crate::{claims, controllers, egress, entry, feed, ops, peer, pipeline, wire};

/// Interval at which a graceful shutdown checks whether all requests have ended, and the time that each
/// of the listeners closed last gets to end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for returning the shares to the store during a graceful shutdown.
const HAND_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the operators' address until the flag becomes true.
pub type Operators = fn(
    Arc<Shared>,
    std::net::TcpListener,
    watch::Receiver<bool>,
) -> std::io::Result<BoxFuture<'static, ()>>;

/// The protocols towards callers, backend servers, the store and operators.
///
/// This crate has its own; an adapter for a platform provides those of the platform.
#[derive(Clone)]
pub struct Adapter {
    /// The headers of callers and backend servers.
    pub dialect: Dialect,
    /// The requests of the store's protocol.
    pub wire: WireProtocol,
    /// The format of documents.
    pub format: Format,
    /// The server of announcements, metrics and status.
    pub operators: Operators,
}

impl Adapter {
    /// Returns the protocols of this crate.
    pub fn own() -> Self {
        let operators: Operators = |shared, listener, stop| {
            Ok(Box::pin(ops::open(shared, listener, stop)?) as BoxFuture<'static, ()>)
        };
        Self { dialect: Dialect::own(), wire: wire::OWN, format: Format::OWN, operators }
    }
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").field("dialect", &self.dialect).finish_non_exhaustive()
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    listener_tasks: ListenerTasks,
    tasks: Vec<JoinHandle<()>>,
}

/// The listeners' tasks, in the order in which a graceful shutdown closes them.
#[derive(Debug)]
struct ListenerTasks {
    callers: ListenerTask,
    egress: Option<ListenerTask>,
    peers: ListenerTask,
    control: ListenerTask,
    operators: ListenerTask,
}

/// One listener's task and the signal that stops it.
#[derive(Debug)]
struct ListenerTask {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ListenerTask {
    fn open<F>(task: impl FnOnce(watch::Receiver<bool>) -> F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        Self { stop, task: tokio::spawn(task(stopped)) }
    }

    async fn close(self, time: Duration) {
        let _ = self.stop.send(true);
        let abort = self.task.abort_handle();
        if tokio::time::timeout(time, self.task).await.is_err() {
            abort.abort();
        }
    }
}

impl Daemon {
    /// Starts a daemon with the protocols of this crate. A port of 0 in the settings is replaced with
    /// the port that the system chose.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address cannot be bound; nothing is left running then.
    pub async fn start(settings: Settings) -> Result<Self> {
        Self::start_with(settings, Adapter::own()).await
    }

    /// Starts a daemon with the protocols of `adapter`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::start`].
    pub async fn start_with(mut settings: Settings, adapter: Adapter) -> Result<Self> {
        let listeners = Listeners::bind(&mut settings, &adapter.dialect).await?;
        let (sender, receiver) = claims::channel();
        let clock = Clock::start();
        let board = Arc::new(Board::new(settings, clock, time::incarnation()));
        let shared = Arc::new(Shared {
            private: adapter.dialect.stripped_headers(),
            dialect: adapter.dialect,
            format: adapter.format,
            keys: FleetKeys::derive(&board.settings.fleet.secrets),
            store: Client::new(&board.settings.platform, adapter.wire, clock)
                .with_unreadable_counter(board.metrics.unreadable_rows.clone()),
            peers: PeerConnections::default(),
            arrivals: Mutex::new(Arrivals::new(clock.now())),
            reservations: Reservations::default(),
            bodies: BodyMemory::new(board.settings.limits.body_memory),
            answers: BodyMemory::new(board.settings.limits.answer_memory),
            held_bodies: HeldBodies::default(),
            server: Connections::new(clock, BodyMemory::new(board.settings.limits.answer_memory)),
            claims: sender,
            board,
        });
        shared.board.withdrawals.await_recall();
        shared.board.publish_self();
        let listener_tasks = ListenerTasks::open(&shared, listeners, adapter.operators)?;
        let tasks = vec![
            tokio::spawn(claims::run(Arc::clone(&shared), receiver)),
            spawn_background("feed", &shared, feed::run),
            spawn_background("connections", &shared, peer::watch_connections),
            spawn_background("admission", &shared, controllers::admission),
            spawn_background("load-logs", &shared, controllers::load_logs),
            spawn_background("heartbeats", &shared, controllers::heartbeats),
            spawn_background("registration", &shared, controllers::registration),
            spawn_background("rosters", &shared, controllers::rosters),
            spawn_background("withdrawals", &shared, controllers::withdrawals),
        ];
        let own = &shared.board.settings;
        tracing::info!(event = "started", vm = own.vm, callers = %own.listen.callers);
        Ok(Self { shared, listener_tasks, tasks })
    }

    /// The state that the daemon's requests and tasks share.
    pub fn board(&self) -> &Arc<Board> {
        &self.shared.board
    }

    /// The shared state along with the clients for I/O.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: announces the shutdown, waits `leave_ms` for the other daemons to learn of
    /// it, and lets requests in flight end within `stop_ms`. The callers' address stays open for their
    /// calls until then; new requests of callers are refused.
    pub async fn stop(self) {
        let shared = &self.shared;
        let board = &shared.board;
        let limits = board.settings.limits.clone();
        tracing::info!(event = "leaving", vm = board.settings.vm);
        board.leave();
        tokio::time::sleep(Duration::from_millis(limits.leave_ms)).await;
        let bound = Duration::from_millis(limits.stop_ms);
        let end = board.clock.now() + bound;
        let ListenerTasks { callers, egress, peers, control, operators } = self.listener_tasks;
        wait_until_idle(shared, board.stop_deadline()).await;
        callers.close(end.since(board.clock.now())).await;
        wait_until_idle(shared, end).await;
        let handed_back = board.is_retiring() && hand_back(shared).await;
        if handed_back {
            controllers::notify_peers(shared).await;
        }
        for task in [egress, Some(peers), Some(control), Some(operators)].into_iter().flatten() {
            task.close(STOP_POLL_INTERVAL).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(event = "stopped", vm = board.settings.vm, handed_back = handed_back);
    }
}

/// Waits until no request is in flight, no answer waits to be fetched and no claim is unsettled, or until
/// `end`.
async fn wait_until_idle(shared: &Shared, end: Time) {
    let board = &shared.board;
    let busy =
        || !board.is_idle() || shared.claims.unsettled() > 0 || !shared.held_bodies.is_empty();
    while busy() && board.clock.now() < end {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Spawns a background task that starts again after a panic.
fn spawn_background<F>(
    name: &'static str,
    shared: &Arc<Shared>,
    task: fn(Arc<Shared>) -> F,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let shared = Arc::clone(shared);
    tokio::spawn(restart_after_panic(name, move || task(Arc::clone(&shared))))
}

/// Hands the VM's shares back to the store, and returns whether the store confirmed that.
async fn hand_back(shared: &Shared) -> bool {
    match tokio::time::timeout(HAND_BACK_TIMEOUT, controllers::hand_back(shared)).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            tracing::warn!(event = "shares-kept", vm = shared.board.settings.vm, %error);
            false
        }
        Err(_) => {
            tracing::warn!(
                event = "shares-kept",
                vm = shared.board.settings.vm,
                error = "no answer"
            );
            false
        }
    }
}

/// Listeners that are bound but not yet served.
struct Listeners {
    callers: TcpListener,
    egress: Option<TcpListener>,
    peers: TcpListener,
    control: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    async fn bind(settings: &mut Settings, dialect: &Dialect) -> Result<Self> {
        let listen = &mut settings.listen;
        let callers = bind("listen.callers", &mut listen.callers).await?;
        // In a dialect without request tokens, the backend server's downstream calls arrive at the
        // callers' address.
        let egress = match dialect.token {
            Some(_) => Some(bind("listen.egress", &mut listen.egress).await?),
            None => None,
        };
        let peers = bind("listen.peers", &mut listen.peers).await?;
        let control = bind("listen.control", &mut listen.control).await?;
        let operators = bind("listen.operators", &mut listen.operators).await?;
        Ok(Self { callers, egress, peers, control, operators })
    }
}

impl ListenerTasks {
    fn open(shared: &Arc<Shared>, listeners: Listeners, operators: Operators) -> Result<Self> {
        let settings = &shared.board.settings;
        let limits = &settings.limits;
        let Listeners { callers, egress, peers, control, operators: listener } = listeners;
        let on_error = |source| Error::Listen {
            key: "listen.operators",
            address: settings.listen.operators.to_string(),
            source,
        };
        let listener = listener.into_std().map_err(on_error)?;
        let (stop, stopped) = watch::channel(false);
        let serving = operators(Arc::clone(shared), listener, stopped).map_err(on_error)?;
        let operators = ListenerTask { stop, task: tokio::spawn(serving) };
        let own = Arc::clone(shared);
        let callers = ListenerTask::open(|stop| {
            let handler =
                move |id, message, waited| entry::handle(Arc::clone(&own), id, message, waited);
            let state = Arc::clone(shared);
            let bounds = move || bounds(&state, state.board.settings.limits.caller_connections);
            let board = Arc::clone(&shared.board);
            let on_delivery = move |delivery: Delivery<'_>| board.record_delivery(&delivery);
            let hooks = Hooks { handler, bounds, on_delivery };
            pipeline::serve(callers, shared.dialect.clone(), stop, hooks)
        });
        let egress = egress.map(|egress| {
            let own = Arc::clone(shared);
            ListenerTask::open(|stop| {
                let handler = move |request| egress::handle(Arc::clone(&own), request);
                let bounds = bounds(shared, limits.egress_connections);
                server::serve(egress, bounds, shared.dialect.clone(), stop, handler)
            })
        });
        let peers = ListenerTask::open(|stop| peer::serve(Arc::clone(shared), peers, stop));
        let control = ListenerTask::open(|stop| peer::serve(Arc::clone(shared), control, stop));
        Ok(Self { callers, egress, peers, control, operators })
    }
}

fn bounds(shared: &Shared, connections: usize) -> Bounds {
    let limits = &shared.board.settings.limits;
    let request_bytes = shared.board.policy.load().limits.request_bytes;
    Bounds {
        connections,
        header_bytes: limits.header_bytes,
        body_bytes: usize::try_from(request_bytes).unwrap_or(usize::MAX),
        body_memory: limits.body_memory,
        header_timeout: limits.header_timeout(),
        idle_timeout: limits.idle_timeout(),
        stop_timeout: shared.board.stop_deadline().since(shared.board.clock.now()),
    }
}

async fn bind(key: &'static str, address: &mut SocketAddr) -> Result<TcpListener> {
    let on_error = |source| Error::Listen { key, address: address.to_string(), source };
    let listener = TcpListener::bind(*address).await.map_err(on_error)?;
    *address = listener.local_addr().map_err(on_error)?;
    Ok(listener)
}
