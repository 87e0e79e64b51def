//! State, messages and processor time of the decisions at 10 to 400 members, in one process, with the
//! real codecs. docs/CAPACITY.md takes its slopes from here.
//!
//! `cargo run --release --example capacity`

use std::net::SocketAddr;

use gypsumtack::codec;
use gypsumtack::document::{Document, Policy};
use gypsumtack::instance::Instances;
use gypsumtack::key::Digest;
use gypsumtack::member::{Record, State, View};
use gypsumtack::peer::{Heartbeat, LoanResponse};
use gypsumtack::roster::{Members, Roster};
use gypsumtack::time::{Clock, Time};

/// Sizes of the fleet that are measured, and the size that is aimed at.
const SIZES: [usize; 5] = [10, 50, 100, 200, 400];
const AIM: f64 = 410.0;
/// Services and failure domains of the fleet that is aimed at.
const SERVICES: usize = 56;
const DOMAINS: usize = 5;
/// How often each thing is done for one figure.
const ROUNDS: u32 = 200;
/// Views that are held at once to measure one.
const VIEWS: usize = 100;

/// One figure at each size.
struct Series {
    name: &'static str,
    unit: &'static str,
    values: Vec<f64>,
}

fn main() {
    let mut all = vec![
        series("a heartbeat", "B", |n| heartbeat(&mut view(n)).1 as f64),
        series("a heartbeat at rest", "B", |n| {
            let mut view = view(n);
            while !view.take_rumors().is_empty() {}
            heartbeat(&mut view).1 as f64
        }),
        series("making and taking a heartbeat", "us", |n| {
            let mut view = view(n);
            time(|| {
                heartbeat(&mut view);
            })
        }),
        series("deriving the instances", "us", derive),
        series("one scan of all members", "B", |n| rows(n) as f64),
        series("working out a share", "us", plan),
        series("the roster's row", "B", |n| roster_row(n) as f64),
        series("one view of the members", "B", memory),
    ];
    all.push(series("a loan's answer", "B", |_| loan() as f64));
    print!("{:<32}", "members");
    SIZES.iter().for_each(|size| print!("{size:>10}"));
    println!("{:>12}{:>12}", "each more", "at 410");
    for series in &all {
        print!("{:<32}", format!("{} ({})", series.name, series.unit));
        series.values.iter().for_each(|value| print!("{value:>10.1}"));
        let (base, slope) = fit(&series.values);
        println!("{slope:>12.3}{:>12.1}", base + slope * AIM);
    }
    println!();
    for customers in [8_u32, 80, 800] {
        let text = document(customers);
        let document = Document::parse(&text, "capacity").expect("it is valid");
        let parse = time(|| drop(Document::parse(&text, "capacity")));
        let compile = time(|| drop(Policy::compile(&document, 1, &Policy::empty())));
        let bytes = text.len();
        println!(
            "document of {customers} customers: {bytes} B, parsed in {parse:.0} us, compiled in {compile:.0} us"
        );
    }
}

fn series(name: &'static str, unit: &'static str, at: impl FnMut(usize) -> f64) -> Series {
    Series { name, unit, values: SIZES.into_iter().map(at).collect() }
}

/// Least squares over the sizes.
fn fit(values: &[f64]) -> (f64, f64) {
    let count = SIZES.len() as f64;
    let mean_x = SIZES.iter().sum::<usize>() as f64 / count;
    let mean_y = values.iter().sum::<f64>() / count;
    let pairs = || SIZES.iter().map(|&size| size as f64 - mean_x).zip(values);
    let slope = pairs().map(|(x, y)| x * (y - mean_y)).sum::<f64>()
        / pairs().map(|(x, _)| x * x).sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

/// Microseconds of one call.
fn time(mut act: impl FnMut()) -> f64 {
    let clock = Clock::start();
    for _ in 0..ROUNDS {
        act();
    }
    clock.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn record(at: usize) -> Record {
    let address = SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], 7_000));
    Record {
        vm: format!("vm-{at:04}"),
        incarnation: 1_796_344_775_000,
        counter: 3,
        state: State::Ready,
        suspect: false,
        domain: format!("domain-{}", at % DOMAINS),
        service: format!("service-{}", at % SERVICES),
        sheds: false,
        slots: 150,
        epoch: 9,
        peers: address,
        control: address,
        operators: address,
    }
}

fn view(members: usize) -> View {
    let mut view = View::default();
    for at in 0..members {
        view.merge(record(at), Time::ZERO);
    }
    view
}

/// One heartbeat as it is made, written, read and merged. Returns its size too.
fn heartbeat(view: &mut View) -> (u64, usize) {
    let beat = Heartbeat {
        record: record(0),
        rumors: view.take_rumors(),
        document: 7,
        roster: 9,
        age_ms: 1_500,
        suspects: Vec::new(),
    };
    let bytes = codec::encode(&beat).unwrap_or_default();
    if let Ok(read) = codec::decode::<Heartbeat>(&bytes) {
        for record in read.rumors {
            view.merge(record, Time::ZERO);
        }
    }
    (beat.document, bytes.len())
}

fn loan() -> usize {
    codec::encode(&LoanResponse { granted: true }).map_or(0, |bytes| bytes.len())
}

fn derive(members: usize) -> f64 {
    let (view, policy) = (view(members), Policy::empty());
    let mut instances = Instances::default();
    time(|| instances = instances.derive(&view, &policy, "domain-0", Time::ZERO))
}

fn rows(members: usize) -> usize {
    let row = |at| serde_json::to_string(&record(at)).map_or(0, |text| text.len());
    (0..members).map(row).sum()
}

fn roster(members: usize) -> Roster {
    let members: Members = (0..members).map(record).map(|r| (r.vm, r.domain)).collect();
    Roster { version: 9, epoch: 9, members, settled: None }
}

/// Working out one customer's share and lenders, as a VM does for each customer when VMs come or go.
fn plan(members: usize) -> f64 {
    let roster = roster(members);
    time(|| {
        let share = roster.share("vm-0000", "customer", 100.0);
        let lenders = roster.lenders("vm-0000", "customer", 100.0);
        std::hint::black_box((share, lenders));
    })
}

/// The roster's row.
fn roster_row(members: usize) -> usize {
    serde_json::to_string(&roster(members)).map_or(0, |text| text.len())
}

/// Bytes that one view takes, from the memory of many.
fn memory(members: usize) -> f64 {
    let before = resident();
    let views: Vec<View> = (0..VIEWS).map(|_| view(members)).collect();
    let after = resident();
    drop(views);
    after.saturating_sub(before) as f64 / VIEWS as f64
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn document(customers: u32) -> String {
    let mut text = String::from(
        "[owners]\nowners = \"o\"\nlimits = \"o\"\nfailure_domains = \"o\"\nservices = \"o\"\n\
         customers = \"o\"\nroutes = \"o\"\n[failure_domains]\n[customers]\n",
    );
    for at in 0..SERVICES {
        text.push_str(&format!(
            "[services.s{at}]\n[routes.r{at}]\npath = \"/r{at}\"\nservice = \"s{at}\"\n\
             importance = \"high\"\nidempotent = true\ndeadline_ms = 1000\n"
        ));
    }
    for at in 0..customers {
        let digest = Digest::of(&at.to_le_bytes());
        text.push_str(&format!(
            "[customers.c{at}]\nrate = 10.0\nburst = 20.0\nkeys = [\"{digest}\"]\n"
        ));
    }
    text
}
