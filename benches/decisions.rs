//! The time of each decision on the path of a request. `cargo bench --bench decisions`.

#![allow(missing_docs, reason = "the benchmark macro adds a function")]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gypsumtack::admission::{self, Flow};
use gypsumtack::codec;
use gypsumtack::document::{CustomerId, Document, Importance, Policy};
use gypsumtack::envelope::{Envelope, RequestId};
use gypsumtack::feedback::Feedback;
use gypsumtack::guard::{Guard, ServiceTime, SlotRequest};
use gypsumtack::key::Digest;
use gypsumtack::retry::RetryBudget;
use gypsumtack::router::{self, Candidate};
use gypsumtack::share::ShareBucket;
use gypsumtack::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The latency objective of every request.
const OBJECTIVE: Duration = Duration::from_millis(100);

/// How many customers a decision is measured with.
const CUSTOMERS: [u32; 3] = [8, 80, 800];

fn policy(customers: u32) -> Policy {
    let mut text = String::from(
        "[owners]\nowners = \"o\"\nlimits = \"o\"\nfailure_domains = \"o\"\nservices = \"o\"\n\
         customers = \"o\"\nroutes = \"o\"\n[failure_domains]\n[services.s]\n[routes.r]\n\
         path = \"/r\"\nservice = \"s\"\nimportance = \"high\"\nidempotent = true\n\
         deadline_ms = 1000\n",
    );
    for at in 0..customers {
        let digest = Digest::of(&at.to_le_bytes());
        text.push_str(&format!(
            "[customers.c{at}]\nrate = 1e9\nburst = 1e9\nkeys = [\"{digest}\"]\n"
        ));
    }
    let document = Document::parse(&text, "bench").expect("the document is valid");
    Policy::compile(&document, 1, &Policy::empty())
}

fn work(customer: u32, now: Time) -> SlotRequest {
    SlotRequest {
        customer: CustomerId::new(customer),
        weight: 1,
        importance: Importance::High,
        objective: OBJECTIVE,
        downstream: false,
        deadline: now + Duration::from_secs(1),
    }
}

fn envelope() -> Envelope {
    Envelope {
        request: RequestId::random(&mut SmallRng::seed_from_u64(1)),
        customer: Some("bouskoura".to_owned()),
        route: "lists".to_owned(),
        importance: Importance::High,
        time_left_us: 1_000_000,
        deadline_ms: 1_000,
        retry_budget: 2,
        hops: 1,
        caller: "portal".to_owned(),
        service: "lists".to_owned(),
        objective_ms: 100,
        wants_reached: false,
        suspect: false,
        claimed: false,
    }
}

/// Everything that is decided about one request at its entry and at its guard.
fn whole_path(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole path of a request");
    for count in CUSTOMERS {
        let policy = policy(count);
        let feedback = Feedback::default();
        let mut holding = ShareBucket::new(1e9, 1e9, Time::ZERO);
        holding.set_fraction(1.0, Time::ZERO);
        let mut guard = Guard::new(Duration::from_millis(500));
        guard.set_slots(100);
        let mut rng = SmallRng::seed_from_u64(1);
        let candidates: Vec<Candidate> = (0..7)
            .map(|index| Candidate {
                index,
                local: index < 3,
                load: 3,
                slots: 100,
                service_time: Duration::from_millis(10),
                failure_rate: 0.0,
            })
            .collect();
        let mut at = 0_u32;
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| {
                at += 1;
                let now = Time::from_micros(u64::from(at));
                let digest = Digest::of(&(at % count).to_le_bytes());
                let customer = policy.authenticate(&digest).unwrap_or(CustomerId::new(0));
                let route = policy.match_route("", "GET", "/r/1");
                let refused = feedback.refused_share(0, Some(customer));
                let token = holding.take(now);
                let retry_budget = RetryBudget::new(2);
                let reserved = retry_budget.reserve_half();
                let target = router::choose(&candidates, OBJECTIVE, &mut rng);
                let (offer, _) = guard.offer(work(customer.index() as u32, now), now);
                retry_budget.refund(reserved);
                guard.finish(ServiceTime::Completed(Duration::from_millis(1)));
                black_box((route, token.is_ok(), target, offer, refused))
            });
        });
    }
    group.finish();
}

/// A guard whose slots are full and whose queue holds many customers.
fn full_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("full queue");
    for count in CUSTOMERS {
        let mut guard = Guard::new(Duration::from_millis(500));
        guard.set_slots(100);
        let mut at = 0_u32;
        for _ in 0..2_000 {
            at += 1;
            guard.offer(work(at % count, Time::ZERO), Time::ZERO);
        }
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| {
                at += 1;
                let now = Time::from_micros(u64::from(at));
                let offer = guard.offer(work(at % count, now), now);
                let next = guard.finish(ServiceTime::Completed(Duration::from_millis(10)));
                black_box((offer, next))
            });
        });
    }
    group.finish();
}

/// What an entry does 20 times a second while services are overloaded.
fn decide_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide what an entry refuses");
    for count in CUSTOMERS {
        let flows: Vec<Flow> = (0..count * ROUTES)
            .map(|at| Flow {
                route: (at % ROUTES) as usize,
                customer: Some(CustomerId::new(at / ROUTES)),
                weight: 1.0,
                rank: 0,
                importance: Importance::ALL[(at % ROUTES) as usize % 4],
                rate: f64::from(at % 97),
                work: BTreeMap::from([("s".to_owned(), 0.01), ("t".to_owned(), 0.02)]),
            })
            .collect();
        let levels = BTreeMap::from([("s".to_owned(), 0.3), ("t".to_owned(), 0.1)]);
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| black_box(admission::shed(&flows, &levels)));
        });
    }
    group.finish();
}

/// Routes of the deployment that admission is measured with.
const ROUTES: u32 = 6;

fn envelopes(criterion: &mut Criterion) {
    let envelope = envelope();
    let bytes = codec::encode(&envelope).expect("it can be written");
    criterion.bench_function("write an envelope", |bencher| {
        bencher.iter(|| black_box(codec::encode(&envelope).is_ok()));
    });
    criterion.bench_function("read an envelope", |bencher| {
        bencher.iter(|| black_box(codec::decode::<Envelope>(&bytes).is_ok()));
    });
}

criterion_group!(benches, whole_path, full_queue, decide_admission, envelopes);
criterion_main!(benches);
