//! How daemons follow the document through a store that is silent, lags behind or spoils its answers.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Fleet, document, edit, plan, until};
use futures::future::BoxFuture;
use gypsumtack::document::RawDocument;
use gypsumtack::error::{Invalid, Result};
use gypsumtack::feed::Format;
use gypsumtack::feed::duty::Duty;
use gypsumtack::member::{Record, State, View};
use gypsumtack::publish::{self, Head, Scope};
use gypsumtack::store::{Client, Row};
use gypsumtack::time::Time;
use gypsumtack_standin::platform::Faults;

/// Time for which a fault of the store lasts: longer than a daemon goes without reading.
const PHASE: Duration = Duration::from_secs(3);

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.format = Format { fetch: fetch_readable, ..Format::OWN };
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet
}

/// Fetches a document like [`Format::OWN`], but takes a row that cannot be read for an invalid document, as
/// formats do whose rows hold the whole text.
fn fetch_readable<'a>(store: &'a Client, row: &'a Row) -> BoxFuture<'a, Result<RawDocument>> {
    if row.decode::<Head>().is_some() {
        return (Format::OWN.fetch)(store, row);
    }
    let invalid = Invalid {
        origin: row.key.clone(),
        line: None,
        key: String::new(),
        problem: "the row cannot be read".to_owned(),
        remedy: "write it again".to_owned(),
    };
    Box::pin(std::future::ready(Err(invalid.into())))
}

/// Publishes another version while the store has `faults`, and returns it.
async fn publish_during(fleet: &Fleet, faults: Faults) -> u64 {
    let store = fleet.client();
    let (head, body) = publish::read(&store).await.unwrap();
    let revision = body.as_ref().unwrap().version;
    let scope = Scope::Section { name: "limits".into(), expect: revision };
    let edit = edit(&format!("[limits]\nqueue_ms = {}\n", 900 + revision), scope);
    let prepared = edit.prepare(head.as_ref(), body.as_ref()).unwrap();
    let bytes = serde_json::to_vec(&prepared.body).unwrap();
    store.put_object(&prepared.object, &bytes.into()).await.unwrap();
    fleet.platform.set_faults(faults);
    store.commit(&prepared.transaction).await.unwrap();
    prepared.body.version
}

async fn until_in_force(fleet: &Fleet, version: u64) {
    let board = fleet.nodes[0].daemon.board();
    until("the new document is in force", || board.policy.load().version == version).await;
}

/// Guards against a feed without changes that is taken for the news that there are none.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_the_feed_does_not_report_is_found() {
    let fleet = start_fleet().await;
    let version = publish_during(&fleet, Faults { deaf: true, ..Faults::default() }).await;
    until_in_force(&fleet, version).await;
}

/// Guards against a feed that continues after a change that the scan before it did not show.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_a_scan_did_not_show_is_found() {
    let fleet = start_fleet().await;
    let stale = Faults { stale: true, ..Faults::default() };
    let version = publish_during(&fleet, Faults { forget: true, ..stale }).await;
    tokio::time::sleep(PHASE).await;
    fleet.platform.set_faults(stale);
    tokio::time::sleep(PHASE).await;
    fleet.platform.set_faults(Faults::default());
    until_in_force(&fleet, version).await;
}

/// Guards against an answer that was spoilt on its way and is not read again.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_was_spoilt_is_read_again() {
    let fleet = start_fleet().await;
    let version = publish_during(&fleet, Faults { spoil: true, ..Faults::default() }).await;
    tokio::time::sleep(PHASE / 2).await;
    fleet.platform.set_faults(Faults::default());
    until_in_force(&fleet, version).await;
}

/// Guards against a daemon that reads an invalid document forever instead of following the feed.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_stays_invalid_confirms_the_one_in_force() {
    let fleet = start_fleet().await;
    let board = fleet.nodes[0].daemon.board();
    let in_force = board.policy.load().version;
    publish_during(&fleet, Faults { spoil: true, ..Faults::default() }).await;
    let before = board.clock.now();
    until("the document in force is confirmed", || board.confirmed() > before + PHASE).await;
    assert_eq!(board.policy.load().version, in_force);
}

/// Returns the duty of `vm` in a domain of `a`, `b` and `c`, after `change`.
fn duty_of(vm: &str, age: Duration, change: impl FnOnce(&mut View)) -> Duty {
    let mut view = View::default();
    for name in ["a", "b", "c"] {
        view.merge(member(name, State::Ready), Time::ZERO);
    }
    view.merge(Record { domain: "another".to_owned(), ..member("0", State::Ready) }, Time::ZERO);
    change(&mut view);
    Duty::of(vm, "domain", &view, age)
}

fn member(vm: &str, state: State) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Record {
        vm: vm.to_owned(),
        incarnation: 1,
        counter: 1 + u64::from(state == State::Leaving),
        state,
        suspect: false,
        domain: "domain".to_owned(),
        service: "deep".to_owned(),
        slots: 1,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 0,
        peers: address,
        control: address,
        operators: address,
    }
}

const FEED: Duty = Duty { feed: true, scan: false };
const SCAN: Duty = Duty { feed: false, scan: true };

#[test]
fn two_daemons_of_a_domain_learn_of_changes_in_two_ways() {
    let duty = |vm| duty_of(vm, Duration::ZERO, |_| ());
    assert_eq!([duty("a"), duty("b"), duty("c")], [FEED, SCAN, Duty::NONE]);
}

/// Guards against a domain whose readers are frozen or gone and that reads nothing.
#[test]
fn others_take_over_from_readers_that_are_suspect_or_leaving() {
    let after = |vm, gone: fn(&mut View)| duty_of(vm, Duration::ZERO, gone);
    let suspect_a = |view: &mut View| assert!(view.mark_suspect("a", Time::ZERO));
    assert_eq!([after("b", suspect_a), after("c", suspect_a)], [FEED, SCAN]);
    // A daemon that others cannot reach does not know it, or reads on.
    assert_eq!(after("a", suspect_a), FEED);
    let only_c = |view: &mut View| {
        view.mark_suspect("a", Time::ZERO);
        view.merge(member("b", State::Leaving), Time::ZERO);
    };
    assert_eq!(after("c", only_c), Duty::BOTH);
}

#[test]
fn a_daemon_whose_document_was_not_confirmed_for_long_reads_by_itself() {
    assert_eq!(duty_of("c", Duration::from_secs(60), |_| ()), Duty::BOTH);
}
