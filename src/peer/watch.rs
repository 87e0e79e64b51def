//! Notices connections to peers that have gone silent.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use super::connection::PeerConnection;
use super::context_with_timeout;
use crate::shared::Shared;
use crate::time::Throttle;

/// Time for which a connection owes an answer until it is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);

/// Timeout for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after a ping without an answer until later calls use a new connection. Pending ones wait on.
const REPLACE_AFTER: Duration = Duration::from_millis(100);

/// Time that an unanswered ping is given once a new connection to the same daemon works. A lost packet is
/// repeated in that time.
const GRACE: Duration = Duration::from_millis(150);

/// Interval between checks for connections that do not answer.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Closes connections that owe an answer and do not answer a ping either. Calls that are pending on such a
/// connection fail immediately. Runs until the daemon stops.
///
/// Connections rarely go silent alone, so one that did has all others pinged, also those without calls.
pub async fn watch_connections(shared: Arc<Shared>) {
    let checks = Throttle::default();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = shared.board.clock.now();
        let checks_all = shared.peers.take_silence() && checks.is_due(now, CHECK_INTERVAL);
        let pinged = match checks_all {
            true => shared.peers.open(),
            false => shared.peers.silent(PING_AFTER, now),
        };
        for (address, connection) in pinged {
            // Postdated, so that the next check does not send a second ping meanwhile.
            connection.record_answer(now + PING_TIMEOUT);
            tokio::spawn(ping(Arc::clone(&shared), address, connection));
        }
    }
}

async fn ping(shared: Arc<Shared>, address: SocketAddr, connection: Arc<PeerConnection>) {
    let pong = connection.client.ping(context_with_timeout(PING_TIMEOUT));
    let mut pong = pin!(tokio::time::timeout(PING_TIMEOUT, pong));
    let is_answered = |pong| matches!(pong, Ok(Ok(())));
    let is_alive = match tokio::time::timeout(REPLACE_AFTER, &mut pong).await {
        Ok(pong) => is_answered(pong),
        Err(_) if !connection.may_be_silent(shared.board.clock.now()) => is_answered(pong.await),
        Err(_) => {
            shared.peers.remove(address, &connection);
            // A slow daemon is late on a new connection as well, and the ping is given its whole time.
            let works_anew = async {
                if !shared.peers.is_answered(&shared, address, PING_TIMEOUT).await {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(GRACE).await;
            };
            tokio::select! {
                pong = &mut pong => is_answered(pong),
                () = works_anew => false,
            }
        }
    };
    if is_alive {
        return connection.record_answer(shared.board.clock.now());
    }
    tracing::info!(event = "link-silent", vm = shared.board.settings.vm, %address);
    shared.peers.close(address, &connection);
    shared.peers.note_silence();
}
