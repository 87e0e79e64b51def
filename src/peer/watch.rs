//! Notices connections to peers that have gone silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::connection::PeerConnection;
use super::context_with_timeout;
use crate::shared::Shared;

/// Time for which a connection owes an answer until it is pinged.
const PING_AFTER: Duration = Duration::from_millis(250);

/// Timeout for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// Interval between checks for connections that do not answer.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Closes connections that owe an answer and do not answer a ping either. Calls that are pending on such a
/// connection fail immediately. Runs until the daemon stops.
pub async fn watch_connections(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = shared.board.clock.now();
        for (address, connection) in shared.peers.silent(PING_AFTER, now) {
            // Postdated, so that the next check does not send a second ping meanwhile.
            connection.record_answer(now + PING_TIMEOUT);
            tokio::spawn(ping(Arc::clone(&shared), address, connection));
        }
    }
}

async fn ping(shared: Arc<Shared>, address: SocketAddr, connection: Arc<PeerConnection>) {
    let pong = connection.client.ping(context_with_timeout(PING_TIMEOUT));
    let answer = tokio::time::timeout(PING_TIMEOUT, pong).await;
    if matches!(answer, Ok(Ok(()))) {
        return connection.record_answer(shared.board.clock.now());
    }
    tracing::info!(event = "link-silent", vm = shared.board.settings.vm, %address);
    shared.peers.close(address, &connection);
}
