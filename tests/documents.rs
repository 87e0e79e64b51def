//! Which document a daemon serves after it starts, and where it fetches newer ones from.

mod fleet;

use fleet::{Fleet, document, edit, plan, settings_text, until};
use gypsumtack::board::Newer;
use gypsumtack::member::Record;
use gypsumtack::publish::{self, Scope};
use gypsumtack::store::Transaction;
use gypsumtack::{Daemon, Settings};

/// Guards against serving an outdated document: the store that the new daemon reads holds the record of
/// the other daemon, but still the document from before the last edit.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_with_an_outdated_store_serves_the_document_of_its_peers() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let current = fleet.nodes[0].daemon.board().clone();
    let old = current.policy.load().version;
    let key = "member/vm-0";
    until("the daemon's record is in the store", || fleet.platform.table().row(key).is_some())
        .await;
    let record: Record = fleet.platform.table().row(key).unwrap().decode().unwrap();

    let stale = Fleet::start(&document()).await;
    stale.client().commit(&Transaction::default().put(key, &record)).await.unwrap();
    let scope = Scope::Section { name: "limits".into(), expect: 1 };
    publish::apply(&fleet.client(), &edit("[limits]\nqueue_ms = 900\n", scope)).await.unwrap();
    until("the new document is in force", || current.policy.load().version > old).await;

    let text = settings_text("vm-1", "a", stale.platform.address());
    let daemon = Daemon::start(Settings::parse(&text, "test").unwrap()).await.unwrap();
    let board = daemon.board().clone();
    until("the new daemon serves", || board.is_serving()).await;
    assert_eq!(board.policy.load().version, current.policy.load().version);
    daemon.stop().await;
}

/// Guards against a newer version that is never fetched. The daemon that reported it does not answer,
/// so the version has to be forgotten; only then is the next report of it followed.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_could_not_be_fetched_is_requested_again() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    let version = board.policy.load().version + 1;
    let control = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let since = board.clock.now();
    board.newer_document.send_replace(Newer { version, control, since });
    until("the reported version is forgotten", || board.newer_document.borrow().version < version)
        .await;
}
