//! Latency that two daemons add to a call, compared with direct calls to the backend server in the same
//! run.
//!
//! `cargo bench --bench latency`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gypsumtack::envelope::Token;
use gypsumtack::publish::{self, Edit, Scope};
use gypsumtack::time::Clock;
use gypsumtack::{Daemon, Digest, Settings, settings, store, wire};
use gypsumtack_standin::backend::{Backend, Observations, Plan};
use gypsumtack_standin::caller::{Caller, CallerRequest};
use gypsumtack_standin::platform::Platform;

/// Number of measured pairs of a direct call and a call through two daemons. A tenth as many run before
/// them as a warm-up.
const PAIRS: usize = 10_000;

/// Maximum pairs per second. Each pair is followed by a second direct call, whose difference from the first
/// shows the noise of the machine.
const MAX_PAIRS_PER_SECOND: u32 = 800;

fn main() {
    // The default number of threads of one daemon. Here both daemons, the caller and the platform
    // share them.
    let threads = gypsumtack::settings::Limits::default().threads;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(run());
}

async fn run() {
    let platform =
        Platform::start(([127, 0, 0, 1], 0).into(), 1).await.expect("the platform starts");
    apply_document(platform.address()).await;
    let entry = start_daemon("entry", platform.address()).await;
    let guard = start_daemon("guard", platform.address()).await;
    let plan =
        Plan { service: "s".into(), slots: 64, service_ms: 0, calls: Vec::new(), cold_ms: 0 };
    let listen = guard.board().settings.listen.clone();
    let backend =
        Backend::start(plan, listen.egress, listen.operators, Arc::new(Observations::default()))
            .await
            .expect("the backend server starts");
    let board = entry.board();
    while board.instances.load().for_service("s").is_empty()
        || board.tables.load().shares.values().any(|share| share.bucket().fraction() == 0.0)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let caller = Caller::new();
    let (mut direct, mut through_daemons) = (Vec::new(), Vec::new());
    let (mut added, mut noise) = (Vec::new(), Vec::new());
    let mut tick = tokio::time::interval(Duration::from_secs(1) / MAX_PAIRS_PER_SECOND);
    for pair in 0..PAIRS + PAIRS / 10 {
        tick.tick().await;
        let direct_time = time_call(&caller, backend.address()).await;
        let daemon_time = time_call(&caller, board.settings.listen.callers).await;
        let repeat_time = time_call(&caller, backend.address()).await;
        if pair >= PAIRS / 10 {
            direct.push(direct_time);
            through_daemons.push(daemon_time);
            added.push(daemon_time.saturating_sub(direct_time));
            noise.push(repeat_time.saturating_sub(direct_time));
        }
    }
    println!("measured pairs: {PAIRS}, sequential, at most {MAX_PAIRS_PER_SECOND} per second");
    for (name, times) in [
        ("direct", direct),
        ("two daemons", through_daemons),
        ("added (paired)", added),
        ("direct again (paired)", noise),
    ] {
        println!("{name:<22} {}", quantiles(times));
    }
    entry.stop().await;
    guard.stop().await;
    backend.stop();
}

/// Formats the 50th, 90th and 99th percentile.
fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let quantile_ms = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    format!(
        "p50 {:.3} ms  p90 {:.3} ms  p99 {:.3} ms",
        quantile_ms(0.5),
        quantile_ms(0.9),
        quantile_ms(0.99)
    )
}

/// Sends one request and returns the time until its answer.
async fn time_call(caller: &Caller, address: SocketAddr) -> Duration {
    let clock = Clock::start();
    let answer = caller.send(address, CallerRequest::get("/s/1").key("bench-key")).await;
    assert!(answer.is_ok_and(|answer| answer.status.is_success()), "request failed or was refused");
    clock.elapsed()
}

/// Starts a daemon on free loopback ports.
async fn start_daemon(vm: &str, platform: SocketAddr) -> Daemon {
    let text = format!(
        "vm = \"{vm}\"\nfailure_domain = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
         egress = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\n[platform]\naddress = \"{platform}\"\n\
         [fleet]\nsecrets = [\"a secret of the bench\"]\n[limits]\nleave_ms = 10\n"
    );
    Daemon::start(Settings::parse(&text, "bench").expect("the settings are valid"))
        .await
        .expect("the daemon starts")
}

/// Publishes a document with one customer and one route.
async fn apply_document(address: SocketAddr) {
    let digest = Digest::of(b"bench-key");
    let text = format!(
        "[owners]\nowners = \"o\"\nlimits = \"o\"\nfailure_domains = \"o\"\nservices = \"o\"\n\
         customers = \"o\"\nroutes = \"o\"\n[failure_domains.a]\nregion = \"r\"\n[services.s]\n\
         [customers.c]\nrate = 100000.0\nburst = 100000.0\nkeys = [\"{digest}\"]\n\
         [routes.r]\npath = \"/s\"\nservice = \"s\"\nimportance = \"high\"\nidempotent = true\n\
         deadline_ms = 5000\n"
    );
    let edit = Edit {
        who: "bench".into(),
        team: "o".into(),
        time: 0,
        scope: Scope::Whole,
        text,
        change: Token::random(&mut rand::rng()),
    };
    let settings = settings::Platform { address, timeout_ms: 1_000 };
    let client = store::Client::new(&settings, wire::OWN, Clock::start());
    publish::apply(&client, &edit).await.expect("the document is accepted");
}
