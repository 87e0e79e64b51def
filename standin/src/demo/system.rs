//! The system that the demo starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gypsumtack::envelope::Token;
use gypsumtack::publish::{self, Edit, Scope};
use gypsumtack::tables::CustomerShare;
use gypsumtack::time::{Clock, Time, unix_seconds};
use gypsumtack::{Board, Daemon, Digest, Error, Result, Settings, settings, store, wire};
use tokio::task::JoinHandle;

use crate::backend::{Backend, Observations, Plan};
use crate::platform::Platform;

/// Failure domains, each with one instance of each service.
const DOMAINS: [&str; 3] = ["anfa", "maarif", "oasis"];

/// Number of slots of each instance.
const SLOTS: u32 = 6;

/// Service time of a request without its downstream calls, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Maximum time to wait until all VMs are ready, and until a new document is in force on all of them.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the text of the `customers` section, with the key of `portal` only if `portal_granted`.
fn customers_section(portal_granted: bool) -> String {
    let mut text = String::new();
    for (name, rate, burst) in super::traffic::CUSTOMERS {
        let digest = Digest::of(super::traffic::api_key(name).as_bytes());
        let granted = portal_granted || name != super::traffic::WITHDRAWN_CUSTOMER;
        let keys = if granted { format!("\"{digest}\"") } else { String::new() };
        text.push_str(&format!(
            "[customers.{name}]\nrate = {rate:.1}\nburst = {burst:.1}\nkeys = [{keys}]\n"
        ));
    }
    text
}

fn document() -> String {
    let owners = ["owners", "limits", "failure_domains", "services", "customers", "routes"]
        .map(|section| format!("{section} = \"demo\"\n"))
        .concat();
    let domains = DOMAINS.map(|name| format!("[failure_domains.{name}]\nregion = \"demo\"\n"));
    let routes = [
        ("safety", "/register/safety", "register", "critical", true),
        ("lists", "/register/lists", "register", "high", true),
        ("dossiers", "/register/dossiers", "register", "normal", true),
        ("exports", "/register/exports", "register", "low", true),
        ("archive", "/archive", "archive", "normal", true),
        ("signoff", "/archive/signoff", "archive", "critical", false),
    ]
    .map(|(name, path, service, importance, idempotent)| {
        format!(
            "[routes.{name}]\npath = \"{path}\"\nservice = \"{service}\"\n\
             importance = \"{importance}\"\nidempotent = {idempotent}\ndeadline_ms = 1500\n\
             retries = 2\n"
        )
    });
    format!(
        "[owners]\n{owners}[limits]\nqueue_ms = 300\n{}[services.register]\nramp_s = 1\n\
         [services.archive]\nramp_s = 1\n{}{}",
        domains.concat(),
        customers_section(true),
        routes.concat()
    )
}

/// The running system.
pub(super) struct System {
    pub(super) platform: Platform,
    pub(super) observations: Arc<Observations>,
    pub(super) boards: Vec<Arc<Board>>,
    daemons: Vec<Daemon>,
    backends: Vec<Arc<Backend>>,
    reversions: Arc<AtomicU64>,
    watcher: JoinHandle<()>,
}

/// When the document that withdraws the key was accepted, and how long it then took until it was in
/// force on all VMs; `None` if that did not happen within the time-out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Withdrawal {
    pub(super) accepted: Time,
    pub(super) propagation_time: Option<Duration>,
}

impl System {
    pub(super) async fn start(seed: u64) -> Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any_port, seed).await.map_err(|source| Error::Listen {
            key: "platform",
            address: any_port.to_string(),
            source,
        })?;
        let observations = Arc::new(Observations::default());
        apply(platform.address(), Scope::Whole, document()).await?;
        let mut daemons = Vec::new();
        let mut backends = Vec::new();
        for domain in DOMAINS {
            for (service, calls) in [("register", &["/archive/1"][..]), ("archive", &[])] {
                let settings = settings_for(domain, service, platform.address())?;
                let daemon = Daemon::start(settings).await?;
                let listen = &daemon.board().settings.listen;
                let plan = Plan {
                    service: service.to_owned(),
                    slots: SLOTS,
                    service_ms: SERVICE_MS,
                    calls: calls.iter().map(|path| (*path).to_owned()).collect(),
                    cold_ms: 0,
                };
                let backend = Backend::start(
                    plan,
                    listen.egress,
                    listen.operators,
                    Arc::clone(&observations),
                )
                .await
                .map_err(|source| Error::Listen {
                    key: "backend",
                    address: any_port.to_string(),
                    source,
                })?;
                backends.push(Arc::new(backend));
                daemons.push(daemon);
            }
        }
        let boards: Vec<_> = daemons.iter().map(|daemon| Arc::clone(daemon.board())).collect();
        let reversions = Arc::new(AtomicU64::new(0));
        let watcher = tokio::spawn(watch_versions(boards.clone(), Arc::clone(&reversions)));
        let system =
            Self { platform, observations, boards, daemons, backends, reversions, watcher };
        system.wait_until_ready().await;
        Ok(system)
    }

    /// Returns the address for callers of each VM.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.boards.iter().map(|board| board.settings.listen.callers).collect()
    }

    /// Returns how often a VM went back to an older document.
    pub(super) fn reversions(&self) -> u64 {
        self.reversions.load(Ordering::Relaxed)
    }

    async fn wait_until_ready(&self) {
        let clock = self.observations.clock;
        let deadline = clock.now() + READY_TIMEOUT;
        while clock.now() < deadline && !self.boards.iter().all(|board| is_ready(board)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Withdraws one customer's key and measures how long the document takes to be in force on all VMs.
    pub(super) async fn withdraw_key(&self) -> Result<Withdrawal> {
        let scope = Scope::Section { name: "customers".to_owned(), expect: 1 };
        let version = apply(self.platform.address(), scope, customers_section(false)).await?;
        let clock = self.observations.clock;
        let accepted = clock.now();
        let deadline = accepted + READY_TIMEOUT;
        while clock.now() < deadline {
            if self.boards.iter().all(|board| board.policy.load().version >= version) {
                return Ok(Withdrawal {
                    accepted,
                    propagation_time: Some(clock.now().since(accepted)),
                });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(Withdrawal { accepted, propagation_time: None })
    }

    /// Drains one backend server and shuts its daemon down gracefully.
    pub(super) fn stop_one_vm(&mut self) -> JoinHandle<()> {
        let daemon = self.daemons.remove(0);
        self.backends[0].drain();
        tokio::spawn(daemon.stop())
    }

    pub(super) async fn stop(self) {
        self.watcher.abort();
        futures::future::join_all(self.daemons.into_iter().map(Daemon::stop)).await;
        for backend in &self.backends {
            backend.stop();
        }
        self.platform.stop();
    }
}

fn is_ready(board: &Board) -> bool {
    let policy = board.policy.load();
    let tables = board.tables.load();
    let instances = board.instances.load();
    let instances_known =
        ["register", "archive"].iter().all(|s| instances.for_service(s).len() == DOMAINS.len());
    // A customer with a small rate has a share on few VMs only; the other VMs borrow from them.
    let has_share = |share: &Arc<CustomerShare>| {
        share.bucket().fraction() > 0.0 || !share.lenders.load().is_empty()
    };
    policy.version > 0 && instances_known && tables.shares.values().all(has_share)
}

/// Counts how often a VM goes back to an older document.
async fn watch_versions(boards: Vec<Arc<Board>>, reversions: Arc<AtomicU64>) {
    let mut last_versions = vec![0; boards.len()];
    loop {
        for (board, last_version) in boards.iter().zip(&mut last_versions) {
            let version = board.policy.load().version;
            if version < *last_version {
                reversions.fetch_add(1, Ordering::Relaxed);
            }
            *last_version = version;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn settings_for(domain: &str, service: &str, platform: SocketAddr) -> Result<Settings> {
    let text = format!(
        "vm = \"{domain}-{service}\"\nfailure_domain = \"{domain}\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\negress = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         control = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [platform]\naddress = \"{platform}\"\n\
         [fleet]\nsecrets = [\"the secret of the demo fleet\"]\n\
         [limits]\nleave_ms = 1500\nstop_ms = 5000\n"
    );
    Settings::parse(&text, "the demo's settings")
}

async fn apply(address: SocketAddr, scope: Scope, text: String) -> Result<u64> {
    let settings = settings::Platform { address, timeout_ms: 1_000 };
    let client = store::Client::new(&settings, wire::OWN, Clock::start());
    let edit = Edit {
        who: "demo".to_owned(),
        team: "demo".to_owned(),
        time: unix_seconds(),
        scope,
        text,
        change: Token::random(&mut rand::rng()),
    };
    publish::apply(&client, &edit).await
}
