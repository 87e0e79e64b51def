//! The repeats of a whole fleet, counted at the backend servers of a call graph four services deep.
//!
//! An arrival is a repeat if its request has arrived at the service before, or if it is a call that a
//! repeated run makes. docs/DESIGN.md, "Retries", has the bound.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use fleet::{Fleet, settings_text, until};
use gypsumtack::announcement::BackendServer;
use gypsumtack::envelope::Token;
use gypsumtack::message::{DEADLINE, REQUEST_ID};
use gypsumtack::sync::lock;
use gypsumtack::time::{Clock, Time};
use gypsumtack::{Daemon, Digest, Settings};
use gypsumtack_standin::caller::{Caller, CallerRequest};
use http::HeaderName;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The services from the entry down, each with the number of calls that a run makes to the next one.
const SERVICES: [(&str, u32); 4] = [("view", 2), ("history", 1), ("index", 4), ("catalogue", 0)];

const INSTANCES: usize = 2;
const SLOTS: u32 = 64;

/// Callers' requests per second.
const RATE: f64 = 40.0;

/// Time in which every run is answered, and the time after that in which backend servers are faulty.
const CALM_TIME: Duration = Duration::from_secs(3);
const FAULT_TIME: Duration = Duration::from_secs(6);

/// Fraction of the runs of the deepest service whose answers are lost.
const LOST_FRACTION: f64 = 0.3;

/// Fraction of the requests that every backend server refuses when refusals are repeated.
const REFUSED_FRACTION: f64 = 0.2;

/// Marks an answer as a refusal.
const REFUSED: HeaderName = HeaderName::from_static("x-refused");

/// Bound of the repeats at a service, as a fraction of the requests for it, and the number of repeats
/// that are allowed beyond it.
const MAX_REPEAT_RATIO: f64 = 0.2;
const MAX_EXTRA_REPEATS: f64 = 48.0;

/// Sent by a run that is a repeat with each call.
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");

const NO_BODY: &str = "content-length: 0\r\n\r\n";

/// What the backend servers of one service received.
#[derive(Debug, Default)]
struct Arrivals {
    known: BTreeSet<String>,
    ran: BTreeSet<String>,
    repeats: usize,
    /// Arrivals of requests that had run before.
    second_runs: usize,
}

#[derive(Debug, Default)]
struct History {
    services: std::sync::Mutex<BTreeMap<&'static str, Arrivals>>,
    /// Whether the deepest service loses answers.
    losing: AtomicBool,
    /// Whether all services refuse requests, and write each refusal once more on its connection.
    refusing: AtomicBool,
    /// Number of refusals that were written once more.
    written_again: AtomicUsize,
}

impl History {
    /// Records an arrival and returns whether it is a repeat.
    fn record(&self, service: &'static str, request: &str, by_repeat: bool) -> bool {
        let mut services = lock(&self.services);
        let arrivals = services.entry(service).or_default();
        let is_repeat = !arrivals.known.insert(request.to_owned()) || by_repeat;
        arrivals.repeats += usize::from(is_repeat);
        arrivals.second_runs += usize::from(arrivals.ran.contains(request));
        is_repeat
    }

    fn record_run(&self, service: &'static str, request: &str) {
        lock(&self.services).entry(service).or_default().ran.insert(request.to_owned());
    }

    fn assert_within_bound(&self) {
        for (service, arrivals) in lock(&self.services).iter() {
            let (requests, repeats) = (arrivals.known.len(), arrivals.repeats);
            let allowed = MAX_REPEAT_RATIO * requests as f64 + MAX_EXTRA_REPEATS;
            println!(
                "{service}: {requests} requests, {repeats} repeats, {} of requests that had run, \
                 {allowed:.0} allowed",
                arrivals.second_runs
            );
            assert!(
                repeats as f64 <= allowed,
                "{service}: {repeats} repeats for {requests} requests, {allowed:.0} allowed"
            );
        }
    }
}

/// How a backend server ends a request.
enum Ending {
    Status(u16),
    Refused,
    Lost,
}

/// A backend server that can lose answers by closing the connection, and repeat refusals.
#[derive(Debug)]
struct Server {
    depth: usize,
    egress: SocketAddr,
    caller: Caller,
    history: Arc<History>,
}

impl Server {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut refusal: Option<String> = None;
        loop {
            let mut part = [0; 2048];
            match stream.read(&mut part).await {
                Ok(read @ 1..) => buffer.extend_from_slice(&part[..read]),
                _ => return,
            }
            let text = String::from_utf8_lossy(&buffer).to_ascii_lowercase();
            let Some(end) = text.find("\r\n\r\n") else { continue };
            let header = |name: &HeaderName| {
                let prefix = format!("{name}: ");
                text[..end].lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or_default()
            };
            let id = header(&REQUEST_ID).to_owned();
            let ending = self.run(&id, !header(&REPEAT).is_empty()).await;
            let answer = match ending {
                Ending::Status(status) => {
                    format!("HTTP/1.1 {status} Ended\r\n{REQUEST_ID}: {id}\r\n{NO_BODY}")
                }
                Ending::Refused => {
                    format!("HTTP/1.1 503 Full\r\n{REQUEST_ID}: {id}\r\n{REFUSED}: 1\r\n{NO_BODY}")
                }
                Ending::Lost => return,
            };
            let again = refusal.take().unwrap_or_default();
            self.history.written_again.fetch_add(usize::from(!again.is_empty()), Ordering::Relaxed);
            if stream.write_all((again + &answer).as_bytes()).await.is_err() {
                return;
            }
            if matches!(ending, Ending::Refused) {
                refusal = Some(answer);
            }
            buffer.drain(..end + 4);
        }
    }

    async fn run(&self, request: &str, by_repeat: bool) -> Ending {
        let (service, calls) = SERVICES[self.depth];
        let is_repeat = self.history.record(service, request, by_repeat);
        let is_refusing = self.history.refusing.load(Ordering::Relaxed);
        if is_refusing && rand::rng().random_bool(REFUSED_FRACTION) {
            return Ending::Refused;
        }
        self.history.record_run(service, request);
        for _ in 0..calls {
            let id = Token::random(&mut rand::rng()).to_string();
            let call = CallerRequest::get(&format!("/{}", SERVICES[self.depth + 1].0))
                .header(REQUEST_ID, &id)
                .header(DEADLINE, "2000");
            let call = if is_repeat { call.header(REPEAT, "1") } else { call };
            let answer = self.caller.send(self.egress, call).await;
            if !answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ending::Status(500);
            }
        }
        let is_losing = calls == 0 && self.history.losing.load(Ordering::Relaxed);
        let is_lost = is_losing && rand::rng().random_bool(LOST_FRACTION);
        if is_lost { Ending::Lost } else { Ending::Status(200) }
    }
}

fn document() -> String {
    let mut text = format!(
        "[owners]\nowners = \"ops\"\nlimits = \"ops\"\nfailure_domains = \"ops\"\n\
         services = \"ops\"\ncustomers = \"ops\"\nroutes = \"ops\"\n\
         [failure_domains.a]\nregion = \"r\"\n\
         [customers.acme]\nrate = 1000.0\nburst = 1000.0\nkeys = [\"{}\"]\n",
        Digest::of(b"acme-key")
    );
    for (index, (service, _)) in SERVICES.iter().enumerate() {
        let open = index > 0;
        text += &format!(
            "[services.{service}]\nramp_s = 0\n\
             [routes.{service}]\npath = \"/{service}\"\nservice = \"{service}\"\n\
             importance = \"high\"\nidempotent = true\nopen = {open}\ndeadline_ms = 3000\n"
        );
    }
    text
}

/// Starts the instances of all services, and waits until every daemon knows them all.
async fn start_fleet(history: &Arc<History>) -> (Fleet, Vec<Daemon>) {
    let mut fleet = Fleet::start(&document()).await;
    let dialect = &mut fleet.adapter.dialect;
    dialect.token = None;
    dialect.idempotency_key = None;
    dialect.caller_chosen_ids = true;
    dialect.not_run = Some(REFUSED);
    let mut daemons = Vec::new();
    for (depth, (service, _)) in SERVICES.iter().enumerate() {
        for instance in 0..INSTANCES {
            let vm = format!("{service}-{instance}");
            let text = settings_text(&vm, "a", fleet.platform.address());
            let settings = Settings::parse(&text, "test").unwrap();
            let daemon = Daemon::start_with(settings, fleet.adapter.clone()).await.unwrap();
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            // Without request tokens, calls enter like requests of callers.
            let egress = daemon.board().settings.listen.callers;
            let history = Arc::clone(history);
            let server = Server { depth, egress, caller: Caller::new(), history };
            tokio::spawn(Arc::new(server).serve(listener));
            let backend = BackendServer {
                id: String::new(),
                started: 0,
                sequence: 0,
                cold_ms: 0,
                service: (*service).to_owned(),
                address,
                slots: SLOTS,
                draining: false,
            };
            daemon.board().announce(backend).unwrap();
            daemons.push(daemon);
        }
    }
    for daemon in &daemons {
        let board = daemon.board();
        until("the document is in force", || board.is_serving()).await;
        for (service, _) in SERVICES {
            until("all instances are known", || {
                board.instances.load().for_service(service).len() == INSTANCES
            })
            .await;
        }
        let customer = board.policy.load().customer_id("acme").unwrap();
        let share = board.tables.load().shares[&customer].clone();
        until("a share is held", || share.bucket().fraction() > 0.0).await;
    }
    (fleet, daemons)
}

/// Sends callers' requests to all daemons in turn until `end`.
async fn send_requests(daemons: &[Daemon], clock: Clock, end: Time, rng: &mut StdRng) {
    let caller = Caller::new();
    let mut at = 0;
    while clock.now() < end {
        let address = daemons[at % daemons.len()].board().settings.listen.callers;
        at += 1;
        let request = CallerRequest::get("/view")
            .key("acme-key")
            .header(REQUEST_ID, &Token::random(rng).to_string())
            .header(DEADLINE, "3000");
        let caller = caller.clone();
        tokio::spawn(async move { caller.send(address, request).await });
        let pause = -(1.0 - rng.random::<f64>()).ln() / RATE;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

/// Sends requests while all is well, and then while `fault` is set.
async fn send_requests_with(fault: fn(&History) -> &AtomicBool, seed: u64) -> Arc<History> {
    let history = Arc::new(History::default());
    let (_fleet, daemons) = start_fleet(&history).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let clock = Clock::start();
    send_requests(&daemons, clock, Time::ZERO + CALM_TIME, &mut rng).await;
    fault(&history).store(true, Ordering::Relaxed);
    send_requests(&daemons, clock, Time::ZERO + CALM_TIME + FAULT_TIME, &mut rng).await;
    history
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_deep_in_the_call_graph_exceed_no_retry_bound() {
    let history = send_requests_with(|history| &history.losing, 26).await;
    assert!(lock(&history.services)["catalogue"].repeats > 0, "no answer was lost");
    history.assert_within_bound();
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_that_are_written_again_exceed_no_retry_bound() {
    let history = send_requests_with(|history| &history.refusing, 29).await;
    let written_again = history.written_again.load(Ordering::Relaxed);
    println!("{written_again} refusals were written again");
    assert!(written_again > 0, "no refusal was written again");
    history.assert_within_bound();
}
