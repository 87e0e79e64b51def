//! Choice of instances when those of one service differ in speed. Simulated, without network or clock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use gypsumtack::document::Policy;
use gypsumtack::envelope::Load;
use gypsumtack::instance::Instances;
use gypsumtack::member::{Record, State, View};
use gypsumtack::router::{self, Candidate};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// Number of daemons that send requests. Each knows only the load that its own answers reported and its
/// own requests in flight.
const CALLERS: usize = 20;

/// A simulated instance with a first-in, first-out queue.
struct SimulatedInstance {
    slots: u32,
    mean_ms: f64,
    running: u32,
    /// Senders of the queued requests.
    queue: VecDeque<usize>,
    /// Load that its last answer to each caller reported.
    reported_load: [u32; CALLERS],
    /// Number of unanswered requests of each caller.
    unanswered: [u32; CALLERS],
}

impl SimulatedInstance {
    fn new(slots: u32, mean_ms: f64) -> Self {
        let (reported_load, unanswered) = ([0; CALLERS], [0; CALLERS]);
        Self { slots, mean_ms, running: 0, queue: VecDeque::new(), reported_load, unanswered }
    }

    fn load(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    fn has_room(&self) -> bool {
        f64::from(self.running) < 0.9 * f64::from(self.slots)
    }

    fn candidate(&self, index: usize, caller: usize) -> Candidate {
        Candidate {
            index,
            local: true,
            load: self.reported_load[caller].max(self.unanswered[caller]),
            slots: self.slots,
            service_time: Duration::from_secs_f64(self.mean_ms / 1e3),
            failure_rate: 0.0,
        }
    }
}

/// Simulates ten seconds of `rate` requests per second. Returns the fraction of the requests that had to
/// queue while another instance had more than a tenth of its slots free.
fn needless_queueing(instances: &mut [SimulatedInstance], rate: f64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let (mut now, mut all, mut needless) = (0_u64, 0, 0);
    let service_us =
        |mean_ms: f64, rng: &mut SmallRng| (mean_ms * 1_000.0 * rng.random_range(0.5..1.5)) as u64;
    while now < 10_000_000 {
        now += (-rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate * 1e6) as u64;
        while let Some(&Reverse((end, at, caller))) = ends.peek().filter(|next| next.0.0 <= now) {
            ends.pop();
            let instance = &mut instances[at];
            instance.running -= 1;
            if let Some(next) = instance.queue.pop_front() {
                instance.running += 1;
                ends.push(Reverse((end + service_us(instance.mean_ms, &mut rng), at, next)));
            }
            instance.unanswered[caller] -= 1;
            instance.reported_load[caller] = instance.load();
        }
        let caller = rng.random_range(0..CALLERS);
        let candidates: Vec<Candidate> = instances
            .iter()
            .enumerate()
            .map(|(at, instance)| instance.candidate(at, caller))
            .collect();
        let at = router::choose(&candidates, OBJECTIVE, &mut rng).expect("there are candidates");
        let room_exists = instances.iter().any(SimulatedInstance::has_room);
        let instance = &mut instances[at];
        instance.unanswered[caller] += 1;
        all += 1;
        if instance.running < instance.slots {
            instance.running += 1;
            ends.push(Reverse((now + service_us(instance.mean_ms, &mut rng), at, caller)));
        } else {
            instance.queue.push_back(caller);
            needless += u32::from(room_exists);
        }
    }
    f64::from(needless) / f64::from(all)
}

/// Guards against requests that queue at fast instances while slower ones are idle. A burst fills the
/// fast instances of a service whose slower ones take about twice as long, still well within the latency
/// objective.
#[test]
fn slower_instances_get_requests_before_faster_ones_queue() {
    for seed in 0..3 {
        let mut instances =
            [50.0, 50.0, 110.0, 110.0].map(|mean_ms| SimulatedInstance::new(175, mean_ms));
        let capacity: f64 =
            instances.iter().map(|one| f64::from(one.slots) * 1_000.0 / one.mean_ms).sum();
        let needless = needless_queueing(&mut instances, 0.8 * capacity, seed);
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        assert!(needless < 0.02, "seed {seed}: {:.1}% queued needlessly", needless * 100.0);
    }
}

/// Guards against an instance that is avoided forever because it was slow once, for example in a cold
/// start. Only another request can show that it has recovered.
#[test]
fn an_instance_that_was_slow_gets_requests_again() {
    let record = |vm: &str| Record {
        vm: vm.to_owned(),
        incarnation: 1,
        counter: 1,
        state: State::Ready,
        suspect: false,
        domain: "a".to_owned(),
        service: "lists".to_owned(),
        slots: 40,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 1,
        peers: SocketAddr::from(([127, 0, 0, 1], 1)),
        control: SocketAddr::from(([127, 0, 0, 1], 2)),
        operators: SocketAddr::from(([127, 0, 0, 1], 3)),
    };
    let mut view = View::default();
    view.merge(record("usual"), Time::ZERO);
    view.merge(record("slow"), Time::ZERO);
    let instances = Instances::default().derive(&view, &Policy::empty(), "a", Time::ZERO);
    let all = instances.for_service("lists");
    let load = |mean_us| Load { in_flight: 0, queued: 0, slots: 40, mean_us };
    let mut now = Time::from_millis(60_000);
    let slow =
        all.iter().position(|instance| instance.vm == "slow").expect("vm `slow` is a member");
    all[slow].record_load(load(400_000), now);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut tried = None;
    for _ in 0..10_000 {
        now = now + Duration::from_millis(1);
        all[1 - slow].record_load(load(50_000), now);
        let candidates: Vec<Candidate> = all
            .iter()
            .enumerate()
            .filter_map(|(index, instance)| instance.candidate(index, Duration::ZERO, now))
            .collect();
        if router::choose(&candidates, OBJECTIVE, &mut rng) == Some(slow) {
            tried = Some(now.since(Time::from_millis(60_000)));
            break;
        }
    }
    let tried = tried.expect("the slow instance gets a request within 10 s");
    assert!(tried > Duration::from_secs(1), "the slow instance got a request after only {tried:?}");
}
