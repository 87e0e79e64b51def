//! Where requests are placed when instances of one service differ in speed. No network, no clock.

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

/// Daemons that place requests. Each knows of an instance what its own answers told, and what it has sent.
const CALLERS: usize = 20;

/// An instance that serves first come, first served.
struct Fake {
    slots: u32,
    mean_ms: f64,
    running: u32,
    /// Who sent the requests that wait.
    waiting: VecDeque<usize>,
    /// Its load as its last answer to each caller told it.
    told: [u32; CALLERS],
    /// What each caller has sent and has no answer to.
    sent: [u32; CALLERS],
}

impl Fake {
    fn new(slots: u32, mean_ms: f64) -> Self {
        let (told, sent) = ([0; CALLERS], [0; CALLERS]);
        Self { slots, mean_ms, running: 0, waiting: VecDeque::new(), told, sent }
    }

    fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    fn has_room(&self) -> bool {
        f64::from(self.running) < 0.9 * f64::from(self.slots)
    }

    fn candidate(&self, index: usize, caller: usize) -> Candidate {
        Candidate {
            index,
            local: true,
            load: self.told[caller].max(self.sent[caller]),
            slots: self.slots,
            service_time: Duration::from_secs_f64(self.mean_ms / 1e3),
            failure_rate: 0.0,
        }
    }
}

/// Plays ten seconds of `rate` requests a second. Returns the part of the requests that had to wait for a
/// slot while another instance had one in ten free.
fn waited_needlessly(fakes: &mut [Fake], rate: f64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let (mut now, mut all, mut needless) = (0_u64, 0, 0);
    let span =
        |mean_ms: f64, rng: &mut SmallRng| (mean_ms * 1_000.0 * rng.random_range(0.5..1.5)) as u64;
    while now < 10_000_000 {
        now += (-rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate * 1e6) as u64;
        while let Some(&Reverse((end, at, caller))) = ends.peek().filter(|next| next.0.0 <= now) {
            ends.pop();
            let fake = &mut fakes[at];
            fake.running -= 1;
            if let Some(next) = fake.waiting.pop_front() {
                fake.running += 1;
                ends.push(Reverse((end + span(fake.mean_ms, &mut rng), at, next)));
            }
            fake.sent[caller] -= 1;
            fake.told[caller] = fake.load();
        }
        let caller = rng.random_range(0..CALLERS);
        let candidates: Vec<Candidate> =
            fakes.iter().enumerate().map(|(at, fake)| fake.candidate(at, caller)).collect();
        let at = router::choose(&candidates, OBJECTIVE, &mut rng).expect("there are instances");
        let roomy = fakes.iter().any(Fake::has_room);
        let fake = &mut fakes[at];
        fake.sent[caller] += 1;
        all += 1;
        if fake.running < fake.slots {
            fake.running += 1;
            ends.push(Reverse((now + span(fake.mean_ms, &mut rng), at, caller)));
        } else {
            fake.waiting.push_back(caller);
            needless += u32::from(roomy);
        }
    }
    f64::from(needless) / f64::from(all)
}

/// The load: a burst fills the fast instances of a service whose slower ones take twice as long, and that is
/// still well within the latency objective.
#[test]
fn slower_instances_take_work_while_faster_ones_queue() {
    for seed in 0..3 {
        let mut fakes = [50.0, 50.0, 110.0, 110.0].map(|mean_ms| Fake::new(175, mean_ms));
        let capacity: f64 = fakes.iter().map(|f| f64::from(f.slots) * 1_000.0 / f.mean_ms).sum();
        let needless = waited_needlessly(&mut fakes, 0.8 * capacity, seed);
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        eprintln!("NEED {needless}");
        assert!(needless < 0.02, "seed {seed}: {:.1}% waited needlessly", needless * 100.0);
    }
}

/// A cold start or a slow spell ends, and only a request can tell.
#[test]
fn an_instance_that_was_slow_is_tried_again() {
    let record = |vm: &str| Record {
        vm: vm.to_owned(),
        incarnation: 1,
        counter: 1,
        state: State::Ready,
        suspect: false,
        domain: "a".to_owned(),
        service: "lists".to_owned(),
        slots: 40,
        sheds: false,
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
    let slow = all.iter().position(|instance| instance.vm == "slow").expect("it is a member");
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
    let tried = tried.expect("it is tried within 10 s");
    assert!(tried > Duration::from_secs(1), "it is left alone at first, not for {tried:?} only");
}
