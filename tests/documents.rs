//! Which document a daemon serves after it starts, and where it fetches newer ones from.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fleet::{CONDITION_TIMEOUT, Fleet, document, edit, plan, settings_text, until};
use gypsumtack::document::RawDocument;
use gypsumtack::member::Record;
use gypsumtack::publish::{self, Scope};
use gypsumtack::reported::{NewestReport, Report};
use gypsumtack::store::Transaction;
use gypsumtack::time::Time;
use gypsumtack::{Daemon, Settings};
use gypsumtack_standin::caller::CallerRequest;
use tokio::net::TcpListener;

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

/// Guards against a newer version that is never fetched, since a fetch for it brought an older one.
#[tokio::test(flavor = "multi_thread")]
async fn a_reported_document_is_fetched_again_after_an_older_one_came() {
    let mut behind = Fleet::start(&document()).await;
    behind.add("a", plan("deep", 8, 1, &[])).await;
    let mut ahead = Fleet::start(&document()).await;
    let text = settings_text("vm-1", "b", ahead.platform.address());
    ahead.add_with(Settings::parse(&text, "test").unwrap(), plan("deep", 8, 1, &[])).await;
    let (late, peer) = (behind.nodes[0].daemon.board(), ahead.nodes[0].daemon.board());
    let publish = async |version, queue_ms| {
        let scope = Scope::Section { name: "limits".into(), expect: version - 1 };
        let text = format!("[limits]\nqueue_ms = {queue_ms}\n");
        publish::apply(&ahead.client(), &edit(&text, scope)).await.unwrap();
        until("the peer has it", || peer.policy.load().version == version).await;
    };
    publish(2, 900).await;
    let (control, since) = (peer.settings.listen.control, late.clock.now());
    late.newest_document.record(Report { version: 3, control, since });
    until("the older one came", || late.policy.load().version == 2).await;
    late.update_view(|view, now| view.merge(peer.record(), now));
    publish(3, 800).await;
    until("the reported one is in force", || late.policy.load().version == 3).await;
}

/// Guards against an older text that is put in force as a newer version, which keeps out all versions between.
#[tokio::test(flavor = "multi_thread")]
async fn a_text_of_another_version_than_announced_is_refused() {
    let mut fleet = Fleet::start(&document()).await;
    for domain in ["a", "b"] {
        fleet.add(domain, plan("deep", 8, 1, &[])).await;
    }
    let [late, peer] = [0, 1].map(|index| fleet.nodes[index].daemon.board());
    let text = peer.document.load_full().unwrap();
    let announced = RawDocument { version: 5, ..(*text).clone() };
    peer.document.store(Some(Arc::new(announced)));
    let control = peer.settings.listen.control;
    late.newest_document.record(Report { version: 5, control, since: Time::ZERO });
    let scope = Scope::Section { name: "limits".into(), expect: 1 };
    publish::apply(&fleet.client(), &edit("[limits]\nqueue_ms = 900\n", scope)).await.unwrap();
    until("the next version is in force", || late.policy.load().version == 2).await;
}

/// Guards against a key that is refused because its customer's limit was removed after the request had been
/// authenticated.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_between_two_versions_is_not_refused_for_its_key() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    // The tables of a newer version without the limit, while requests still see the older policy.
    fleet.nodes[0].daemon.board().tables.store(Arc::default());
    let answer = fleet.ask(0, CallerRequest::get("/deep").key("acme-key")).await;
    assert_eq!(answer.outcome(), "ran", "{answer:?}");
}

/// Guards against a daemon that reports a version and then gives the text of the one before.
#[tokio::test(flavor = "multi_thread")]
async fn the_text_of_each_version_in_force_can_be_fetched() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    let over = Arc::new(AtomicBool::new(false));
    let watching = std::thread::spawn({
        let (board, over) = (Arc::clone(board), Arc::clone(&over));
        move || {
            while !over.load(Ordering::Relaxed) {
                let version = board.policy.load().version;
                let text = board.document.load().as_ref().map_or(0, |text| text.version);
                assert!(text >= version, "version {version} in force, text of {text}");
            }
        }
    });
    for version in 2..22 {
        let scope = Scope::Section { name: "limits".into(), expect: version - 1 };
        let text = format!("[limits]\nqueue_ms = {}\n", 900 + version);
        publish::apply(&fleet.client(), &edit(&text, scope)).await.unwrap();
        until("it is in force", || board.policy.load().version == version).await;
    }
    over.store(true, Ordering::Relaxed);
    watching.join().unwrap();
}

/// Reports a version of a document or a roster in the name of a daemon that never answers, and waits until
/// that one has been asked repeatedly.
async fn assert_asked_again(newest: &NewestReport, version: u64) {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = silent.local_addr().unwrap();
    newest.record(Report { version, control, since: Time::ZERO });
    let asked = async {
        for _ in 0..3 {
            drop(silent.accept().await.unwrap());
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, asked).await.expect("asked three times");
}

/// Guards against a newer version that is never fetched, since the daemon that reported it did not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_could_not_be_fetched_is_requested_again() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    assert_asked_again(&board.newest_document, board.policy.load().version + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roster_that_could_not_be_fetched_is_requested_again() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    assert_asked_again(&board.newest_roster, board.roster.load().version + 10).await;
}
