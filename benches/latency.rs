//! The time that two daemons add to a call, beside calling the backend server directly, in one run.
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

/// Pairs of calls that are measured, after the same number to warm up divided by ten.
const PAIRS: usize = 10_000;

/// Rounds a second at most: one direct call, one through two daemons, and one direct again, whose
/// difference to the first shows the noise of the machine.
const RATE: u32 = 800;

fn main() {
    // As many threads as one daemon has by default; here both daemons and the caller share them.
    let threads = gypsumtack::settings::Limits::default().threads;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(run());
}

async fn run() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into(), 1).await.expect("platform");
    apply(platform.address()).await;
    let entry = daemon("entry", platform.address()).await;
    let guard = daemon("guard", platform.address()).await;
    let plan =
        Plan { service: "s".into(), slots: 64, service_ms: 0, calls: Vec::new(), cold_ms: 0 };
    let listen = guard.board().settings.listen.clone();
    let backend =
        Backend::start(plan, listen.egress, listen.operators, Arc::new(Observations::default()))
            .await
            .expect("backend server");
    let board = entry.board();
    while board.instances.load().for_service("s").is_empty()
        || board.tables.load().shares.values().any(|share| share.bucket().fraction() == 0.0)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let caller = Caller::new();
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    let (mut added, mut noise) = (Vec::new(), Vec::new());
    let mut tick = tokio::time::interval(Duration::from_secs(1) / RATE);
    for at in 0..PAIRS + PAIRS / 10 {
        tick.tick().await;
        let first = call(&caller, backend.address()).await;
        let second = call(&caller, board.settings.listen.callers).await;
        let third = call(&caller, backend.address()).await;
        if at >= PAIRS / 10 {
            direct.push(first);
            through.push(second);
            added.push(second.saturating_sub(first));
            noise.push(third.saturating_sub(first));
        }
    }
    println!("calls that were paired: {PAIRS}, one pair at a time, {RATE} pairs a second at most");
    for (name, times) in [
        ("direct", direct),
        ("two daemons", through),
        ("added (paired)", added),
        ("direct again (paired)", noise),
    ] {
        println!("{name:<22} {}", quantiles(times));
    }
    entry.stop().await;
    guard.stop().await;
    backend.stop();
}

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
    format!("p50 {:.3} ms  p90 {:.3} ms  p99 {:.3} ms", at(0.5), at(0.9), at(0.99))
}

async fn call(caller: &Caller, address: SocketAddr) -> Duration {
    let clock = Clock::start();
    let answer = caller.send(address, CallerRequest::get("/s/1").key("bench-key")).await;
    assert!(answer.is_ok_and(|answer| answer.status.is_success()), "a call failed");
    clock.elapsed()
}

async fn daemon(vm: &str, platform: SocketAddr) -> Daemon {
    let text = format!(
        "vm = \"{vm}\"\nfailure_domain = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
         egress = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\n[platform]\naddress = \"{platform}\"\n\
         [fleet]\nsecrets = [\"a secret of the bench\"]\n[limits]\nleave_ms = 10\n"
    );
    Daemon::start(Settings::parse(&text, "bench").expect("settings")).await.expect("daemon")
}

async fn apply(address: SocketAddr) {
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
