//! Accepts the connections of callers.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use super::Connection;
use crate::body::BodyMemory;
use crate::dialect::Dialect;
use crate::envelope::RequestId;
use crate::message::{Answer, Message};
use crate::reason::Reason;
use crate::server::{Bounds, REFUSAL_TIMEOUT, accept};

/// The callbacks of the listener.
#[derive(Debug, Clone)]
pub struct Hooks<H, B, D> {
    /// Answers one request. Its last argument is the time since the head of the request was read.
    pub handler: H,
    /// Returns the limits. They are queried for each request, since they may change with the document.
    pub bounds: B,
    /// Called for each answer when it is written.
    pub on_delivery: D,
}

/// An answer that is being written.
#[derive(Debug)]
pub struct Delivery<'a> {
    /// The id of the answered request.
    pub request: &'a RequestId,
    /// The id of the previous request of the connection, whose answer had to be written first.
    pub behind: Option<&'a RequestId>,
    /// Time from the completion of the answer until it could be written.
    pub wait: Duration,
}

/// Serves `listener` until `stop` is true, then finishes the requests that were read and returns.
pub async fn serve<H, F, B, D>(
    listener: TcpListener,
    dialect: Dialect,
    mut stop: watch::Receiver<bool>,
    hooks: Hooks<H, B, D>,
) where
    H: Fn(RequestId, Message, Duration) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
    B: Fn() -> Bounds + Clone + Send + Sync + 'static,
    D: Fn(Delivery<'_>) + Clone + Send + Sync + 'static,
{
    let dialect = Arc::new(dialect);
    let Bounds { connections: max_connections, body_memory, .. } = (hooks.bounds)();
    let memory = BodyMemory::new(body_memory);
    let slots = Arc::new(Semaphore::new(max_connections));
    while let Some(stream) = accept(&listener, &mut stop).await {
        let (stop, dialect) = (stop.clone(), Arc::clone(&dialect));
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            let limit = max_connections as u64;
            let handler = move |id, message: Message, _| async move {
                drop(message);
                Answer::not_run(id, Reason::TooManyConnections { limit })
            };
            let Hooks { bounds, on_delivery, .. } = hooks.clone();
            let refusing_hooks = Hooks { handler, bounds, on_delivery };
            let mut connection = Connection::new(stream, dialect, memory.clone(), refusing_hooks);
            connection.single_request = true;
            tokio::spawn(async move {
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection.run(stop)).await;
            });
            continue;
        };
        let connection = Connection::new(stream, dialect, memory.clone(), hooks.clone());
        tokio::spawn(async move {
            connection.run(stop).await;
            drop(slot);
        });
    }
    drop(listener);
    // Waits until all connections have ended, since each holds a slot.
    let _ = slots.acquire_many(u32::try_from(max_connections).unwrap_or(u32::MAX)).await;
}
