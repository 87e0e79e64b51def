//! One daemon: its listeners, its tasks, and its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::board::Board;
use crate::error::{Error, Result};
use crate::server::{self, Bounds};
use crate::settings::Settings;
use crate::time;
use crate::{claims, control, controllers, egress, entry, ops, peer};

/// How often a planned stop looks whether all requests have ended.
const STOP_PERIOD: Duration = Duration::from_millis(20);

/// The longest that a planned stop waits for the table to take the shares back.
const HAND_BACK_TIME: Duration = Duration::from_secs(2);

/// A daemon that runs.
#[derive(Debug)]
pub struct Daemon {
    board: Arc<Board>,
    doors: Doors,
    controllers: Vec<JoinHandle<()>>,
}

/// The listeners, in the order in which a planned stop closes them.
#[derive(Debug)]
struct Doors {
    callers: Door,
    peers: Door,
    egress: Door,
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
    async fn close(self, time: Duration) {
        let _ = self.stop.send(true);
        let abort = self.task.abort_handle();
        if tokio::time::timeout(time, self.task).await.is_err() {
            abort.abort();
        }
    }
}

impl Daemon {
    /// Binds all addresses and starts. A port of 0 is replaced with the port that the system chose.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address cannot be bound; nothing is left running then.
    pub async fn start(mut settings: Settings) -> Result<Self> {
        let listen = &mut settings.listen;
        let callers = bind("listen.callers", &mut listen.callers).await?;
        let egress = bind("listen.egress", &mut listen.egress).await?;
        let peers = bind("listen.peers", &mut listen.peers).await?;
        let control = bind("listen.control", &mut listen.control).await?;
        let operators = bind("listen.operators", &mut listen.operators).await?;
        let (writer, inbox) = claims::channel();
        let board = Arc::new(Board::new(settings, time::incarnation(), writer));
        board.publish_self();
        let doors = Doors::open(&board, callers, egress, peers, control, operators)?;
        let controllers = vec![
            tokio::spawn(claims::run(Arc::clone(&board), inbox)),
            tokio::spawn(controllers::documents(Arc::clone(&board))),
            tokio::spawn(controllers::heartbeats(Arc::clone(&board))),
            tokio::spawn(controllers::registration(Arc::clone(&board))),
            tokio::spawn(controllers::shares(Arc::clone(&board))),
        ];
        let own = &board.settings;
        tracing::info!(event = "started", vm = own.vm, callers = %own.listen.callers);
        Ok(Self { board, doors, controllers })
    }

    /// The daemon's blackboard.
    pub fn board(&self) -> &Arc<Board> {
        &self.board
    }

    /// Stops as planned: tells the others, waits until they have heard, and finishes every request
    /// that is in flight.
    pub async fn stop(self) {
        let board = &self.board;
        let limits = board.settings.limits.clone();
        tracing::info!(event = "leaving", vm = board.settings.vm);
        board.leave();
        tokio::time::sleep(Duration::from_millis(limits.leave_ms)).await;
        let bound = Duration::from_millis(limits.stop_ms);
        let end = board.clock.now() + bound;
        let Doors { callers, peers, egress, control, operators } = self.doors;
        tokio::join!(callers.close(bound), peers.close(bound));
        while !board.is_idle() && board.clock.now() < end {
            tokio::time::sleep(STOP_PERIOD).await;
        }
        let handed = tokio::time::timeout(HAND_BACK_TIME, controllers::hand_back(board)).await;
        let handed = matches!(handed, Ok(Ok(())));
        egress.close(STOP_PERIOD).await;
        control.close(STOP_PERIOD).await;
        operators.close(STOP_PERIOD).await;
        for task in &self.controllers {
            task.abort();
        }
        tracing::info!(event = "stopped", vm = board.settings.vm, handed_back = handed);
    }
}

impl Doors {
    fn open(
        board: &Arc<Board>,
        callers: TcpListener,
        egress: TcpListener,
        peers: TcpListener,
        control: TcpListener,
        operators: TcpListener,
    ) -> Result<Self> {
        let limits = &board.settings.limits;
        let on_error = |source| Error::Listen {
            key: "listen.operators",
            address: board.settings.listen.operators.to_string(),
            source,
        };
        let operators = operators.into_std().map_err(on_error)?;
        let (stop, stopped) = watch::channel(false);
        let operators = ops::open(Arc::clone(board), operators, stopped).map_err(on_error)?;
        let operators = Door { stop, task: tokio::spawn(operators) };
        let own = Arc::clone(board);
        let callers = door(|stop| {
            let handler = move |request| entry::handle(Arc::clone(&own), request);
            server::serve(callers, bounds(board, limits.caller_connections), stop, handler)
        });
        let own = Arc::clone(board);
        let egress = door(|stop| {
            let handler = move |request| egress::handle(Arc::clone(&own), request);
            server::serve(egress, bounds(board, limits.egress_connections), stop, handler)
        });
        let own = Arc::clone(board);
        let peers = door(|stop| {
            let handler = move |request| peer::handle(Arc::clone(&own), request);
            server::serve(peers, bounds(board, limits.peer_connections), stop, handler)
        });
        let own = Arc::clone(board);
        let control = door(|stop| control::serve(own, control, stop));
        Ok(Self { callers, peers, egress, control, operators })
    }
}

fn door<F>(task: impl FnOnce(watch::Receiver<bool>) -> F) -> Door
where
    F: Future<Output = ()> + Send + 'static,
{
    let (stop, stopped) = watch::channel(false);
    Door { stop, task: tokio::spawn(task(stopped)) }
}

fn bounds(board: &Board, connections: usize) -> Bounds {
    let limits = &board.settings.limits;
    Bounds { connections, header_bytes: limits.header_bytes, header_time: limits.header_time() }
}

async fn bind(key: &'static str, address: &mut SocketAddr) -> Result<TcpListener> {
    let on_error = |source| Error::Listen { key, address: address.to_string(), source };
    let listener = TcpListener::bind(*address).await.map_err(on_error)?;
    *address = listener.local_addr().map_err(on_error)?;
    Ok(listener)
}
