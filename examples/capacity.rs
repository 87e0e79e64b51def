//! Measures memory, message sizes and processor time per decision for fleets of 10 to 400 members, in one
//! process and with the codecs that the daemons use. The slopes in docs/CAPACITY.md are from this program.
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

/// Numbers of members that are measured.
const FLEET_SIZES: [usize; 5] = [10, 50, 100, 200, 400];
/// Number of members of the target fleet, to which the figures are extrapolated.
const TARGET_MEMBERS: f64 = 410.0;
/// Number of services of the target fleet.
const SERVICES: usize = 56;
/// Number of failure domains of the target fleet.
const DOMAINS: usize = 5;
/// Number of runs that a mean time is taken over.
const ROUNDS: u32 = 200;
/// Number of views that are allocated to measure the memory of one.
const VIEWS: usize = 100;

/// One figure at each of [`FLEET_SIZES`].
struct Series {
    name: &'static str,
    unit: &'static str,
    values: Vec<f64>,
}

fn main() {
    let mut all_series = vec![
        measure("heartbeat", "B", |members| exchange_heartbeat(&mut view(members)).1 as f64),
        measure("heartbeat without changes", "B", |members| {
            let mut view = view(members);
            while !view.take_rumors().is_empty() {}
            exchange_heartbeat(&mut view).1 as f64
        }),
        measure("heartbeat exchange", "us", |members| {
            let mut view = view(members);
            mean_us(|| {
                exchange_heartbeat(&mut view);
            })
        }),
        measure("deriving the instances", "us", derive_instances_us),
        measure("scan of all members", "B", |members| scan_bytes(members) as f64),
        measure("computing a share", "us", plan_share_us),
        measure("roster row", "B", |members| roster_row_bytes(members) as f64),
        measure("view of the members", "B", view_bytes),
    ];
    all_series.push(measure("loan response", "B", |_| loan_response_bytes() as f64));
    print!("{:<32}", "members");
    FLEET_SIZES.iter().for_each(|size| print!("{size:>10}"));
    println!("{:>12}{:>12}", "per member", "at 410");
    for series in &all_series {
        print!("{:<32}", format!("{} ({})", series.name, series.unit));
        series.values.iter().for_each(|value| print!("{value:>10.1}"));
        let (base, slope) = fit(&series.values);
        println!("{slope:>12.3}{:>12.1}", base + slope * TARGET_MEMBERS);
    }
    println!();
    for customers in [8_u32, 80, 800] {
        let text = document(customers);
        let document = Document::parse(&text, "capacity").expect("the document is valid");
        let parse = mean_us(|| drop(Document::parse(&text, "capacity")));
        let compile = mean_us(|| drop(Policy::compile(&document, 1, &Policy::empty())));
        let bytes = text.len();
        println!(
            "document with {customers} customers: {bytes} B, parsed in {parse:.0} us, compiled in {compile:.0} us"
        );
    }
}

/// Evaluates `figure` for each of [`FLEET_SIZES`].
fn measure(name: &'static str, unit: &'static str, figure: impl FnMut(usize) -> f64) -> Series {
    Series { name, unit, values: FLEET_SIZES.into_iter().map(figure).collect() }
}

/// Fits a line through the values by least squares. Returns its value at 0 members and its slope per
/// member.
fn fit(values: &[f64]) -> (f64, f64) {
    let count = FLEET_SIZES.len() as f64;
    let mean_x = FLEET_SIZES.iter().sum::<usize>() as f64 / count;
    let mean_y = values.iter().sum::<f64>() / count;
    let pairs = || FLEET_SIZES.iter().map(|&size| size as f64 - mean_x).zip(values);
    let slope = pairs().map(|(x, y)| x * (y - mean_y)).sum::<f64>()
        / pairs().map(|(x, _)| x * x).sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

/// Returns the mean time of `operation` over [`ROUNDS`] calls, in microseconds.
fn mean_us(mut operation: impl FnMut()) -> f64 {
    let clock = Clock::start();
    for _ in 0..ROUNDS {
        operation();
    }
    clock.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Returns the record of one member.
fn record(index: usize) -> Record {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000));
    Record {
        vm: format!("vm-{index:04}"),
        incarnation: 1_796_344_775_000,
        counter: 3,
        state: State::Ready,
        suspect: false,
        domain: format!("domain-{}", index % DOMAINS),
        service: format!("service-{}", index % SERVICES),
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        slots: 150,
        epoch: 9,
        peers: address,
        control: address,
        operators: address,
    }
}

/// Returns a view that holds the records of the given number of members.
fn view(members: usize) -> View {
    let mut view = View::default();
    for index in 0..members {
        view.merge(record(index), Time::ZERO);
    }
    view
}

/// Builds, encodes, decodes and merges one heartbeat. Returns its document version and its encoded size in
/// bytes.
fn exchange_heartbeat(view: &mut View) -> (u64, usize) {
    let sent = Heartbeat {
        record: record(0),
        rumors: view.take_rumors(),
        document: 7,
        roster: 9,
        age_ms: 1_500,
        suspects: Vec::new(),
        withdrawn: Vec::new(),
    };
    let bytes = codec::encode(&sent).unwrap_or_default();
    if let Ok(received) = codec::decode::<Heartbeat>(&bytes) {
        for record in received.rumors {
            view.merge(record, Time::ZERO);
        }
    }
    (sent.document, bytes.len())
}

/// Returns the encoded size of a loan response.
fn loan_response_bytes() -> usize {
    codec::encode(&LoanResponse { granted: true }).map_or(0, |bytes| bytes.len())
}

/// Returns the time to derive the instances from a view, in microseconds.
fn derive_instances_us(members: usize) -> f64 {
    let (view, policy) = (view(members), Policy::empty());
    let mut instances = Instances::default();
    mean_us(|| instances = instances.derive(&view, &policy, "domain-0", Time::ZERO))
}

/// Returns the total size of the rows that a scan of all members returns.
fn scan_bytes(members: usize) -> usize {
    let row_bytes = |index| serde_json::to_string(&record(index)).map_or(0, |text| text.len());
    (0..members).map(row_bytes).sum()
}

/// Returns a roster of the given number of members.
fn roster(members: usize) -> Roster {
    let members: Members = (0..members).map(record).map(|r| (r.vm, r.domain)).collect();
    Roster { version: 9, epoch: 9, members, settled: None }
}

/// Returns the time to compute one customer's share and lenders, in microseconds. Each VM does this for
/// each customer when VMs join or leave.
fn plan_share_us(members: usize) -> f64 {
    let roster = roster(members);
    mean_us(|| {
        let share = roster.share("vm-0000", "customer", 100.0);
        let lenders = roster.lenders("vm-0000", "customer", 100.0);
        std::hint::black_box((share, lenders));
    })
}

/// Returns the size of the roster row in the store.
fn roster_row_bytes(members: usize) -> usize {
    serde_json::to_string(&roster(members)).map_or(0, |text| text.len())
}

/// Returns the memory of one view in bytes, from the growth of resident memory by [`VIEWS`] views.
fn view_bytes(members: usize) -> f64 {
    let before = resident_bytes();
    let views: Vec<View> = (0..VIEWS).map(|_| view(members)).collect();
    let after = resident_bytes();
    drop(views);
    after.saturating_sub(before) as f64 / VIEWS as f64
}

/// Returns the resident memory of this process in bytes, for pages of 4096 bytes. Returns 0 if it cannot
/// be read.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    pages * 4_096
}

/// Returns the text of a document with [`SERVICES`] services and the given number of customers.
fn document(customers: u32) -> String {
    let mut text = String::from(
        "[owners]\nowners = \"o\"\nlimits = \"o\"\nfailure_domains = \"o\"\nservices = \"o\"\n\
         customers = \"o\"\nroutes = \"o\"\n[failure_domains]\n[customers]\n",
    );
    for index in 0..SERVICES {
        text.push_str(&format!(
            "[services.s{index}]\n[routes.r{index}]\npath = \"/r{index}\"\nservice = \"s{index}\"\n\
             importance = \"high\"\nidempotent = true\ndeadline_ms = 1000\n"
        ));
    }
    for index in 0..customers {
        let digest = Digest::of(&index.to_le_bytes());
        text.push_str(&format!(
            "[customers.c{index}]\nrate = 10.0\nburst = 20.0\nkeys = [\"{digest}\"]\n"
        ));
    }
    text
}
