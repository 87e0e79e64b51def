//! One daemon: its listeners, its tasks, and its planned stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::board::Board;
use crate::connection::Connections;
use crate::dialect::Dialect;
use crate::error::{Error, Result};
use crate::feed::Format;
use crate::key::FleetKeys;
use crate::peer::PeerConnections;
use crate::pipeline::{Delivery, Hooks};
use crate::server::{self, Bounds};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::store::{Client, WireProtocol};
use crate::time::{self, Clock};
use crate::{claims, controllers, egress, entry, feed, ops, peer, pipeline, wire};

/// How often a planned stop looks whether all requests have ended.
const STOP_PERIOD: Duration = Duration::from_millis(20);

/// The longest that a planned stop waits for the store to take the shares back.
const HAND_BACK_TIME: Duration = Duration::from_secs(2);

/// Serves the operators' address until the flag turns true.
pub type Operators = fn(
    Arc<Shared>,
    std::net::TcpListener,
    watch::Receiver<bool>,
) -> std::io::Result<BoxFuture<'static, ()>>;

/// What is left of a planned stop for final answers to requests that did not end in time.
const LAST_WORDS: Duration = Duration::from_millis(300);

/// How a daemon speaks to everything outside: callers, backend servers, the store and operators.
///
/// The product brings its own; an adapter for a platform brings that platform's.
#[derive(Clone)]
pub struct Adapter {
    /// The headers of callers and backend servers.
    pub dialect: Dialect,
    /// The store's calls.
    pub wire: WireProtocol,
    /// The documents.
    pub format: Format,
    /// Announcements, metrics and status.
    pub operators: Operators,
}

impl Adapter {
    /// The product's own interface.
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

/// A daemon that runs.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    doors: Doors,
    tasks: Vec<JoinHandle<()>>,
}

/// The listeners, in the order in which a planned stop closes them.
#[derive(Debug)]
struct Doors {
    callers: Door,
    egress: Option<Door>,
    peers: Door,
    control: Door,
    operators: Door,
}

/// One listener's task and what closes it.
#[derive(Debug)]
struct Door {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Door {
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
    /// Starts a daemon that speaks the product's own interface. A port of 0 is replaced with the port
    /// that the system chose.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address cannot be bound; nothing is left running then.
    pub async fn start(settings: Settings) -> Result<Self> {
        Self::start_with(settings, Adapter::own()).await
    }

    /// Starts a daemon that speaks through `adapter`.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub async fn start_with(mut settings: Settings, adapter: Adapter) -> Result<Self> {
        let listeners = Listeners::bind(&mut settings, &adapter.dialect).await?;
        let (writer, inbox) = claims::channel();
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            private: adapter.dialect.stripped_headers(),
            dialect: adapter.dialect,
            format: adapter.format,
            keys: FleetKeys::derive(&settings.fleet.secrets),
            store: Client::new(&settings.platform, adapter.wire, clock),
            peers: PeerConnections::default(),
            server: Connections::new(clock),
            claims: writer,
            board: Arc::new(Board::new(settings, clock, time::incarnation())),
        });
        shared.board.publish_self();
        let doors = Doors::open(&shared, listeners, adapter.operators)?;
        let tasks = vec![
            tokio::spawn(claims::run(Arc::clone(&shared), inbox)),
            tokio::spawn(feed::run(Arc::clone(&shared))),
            tokio::spawn(peer::watch_connections(Arc::clone(&shared))),
            tokio::spawn(controllers::admission(Arc::clone(&shared))),
            tokio::spawn(controllers::load_lines(Arc::clone(&shared))),
            tokio::spawn(controllers::heartbeats(Arc::clone(&shared))),
            tokio::spawn(controllers::registration(Arc::clone(&shared))),
            tokio::spawn(controllers::rosters(Arc::clone(&shared))),
        ];
        let own = &shared.board.settings;
        tracing::info!(event = "started", vm = own.vm, callers = %own.listen.callers);
        Ok(Self { shared, doors, tasks })
    }

    /// The daemon's blackboard.
    pub fn board(&self) -> &Arc<Board> {
        &self.shared.board
    }

    /// What the daemon's tasks share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops as planned: tells the others, waits until they have heard, and finishes every request
    /// that is in flight.
    pub async fn stop(self) {
        let shared = &self.shared;
        let board = &shared.board;
        let limits = board.settings.limits.clone();
        tracing::info!(event = "leaving", vm = board.settings.vm);
        board.leave();
        tokio::time::sleep(Duration::from_millis(limits.leave_ms)).await;
        let bound = Duration::from_millis(limits.stop_ms);
        let end = board.clock.now() + bound;
        let Doors { callers, egress, peers, control, operators } = self.doors;
        callers.close(bound).await;
        let busy = || !board.is_idle() || shared.claims.unsettled() > 0;
        while busy() && board.clock.now() < end {
            tokio::time::sleep(STOP_PERIOD).await;
        }
        let handed = board.is_retiring() && hand_back(shared).await;
        if handed {
            controllers::tell_others(shared).await;
        }
        for door in [egress, Some(peers), Some(control), Some(operators)].into_iter().flatten() {
            door.close(STOP_PERIOD).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(event = "stopped", vm = board.settings.vm, handed_back = handed);
    }
}

/// Hands the VM's shares back. Returns whether the store has taken them.
async fn hand_back(shared: &Shared) -> bool {
    match tokio::time::timeout(HAND_BACK_TIME, controllers::hand_back(shared)).await {
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

/// Bound addresses.
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
        // Without tokens, calls of the backend server come in where callers do.
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

impl Doors {
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
        let operators = Door { stop, task: tokio::spawn(serving) };
        let own = Arc::clone(shared);
        let callers = Door::open(|stop| {
            let handler = move |id, message| entry::handle(Arc::clone(&own), id, message);
            let asked = Arc::clone(shared);
            let bounds = move || bounds(&asked, asked.board.settings.limits.caller_connections);
            let board = Arc::clone(&shared.board);
            let on_delivery = move |delivery: Delivery<'_>| board.record_delivery(&delivery);
            let hooks = Hooks { handler, bounds, on_delivery };
            pipeline::serve(callers, shared.dialect.clone(), stop, hooks)
        });
        let egress = egress.map(|egress| {
            let own = Arc::clone(shared);
            Door::open(|stop| {
                let handler = move |request| egress::handle(Arc::clone(&own), request);
                let bounds = bounds(shared, limits.egress_connections);
                server::serve(egress, bounds, shared.dialect.clone(), stop, handler)
            })
        });
        let peers = Door::open(|stop| peer::serve(Arc::clone(shared), peers, stop));
        let control = Door::open(|stop| peer::serve(Arc::clone(shared), control, stop));
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
        header_timeout: limits.header_timeout(),
        idle_timeout: limits.idle_timeout(),
        stop_timeout: Duration::from_millis(limits.stop_ms).saturating_sub(LAST_WORDS),
    }
}

async fn bind(key: &'static str, address: &mut SocketAddr) -> Result<TcpListener> {
    let on_error = |source| Error::Listen { key, address: address.to_string(), source };
    let listener = TcpListener::bind(*address).await.map_err(on_error)?;
    *address = listener.local_addr().map_err(on_error)?;
    Ok(listener)
}
