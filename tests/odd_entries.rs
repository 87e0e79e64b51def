//! A fleet on loopback beside entries that another writer has left among those of its VMs.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Fleet, document, plan, until};
use gypsumtack::claim::{self, Claim};
use gypsumtack::document::Importance;
use gypsumtack::envelope::{Envelope, RequestId};
use gypsumtack::member::{Record, State};
use gypsumtack::message::{IDEMPOTENCY_KEY, Message};
use gypsumtack::store::{Commit, Transaction};
use gypsumtack_standin::caller::{Answer, CallerRequest};
use http::{HeaderMap, HeaderName, Method};

/// Adds a VM that serves `deep`.
async fn add(fleet: &mut Fleet) {
    fleet.add("a", plan("deep", 4, 1, &[])).await;
}

/// Waits until every VM knows the addresses of all, and no other instance.
async fn until_all_are_known(fleet: &Fleet) {
    let peers = |node: &fleet::Node| node.daemon.board().settings.listen.peers;
    let mut expected: Vec<SocketAddr> = fleet.nodes.iter().map(peers).collect();
    expected.sort();
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("exactly the VMs of the fleet are known", || {
            let instances = board.instances.load();
            let mut known: Vec<SocketAddr> =
                instances.for_service("deep").iter().map(|instance| instance.peers).collect();
            known.sort();
            known == expected
        })
        .await;
    }
}

async fn assert_serves(fleet: &Fleet) {
    for node in &fleet.nodes {
        let odd = node.daemon.board().read_view(|view| {
            let names = view.iter().map(|member| member.record.vm.clone());
            names.filter(|vm| vm.starts_with("odd")).collect::<Vec<_>>()
        });
        assert!(odd.is_empty(), "entries that name no VM are members: {odd:?}");
    }
    for node in 0..fleet.nodes.len() {
        for _ in 0..8 {
            let answer = fleet.ask(node, CallerRequest::get("/deep").key("acme-key")).await;
            assert_eq!(answer.outcome(), "ran", "{answer:?}");
        }
    }
}

/// Starts a fleet beside the entries that `leave` makes, and lets VMs join and leave it.
async fn play(leave: impl AsyncFnOnce(&Fleet)) {
    let mut fleet = Fleet::start(&document()).await;
    leave(&fleet).await;
    for _ in 0..2 {
        add(&mut fleet).await;
    }
    fleet.settle(&["deep"]).await;
    until_all_are_known(&fleet).await;
    assert_serves(&fleet).await;
    add(&mut fleet).await;
    until_all_are_known(&fleet).await;
    let leaving = fleet.nodes.remove(0);
    leaving.backend.drain();
    let board = leaving.daemon.board().clone();
    until("its backend server has drained", || !board.is_ready()).await;
    leaving.daemon.stop().await;
    until_all_are_known(&fleet).await;
    assert_serves(&fleet).await;
}

/// A record that is honest except for what the caller changes.
fn record(vm: &str) -> Record {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    Record {
        vm: vm.to_owned(),
        incarnation: 1,
        counter: 1,
        state: State::Ready,
        suspect: false,
        domain: "a".to_owned(),
        service: "deep".to_owned(),
        slots: 4,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 0,
        peers: address(1),
        control: address(2),
        operators: address(3),
    }
}

async fn put(fleet: &Fleet, key: &str, record: &Record) {
    let transaction = Transaction::default().put(&format!("member/{key}"), record);
    let commit = fleet.client().commit(&transaction).await.unwrap();
    assert!(matches!(commit, Commit::Done(_)), "{commit:?}");
}

/// Guards against daemons that follow no members, because one row fails the read of all.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_follows_its_vms_beside_rows_that_cannot_be_parsed() {
    play(async |fleet| {
        let nested = "[".repeat(100_000) + &"]".repeat(100_000);
        for odd in [nested.as_str(), "1e999", "{\"key\":7}", "null"] {
            fleet.platform.add_foreign_row("member/", odd);
        }
        let deep = format!("{{\"key\":\"member/deep\",\"version\":1,\"value\":{nested}}}");
        fleet.platform.add_foreign_row("member/", &deep);
    })
    .await;
}

/// Guards against daemons that take an entry for a VM although it names none.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_an_unusable_address_names_no_instance() {
    play(async |fleet| {
        let unusable: SocketAddr = ([127, 0, 0, 1], 0).into();
        put(fleet, "odd-peers", &Record { peers: unusable, ..record("odd-peers") }).await;
        put(fleet, "odd-control", &Record { control: unusable, ..record("odd-control") }).await;
    })
    .await;
}

/// Guards against sums of slots that overflow, and instances that seem to have room for everything.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_absurd_slots_names_no_instance() {
    play(async |fleet| {
        put(fleet, "odd", &Record { slots: u32::MAX, ..record("odd") }).await;
        put(fleet, "odder", &Record { slots: u32::MAX, ..record("odder") }).await;
    })
    .await;
}

/// Guards against entries that displace those of a VM of the fleet for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_displaces_no_vm_of_the_fleet() {
    play(async |fleet| {
        put(fleet, "odd", &record("vm-0")).await;
        put(fleet, "odder", &Record { incarnation: u64::MAX, ..record("vm-1") }).await;
        put(fleet, "vm-2", &Record { incarnation: u64::MAX, ..record("vm-2") }).await;
    })
    .await;
}

/// Guards against claims that wait behind one whose row cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_claim_holds_up_no_other_request() {
    let mut fleet = Fleet::start(&document()).await;
    add(&mut fleet).await;
    fleet.settle(&["deep"]).await;
    let odd = claim::row_key(Some("acme"), b"odd");
    let transaction = Transaction::default().put(&odd, &"no claim");
    fleet.client().commit(&transaction).await.unwrap();
    let sign = async |key: &str| -> Answer {
        let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
        fleet.ask(0, request.header(HeaderName::from_static("idempotency-key"), key)).await
    };
    let (odd, first, second) = tokio::join!(sign("odd"), sign("k1"), sign("k2"));
    assert_eq!((odd.outcome(), odd.reason()), ("unknown", "claim-unknown"), "{odd:?}");
    assert_eq!((first.outcome(), second.outcome()), ("ran", "ran"), "{first:?} {second:?}");
    assert_eq!(fleet.begun(), 2);
}

/// Guards against a stored answer without a usable status that becomes a success or a promise.
#[tokio::test(flavor = "multi_thread")]
async fn a_stored_answer_with_an_odd_status_is_no_success_and_promises_nothing() {
    let mut fleet = Fleet::start(&document()).await;
    add(&mut fleet).await;
    fleet.settle(&["deep"]).await;
    let client = fleet.client();
    for status in [0, 101, 408, 421, 429, 503, 1_000] {
        let operation = format!("status-{status}");
        let sign = async || -> Answer {
            let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
            fleet.ask(0, request.header(IDEMPOTENCY_KEY, &operation)).await
        };
        assert_eq!(sign().await.outcome(), "ran");
        let key = claim::row_key(Some("acme"), operation.as_bytes());
        let (version, mut stored) = loop {
            let row = client.row(&key).await.unwrap().unwrap();
            let claim: Claim = row.decode().unwrap();
            if let claim::State::Done(_) = claim.state {
                break (row.version, claim);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let claim::State::Done(answer) = &mut stored.state else { unreachable!() };
        answer.status = status;
        let transaction = Transaction::default().check(&key, version).put(&key, &stored);
        assert!(matches!(client.commit(&transaction).await, Ok(Commit::Done(_))));
        let again = sign().await;
        assert_eq!((again.status.as_u16(), again.outcome()), (502, "ran"), "{status}: {again:?}");
    }
}

/// Guards against a fleet that no VM can join, since the row of the roster is damaged.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_roster_row_is_written_again() {
    for odd in [
        "{\"version\":7}".to_owned(),
        format!("{{\"version\":{0},\"epoch\":{0},\"members\":{{}},\"settled\":null}}", u64::MAX),
    ] {
        let mut fleet = Fleet::start(&document()).await;
        add(&mut fleet).await;
        fleet.settle(&["deep"]).await;
        let odd: serde_json::Value = serde_json::from_str(&odd).unwrap();
        let transaction = Transaction::default().put("roster/all", &odd);
        fleet.client().commit(&transaction).await.unwrap();
        add(&mut fleet).await;
        fleet.settle(&["deep"]).await;
        until_all_are_known(&fleet).await;
        assert_serves(&fleet).await;
    }
}

/// Guards against a link between daemons that ends because of a deadline too far away for its timers.
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_too_far_away_ends_no_link() {
    let mut fleet = Fleet::start(&document()).await;
    for _ in 0..2 {
        add(&mut fleet).await;
    }
    fleet.settle(&["deep"]).await;
    let (shared, target) = (fleet.nodes[0].daemon.shared(), fleet.nodes[1].daemon.board());
    for time_left_us in [5_000_000, u64::MAX / 1_000, u64::MAX] {
        let envelope = Envelope {
            request: RequestId::parse("0123456789abcdef").unwrap(),
            customer: Some("acme".to_owned()),
            route: "deep".to_owned(),
            importance: Importance::Normal,
            time_left_us,
            deadline_ms: time_left_us / 1_000,
            retry_budget: 0,
            hops: 0,
            caller: String::new(),
            service: "deep".to_owned(),
            objective_ms: 100,
            wants_reached: false,
            suspect: false,
            claimed: false,
        };
        let message = Message {
            method: Method::GET,
            uri: "/deep".parse().unwrap(),
            headers: HeaderMap::new(),
            body: "".into(),
        };
        let peers = target.settings.listen.peers;
        let answer = shared.peers.run(shared, peers, envelope, message).await;
        assert!(answer.is_ok_and(|answer| answer.status.is_success()), "{time_left_us} us left");
    }
}

/// Guards against odd records of a daemon that does not check what it forwards.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_record_in_a_heartbeat_names_no_vm() {
    let mut fleet = Fleet::start(&document()).await;
    for _ in 0..2 {
        add(&mut fleet).await;
    }
    until_all_are_known(&fleet).await;
    let unusable: SocketAddr = ([127, 0, 0, 1], 0).into();
    let odd = Record { peers: unusable, ..record("odd") };
    let honest = Record { state: State::Waiting, ..record("honest") };
    let [sender, receiver] = [0, 1].map(|node| fleet.nodes[node].daemon.board());
    sender.update_view(|view, now| {
        view.merge(odd, now);
        view.merge(honest, now);
    });
    sender.heartbeat_due.notify_one();
    until("the honest record has arrived", || {
        receiver.read_view(|view| view.get("honest").is_some())
    })
    .await;
    assert!(receiver.read_view(|view| view.get("odd").is_none()));
}
