//! Records and reports with drawn values, as another writer or a faulty daemon may send them. No network.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use gypsumtack::announcement::{BackendServer, Identity};
use gypsumtack::document::Policy;
use gypsumtack::envelope::Load;
use gypsumtack::instance::Instances;
use gypsumtack::key::Digest;
use gypsumtack::member::{Record, State, View};
use gypsumtack::overload::{Capacity, DemandReport, OverloadController};
use gypsumtack::quarantine::{CrashId, Quarantine, SuspectReport};
use gypsumtack::roster::{Members, Roster};
use gypsumtack::router;
use gypsumtack::settings::Settings;
use gypsumtack::time::Time;
use gypsumtack::{codec, era};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Numbers at the ends of their types as well as ordinary ones.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..10, Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[a-d]", Just(String::new()), Just("x".repeat(100_000)), ".{0,8}"]
}

prop_compose! {
    fn record()(
        vm in name(), domain in name(), service in prop_oneof![Just("s".to_owned()), name()],
        incarnation in number(), counter in number(), epoch in number(), slots in number(),
        limit in prop::option::of(prop::num::f64::ANY), ports in any::<[u16; 3]>(),
        state in prop_oneof![Just(State::Waiting), Just(State::Ready), Just(State::Leaving)],
        suspect in any::<bool>(), sheds in any::<bool>(), run in prop::option::of(number()),
    ) -> Record {
        let address = |port: u16| ([127, 0, 0, 1], port).into();
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        let [peers, control, operators] = ports.map(address);
        Record {
            vm, incarnation, counter, state, suspect, domain, service, slots, run, sheds, limit, epoch,
            withdrawn: Vec::new(),
            peers, control, operators,
        }
    }
}

prop_compose! {
    fn load()(in_flight in number(), queued in number(), slots in number(), mean_us in number()) -> Load {
        let bounded = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Load {
            in_flight: bounded(in_flight),
            queued: bounded(queued),
            slots: bounded(slots),
            mean_us: bounded(mean_us),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    /// Guards against a daemon that ends, or chooses no instance, because of what a record or an answer says.
    #[test]
    fn drawn_records_and_loads_end_no_daemon(
        records in prop::collection::vec(record(), 0..12),
        loads in prop::collection::vec(load(), 1..4),
        seed in any::<u64>(),
    ) {
        let now = Time::from_millis(60_000);
        let mut view = View::default();
        view.merge_heartbeat(records.into_iter().filter(|record| record.validate().is_ok()), now);
        let instances = Instances::default().derive(&view, &Policy::empty(), "a", now);
        let later = now + Duration::from_millis(100);
        let mut rng = SmallRng::seed_from_u64(seed);
        for load in loads {
            let candidates: Vec<_> = instances.for_service("s").iter().enumerate()
                .filter_map(|(index, instance)| {
                    instance.record_load(load, now);
                    instance.candidate(index, Duration::from_secs(3), later)
                })
                .collect();
            let chosen = router::choose(&candidates, Duration::from_millis(100), &mut rng);
            prop_assert_eq!(chosen.is_some(), !candidates.is_empty());
        }
        let members: Members = view.iter().map(|m| (m.record.vm.clone(), m.record.domain.clone())).collect();
        let roster = Roster { version: 2, epoch: 2, members, settled: Some(Members::default()) };
        let _ = roster.settle_among(&view, later);
    }

    /// Guards against reports of crashes whose ages overflow, or that name more or fewer crashes than any daemon does.
    #[test]
    fn drawn_reports_of_crashes_end_no_daemon(
        reports in prop::collection::vec(
            (prop::collection::btree_set(number(), 0..6), number(), any::<[u8; 2]>()),
            0..8,
        ),
    ) {
        let report = |(crashes, age_s, bytes): (BTreeSet<u64>, u64, [u8; 2])| -> SuspectReport {
            let fields = (Digest::of(&bytes), crashes, age_s);
            codec::decode(&codec::encode(&fields).unwrap()).unwrap()
        };
        let reports: Vec<SuspectReport> = reports.into_iter().map(report).collect();
        let now = Time::from_millis(60_000);
        let mut quarantine = Quarantine::default();
        quarantine.merge(&reports, now);
        for report in &reports {
            quarantine.record_crash(report.fingerprint, CrashId::random(&mut rand::rng()), now);
            quarantine.crash_status(report.fingerprint, now);
        }
    }

    /// Guards against rosters and eras whose numbers overflow.
    #[test]
    fn drawn_rosters_and_eras_end_no_daemon(
        members in prop::collection::btree_map(name(), name(), 0..6),
        version in number(), epoch in number(), era in number(), burst in prop::num::f64::ANY,
    ) {
        let roster = Roster { version, epoch, members, settled: None };
        let _ = roster.renew(era);
        let _ = roster.join(&Members::from([("new".to_owned(), "a".to_owned())]));
        let _ = roster.leave("a");
        let _ = era::next_version(version, era);
        let shares = roster.members.keys().map(|vm| roster.share(vm, "c", burst));
        let sum: f64 = shares.sum();
        prop_assert!(roster.members.is_empty() || (0.99..1.01).contains(&sum), "the shares sum up to {}", sum);
    }

    /// Guards against a report of one entry after which a service refuses nothing or everything forever.
    #[test]
    fn drawn_reports_of_demand_leave_the_status_valid(
        reports in prop::collection::vec((prop::num::f64::ANY, any::<[u32; 2]>(), [prop::num::f32::ANY, prop::num::f32::ANY]), 1..6),
    ) {
        let local = Capacity { slots: 8.0, wait: Duration::ZERO, refused_fraction: 0.0, busy_fraction: 0.5 };
        let mut controller = OverloadController::default();
        let mut now = Time::from_millis(60_000);
        for (at, (work, counts, sums)) in reports.into_iter().enumerate() {
            let report: DemandReport = codec::decode(&codec::encode(&(work, counts, sums)).unwrap()).unwrap();
            let status = controller.update(&format!("vm-{at}"), report, local, now);
            prop_assert!((0.0..=1.0).contains(&status.excess_share), "{:?}", status);
            now = now + Duration::from_millis(50);
        }
        now = now + Duration::from_secs(10);
        let status = controller.update("vm-0", DemandReport { work: 1.0, ..DemandReport::default() }, local, now);
        prop_assert_eq!(status.excess_share, 0.0);
    }

    /// Guards against bytes of a peer that end the daemon that decodes them.
    #[test]
    fn drawn_bytes_decode_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = codec::decode::<gypsumtack::peer::Heartbeat>(&bytes);
        let _ = codec::decode::<gypsumtack::message::Answer>(&bytes);
        let _ = codec::decode::<gypsumtack::message::Message>(&bytes);
        let _ = codec::decode::<gypsumtack::envelope::Envelope>(&bytes);
        let _ = codec::decode::<Roster>(&bytes);
    }
}

/// Guards against a VM that all others ignore because of a name that its own daemon has accepted.
#[test]
fn a_name_that_a_daemon_accepts_is_valid_in_its_record() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let backend = BackendServer {
        id: String::new(),
        started: 0,
        sequence: 0,
        cold_ms: 0,
        service: String::new(),
        address: address(80),
        slots: 1,
        draining: false,
    };
    let record = Record {
        vm: "vm".to_owned(),
        incarnation: 1,
        counter: 1,
        state: State::Ready,
        suspect: false,
        domain: "a".to_owned(),
        service: "s".to_owned(),
        slots: 1,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 0,
        peers: address(1),
        control: address(2),
        operators: address(3),
    };
    let settings = |vm: &str, domain: &str| {
        let listen = ["callers", "egress", "peers", "control", "operators"];
        let listen = listen.map(|name| format!("{name} = \"127.0.0.1:0\"\n")).concat();
        let text = format!(
            "vm = {vm:?}\nfailure_domain = {domain:?}\n[listen]\n{listen}\
             [platform]\naddress = \"127.0.0.1:1\"\n[fleet]\nsecrets = []\nopen = true\n"
        );
        Settings::parse(&text, "test")
    };
    settings("vm", "a").unwrap();
    for name in ["x".repeat(64), "x".repeat(200), "x".repeat(201), "a\nb".to_owned()] {
        let vm = Record { vm: name.clone(), ..record.clone() };
        assert!(settings(&name, "a").is_err() || vm.validate().is_ok(), "vm {name:?}");
        let domain = Record { domain: name.clone(), ..record.clone() };
        assert!(settings("vm", &name).is_err() || domain.validate().is_ok(), "domain {name:?}");
        let service = Record { service: name.clone(), ..record.clone() };
        let announced = BackendServer { service: name.clone(), ..backend.clone() };
        let rejected = announced.check(&Identity::default()).is_err();
        assert!(rejected || service.validate().is_ok(), "service {name:?}");
    }
}
