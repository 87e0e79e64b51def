//! Reload of settings while a daemon runs.

mod fleet;

use std::sync::Arc;

use fleet::{Fleet, document, settings_text, until};
use gypsumtack::{Daemon, Settings, reload};
use tokio::signal::unix::{SignalKind, signal};

/// Guards against a daemon that keeps using the store address it started with: the initial address does
/// not answer, and only a reload of the settings brings the right one.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_applies_a_new_store_address() {
    let fleet = Fleet::start(&document()).await;
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let settings = |address| Settings::parse(&settings_text("vm-0", "a", address), "test");
    let daemon = Daemon::start(settings(unused).unwrap()).await.unwrap();
    let address = fleet.platform.address();
    let hangup = signal(SignalKind::hangup()).unwrap();
    let read = move || settings(address);
    let reloading = tokio::spawn(reload::follow(Arc::clone(daemon.shared()), read, hangup));
    let board = daemon.board().clone();
    until("it serves", || board.is_serving()).await;
    reloading.abort();
    daemon.stop().await;
}
