//! Settings that change while a daemon runs.

mod fleet;

use std::sync::Arc;

use fleet::{Fleet, document, settings_text, until};
use gypsumtack::{Daemon, Settings, reload};
use tokio::signal::unix::{SignalKind, signal};

/// The store is elsewhere than the settings said at the start, and nobody announces the change.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_address_of_the_store_is_taken_without_a_restart() {
    let fleet = Fleet::start(&document()).await;
    let nobody = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let settings = |address| Settings::parse(&settings_text("vm-0", "a", address), "test");
    let daemon = Daemon::start(settings(nobody).unwrap()).await.unwrap();
    let address = fleet.platform.address();
    let hangup = signal(SignalKind::hangup()).unwrap();
    let read = move || settings(address);
    let following = tokio::spawn(reload::follow(Arc::clone(daemon.shared()), read, hangup));
    let board = daemon.board().clone();
    until("it serves", || board.is_serving()).await;
    following.abort();
    daemon.stop().await;
}
