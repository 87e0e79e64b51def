//! The settings of one daemon: its addresses, its failure domain and its secrets.
//!
//! Everything that staff decide together stands in the [document](crate::Document); the settings hold
//! only what differs between VMs. docs/OPERATIONS.md, "Settings", describes every key.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::error::{Error, Invalid, Result};

/// The shortest secret that is accepted, in bytes.
const SHORTEST_SECRET: usize = 16;

/// The settings of one daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique in the fleet. A successor on the same address keeps it.
    pub vm: String,
    /// The failure domain that the VM stands in.
    pub failure_domain: String,
    /// The service of the backend server on this VM, where the settings know it; callers' requests
    /// count as coming from there.
    #[serde(default)]
    pub service: String,
    /// Where the daemon listens.
    pub listen: Listen,
    /// The platform's address.
    pub platform: Platform,
    /// Secrets that daemons share.
    pub fleet: Fleet,
    /// Bounds that depend on the VM.
    #[serde(default)]
    pub limits: Limits,
}

/// Where the daemon listens, each an IP number and a port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the local backend server's own calls.
    pub egress: SocketAddr,
    /// For requests from other daemons.
    pub peers: SocketAddr,
    /// For heartbeats, loans and documents from other daemons.
    pub control: SocketAddr,
    /// For announcements, metrics and operators.
    pub operators: SocketAddr,
}

/// The platform's address.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The IP number and port of the table and object store.
    pub address: SocketAddr,
    /// The longest that one exchange may take, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Secrets that daemons share.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The first proves; all are accepted, so that one can be rotated.
    pub secrets: Vec<String>,
    /// Whether daemons need no secret, because the network keeps everyone else out.
    #[serde(default)]
    pub open: bool,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Fleet({})", self.secrets.len())
    }
}

/// Bounds that depend on the VM.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Threads that serve requests. More threads wake each other more often.
    pub threads: usize,
    /// Connections from callers.
    pub caller_connections: usize,
    /// Connections from other daemons.
    pub peer_connections: usize,
    /// Connections from the local backend server.
    pub egress_connections: usize,
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The longest that a request head may take to arrive, in milliseconds.
    pub header_ms: u64,
    /// How long a caller's connection may stay idle, in milliseconds.
    pub idle_ms: u64,
    /// How long a planned stop waits for peers to learn of it, in milliseconds.
    pub leave_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: 2,
            caller_connections: 1_000,
            peer_connections: 4_000,
            egress_connections: 1_000,
            header_bytes: 32 << 10,
            header_ms: 5_000,
            idle_ms: 60_000,
            leave_ms: 2_000,
            stop_ms: 60_000,
        }
    }
}

impl Limits {
    /// The longest that a request head may take to arrive.
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// How long a caller's connection may stay idle.
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

const fn default_timeout_ms() -> u64 {
    1_000
}

impl Settings {
    /// Parses and checks settings. `origin` stands in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first mistake with its line, key and remedy.
    pub fn parse(text: &str, origin: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|error| syntax(text, origin, &error))?;
        settings.check(origin)?;
        Ok(settings)
    }

    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] when the file cannot be read, and otherwise as [`Self::parse`].
    pub fn read(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.to_owned(), source })?;
        Self::parse(&text, path)
    }

    /// Checks what the types cannot.
    ///
    /// # Errors
    ///
    /// Returns the first mistake with its key and remedy.
    pub fn check(&self, origin: &str) -> Result<()> {
        let fail = |key: &str, problem: String, remedy: &str| {
            Error::from(Invalid {
                origin: origin.to_owned(),
                line: None,
                key: key.to_owned(),
                problem,
                remedy: remedy.to_owned(),
            })
        };
        if self.vm.is_empty() || self.vm.len() > 64 || self.vm.contains('/') {
            let problem = format!("the name {:?} is not usable", self.vm);
            return Err(fail("vm", problem, "use up to 64 letters, digits, - and _"));
        }
        if self.failure_domain.is_empty() {
            let remedy = "name the failure domain that the VM stands in";
            return Err(fail("failure_domain", "it is empty".to_owned(), remedy));
        }
        if !(1..=64).contains(&self.limits.threads) {
            let problem = format!("it is {}", self.limits.threads);
            return Err(fail("limits.threads", problem, "set it between 1 and 64"));
        }
        let none = self.fleet.secrets.is_empty() && !self.fleet.open;
        if none || self.fleet.secrets.len() > 2 {
            let problem = format!("there are {} secrets", self.fleet.secrets.len());
            return Err(fail("fleet.secrets", problem, "give one, or two while one is rotated"));
        }
        if let Some(short) = self.fleet.secrets.iter().find(|s| s.len() < SHORTEST_SECRET) {
            let problem = format!("a secret has {} bytes", short.len());
            let remedy = format!("use {SHORTEST_SECRET} random bytes or more");
            return Err(fail("fleet.secrets", problem, &remedy));
        }
        Ok(())
    }
}

fn syntax(text: &str, origin: &str, error: &toml::de::Error) -> Invalid {
    let line = error.span().map(|span| text[..span.start].matches('\n').count() + 1);
    Invalid {
        origin: origin.to_owned(),
        line,
        key: String::new(),
        problem: error.message().trim().replace('\n', " "),
        remedy: "correct that line; docs/OPERATIONS.md, \"Settings\", lists every key".to_owned(),
    }
}
