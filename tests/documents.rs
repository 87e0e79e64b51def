//! Which document a daemon serves when it starts, and where it gets newer ones.

mod fleet;

use fleet::{Fleet, document, edit, plan, settings_text, until};
use gypsumtack::board::Newer;
use gypsumtack::member::Record;
use gypsumtack::publish::{self, Scope};
use gypsumtack::store::Transaction;
use gypsumtack::{Daemon, Settings};

/// A store that answers with what stood there before a change knows the other daemon and the old document.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_beside_an_old_store_serves_what_the_others_serve() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let current = fleet.nodes[0].daemon.board().clone();
    let old = current.policy.load().version;
    let key = "member/vm-0";
    until("its record is in the store", || fleet.platform.table().row(key).is_some()).await;
    let record: Record = fleet.platform.table().row(key).unwrap().decode().unwrap();

    let stale = Fleet::start(&document()).await;
    stale.client().commit(&Transaction::default().put(key, &record)).await.unwrap();
    let scope = Scope::Section { name: "limits".into(), expect: 1 };
    publish::apply(&fleet.client(), &edit("[limits]\nqueue_ms = 900\n", scope)).await.unwrap();
    until("the new document is in force", || current.policy.load().version > old).await;

    let text = settings_text("vm-1", "a", stale.platform.address());
    let daemon = Daemon::start(Settings::parse(&text, "test").unwrap()).await.unwrap();
    let board = daemon.board().clone();
    until("it serves", || board.is_serving()).await;
    assert_eq!(board.policy.load().version, current.policy.load().version);
    daemon.stop().await;
}

/// The daemon that told of a newer document cannot be asked; the next word of it is followed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_could_not_be_fetched_is_asked_for_again() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    let version = board.policy.load().version + 1;
    let control = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    board.newer_document.send_replace(Newer { version, control });
    until("it is forgotten", || board.newer_document.borrow().version < version).await;
}
