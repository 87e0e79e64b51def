//! Time of the decisions made for a request, of the admission decision and of the envelope codec.
//! `cargo bench --bench decisions`.

#![allow(missing_docs, reason = "criterion_group! generates an undocumented function")]

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

/// Latency objective of every benchmarked request.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(100);

/// Numbers of customers that each benchmark runs with.
const CUSTOMER_COUNTS: [u32; 3] = [8, 80, 800];

/// Compiles a document with one route and the given number of customers.
fn policy(customers: u32) -> Policy {
    let mut text = String::from(
        "[owners]\nowners = \"o\"\nlimits = \"o\"\nfailure_domains = \"o\"\nservices = \"o\"\n\
         customers = \"o\"\nroutes = \"o\"\n[failure_domains]\n[services.s]\n[routes.r]\n\
         path = \"/r\"\nservice = \"s\"\nimportance = \"high\"\nidempotent = true\n\
         deadline_ms = 1000\n",
    );
    for index in 0..customers {
        let digest = Digest::of(&index.to_le_bytes());
        text.push_str(&format!(
            "[customers.c{index}]\nrate = 1e9\nburst = 1e9\nkeys = [\"{digest}\"]\n"
        ));
    }
    let document = Document::parse(&text, "bench").expect("the document is valid");
    Policy::compile(&document, 1, &Policy::empty())
}

fn slot_request(customer: u32, now: Time) -> SlotRequest {
    SlotRequest {
        customer: CustomerId::new(customer),
        weight: 1,
        importance: Importance::High,
        objective: LATENCY_OBJECTIVE,
        downstream: false,
        deadline: now + Duration::from_secs(1),
    }
}

/// Returns an envelope with typical values.
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

/// Measures all decisions that the entry and the guard make for one request.
fn request_path(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole path of a request");
    for count in CUSTOMER_COUNTS {
        let policy = policy(count);
        let feedback = Feedback::default();
        let mut bucket = ShareBucket::new(1e9, 1e9, Time::ZERO);
        bucket.set_fraction(1.0, Time::ZERO);
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
        let mut sequence = 0_u32;
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                let now = Time::from_micros(u64::from(sequence));
                let digest = Digest::of(&(sequence % count).to_le_bytes());
                let customer = policy.authenticate(&digest).unwrap_or(CustomerId::new(0));
                let route = policy.match_route("", "GET", "/r/1");
                let refused_share = feedback.refused_share(0, Some(customer));
                let token_taken = bucket.take(now);
                let retry_budget = RetryBudget::new(2);
                let reserved = retry_budget.reserve_half();
                let target = router::choose(&candidates, LATENCY_OBJECTIVE, &mut rng);
                let (decision, _) = guard.offer(slot_request(customer.index() as u32, now), now);
                retry_budget.refund(reserved);
                guard.finish(ServiceTime::Completed(Duration::from_millis(1)));
                black_box((route, token_taken.is_ok(), target, decision, refused_share))
            });
        });
    }
    group.finish();
}

/// Measures a guard whose slots are all in use and whose queue holds requests of many customers.
fn full_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("full queue");
    for count in CUSTOMER_COUNTS {
        let mut guard = Guard::new(Duration::from_millis(500));
        guard.set_slots(100);
        let mut sequence = 0_u32;
        for _ in 0..2_000 {
            sequence += 1;
            guard.offer(slot_request(sequence % count, Time::ZERO), Time::ZERO);
        }
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                let now = Time::from_micros(u64::from(sequence));
                let decision = guard.offer(slot_request(sequence % count, now), now);
                let released = guard.finish(ServiceTime::Completed(Duration::from_millis(10)));
                black_box((decision, released))
            });
        });
    }
    group.finish();
}

/// Measures the admission decision, which an entry makes 20 times per second while services are
/// overloaded.
fn decide_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide what an entry refuses");
    for count in CUSTOMER_COUNTS {
        let flows: Vec<Flow> = (0..count * ROUTE_COUNT)
            .map(|index| Flow {
                route: (index % ROUTE_COUNT) as usize,
                customer: Some(CustomerId::new(index / ROUTE_COUNT)),
                weight: 1.0,
                rank: 0,
                importance: Importance::ALL[(index % ROUTE_COUNT) as usize % 4],
                rate: f64::from(index % 97),
                work: BTreeMap::from([("s".to_owned(), 0.01), ("t".to_owned(), 0.02)]),
            })
            .collect();
        let excess_shares = BTreeMap::from([("s".to_owned(), 0.3), ("t".to_owned(), 0.1)]);
        group.bench_function(BenchmarkId::new("customers", count), |bencher| {
            bencher.iter(|| black_box(admission::shed(&flows, &excess_shares)));
        });
    }
    group.finish();
}

/// Number of routes in the admission benchmark.
const ROUTE_COUNT: u32 = 6;

/// Measures encoding and decoding of an envelope.
fn envelope_codec(criterion: &mut Criterion) {
    let envelope = envelope();
    let bytes = codec::encode(&envelope).expect("the envelope can be encoded");
    criterion.bench_function("write an envelope", |bencher| {
        bencher.iter(|| black_box(codec::encode(&envelope).is_ok()));
    });
    criterion.bench_function("read an envelope", |bencher| {
        bencher.iter(|| black_box(codec::decode::<Envelope>(&bytes).is_ok()));
    });
}

criterion_group!(benches, request_path, full_queue, decide_admission, envelope_codec);
criterion_main!(benches);
