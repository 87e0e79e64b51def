//! The settings of one daemon: its addresses, its failure domain and its secrets.
//!
//! The settings hold only what differs between VMs; the configuration of the whole fleet is in the
//! [document](crate::Document). docs/OPERATIONS.md, "Settings", describes every key.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::announcement::Identity;
use crate::error::{Error, Invalid, Result};
use crate::member;

/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// Minimum of `limits.body_memory` and `limits.answer_memory`, in bytes: with less, long bodies arrive one after the other.
const MIN_BODY_MEMORY: usize = 2 << 20;

/// The settings of one daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM, unique in the fleet. A VM that replaces it at the same address keeps the
    /// name.
    pub vm: String,
    /// The failure domain of the VM.
    pub failure_domain: String,
    /// The service of the local backend server, if known in advance. Requests that enter through this
    /// daemon are then attributed to it, and announcements of another service are rejected.
    #[serde(default)]
    pub service: String,
    /// The address of the local backend server, if known in advance. Announcements of another address are
    /// then rejected.
    #[serde(default)]
    pub backend: Option<SocketAddr>,
    /// The addresses on which the daemon listens.
    pub listen: Listen,
    /// The connection to the platform.
    pub platform: Platform,
    /// Authentication between daemons.
    pub fleet: Fleet,
    /// Limits of this daemon.
    #[serde(default)]
    pub limits: Limits,
}

/// The addresses on which the daemon listens, each an IP address and a port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the downstream calls of the local backend server.
    pub egress: SocketAddr,
    /// Address for requests from peers.
    pub peers: SocketAddr,
    /// Address for heartbeats, loans and documents from peers.
    pub control: SocketAddr,
    /// Address for announcements of the local backend server, for metrics and for operators.
    pub operators: SocketAddr,
}

/// The connection to the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The IP address and port of the store.
    pub address: SocketAddr,
    /// Timeout of one store request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Authentication between daemons.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Secrets that all daemons share. This daemon authenticates with the first and accepts all, so that
    /// a secret can be rotated.
    pub secrets: Vec<String>,
    /// Whether daemons need no secret, because the network admits only daemons.
    #[serde(default)]
    pub open: bool,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Fleet({})", self.secrets.len())
    }
}

/// Limits of one daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of threads that serve requests. More threads wake each other more often.
    pub threads: usize,
    /// Maximum number of connections from callers.
    pub caller_connections: usize,
    /// Maximum number of connections from peers.
    pub peer_connections: usize,
    /// Maximum number of connections from the local backend server.
    pub egress_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum memory for the long bodies of callers' requests together, in bytes. While it is used up,
    /// connections with further long bodies are not read.
    pub body_memory: usize,
    /// Maximum memory for the long bodies of the local backend server's answers together, and as much for
    /// those of other daemons' answers, in bytes. While it is used up, further ones are not read. An answer
    /// may have up to half of it.
    pub answer_memory: usize,
    /// Timeout for the arrival of a request head, and for the next part of a body, in milliseconds.
    pub header_ms: u64,
    /// Idle timeout of a caller's connection, and timeout for the arrival of a whole body, in
    /// milliseconds.
    pub idle_ms: u64,
    /// How long a graceful shutdown waits for peers to be notified, in milliseconds.
    pub leave_ms: u64,
    /// How long a graceful shutdown waits for requests in flight, in milliseconds.
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
            body_memory: 32 << 20,
            answer_memory: 48 << 20,
            header_ms: 5_000,
            idle_ms: 60_000,
            leave_ms: 2_000,
            stop_ms: 60_000,
        }
    }
}

impl Limits {
    /// Returns the timeout for the arrival of a request head.
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_ms)
    }

    /// Returns the idle timeout of a caller's connection.
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

const fn default_timeout_ms() -> u64 {
    1_000
}

impl Settings {
    /// Parses and validates settings. Error messages name `origin` as the source of the text.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its remedy and its line or key.
    pub fn parse(text: &str, origin: &str) -> Result<Self> {
        let settings: Self =
            toml::from_str(text).map_err(|error| syntax_error(text, origin, &error))?;
        settings.check(origin)?;
        Ok(settings)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] when the file cannot be read, and otherwise the errors of
    /// [`Self::parse`].
    pub fn read(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.to_owned(), source })?;
        Self::parse(&text, path)
    }

    /// Returns what the settings say of the local backend server.
    pub fn identity(&self) -> Identity {
        Identity { service: self.service.clone(), address: self.backend }
    }

    /// Checks the constraints that deserialization does not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its key and remedy.
    pub fn check(&self, origin: &str) -> Result<()> {
        let error = |key: &str, problem: String, remedy: &str| {
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
            return Err(error("vm", problem, "use up to 64 letters, digits, - and _"));
        }
        if self.failure_domain.is_empty() {
            let remedy = "name the failure domain that the VM stands in";
            return Err(error("failure_domain", "it is empty".to_owned(), remedy));
        }
        for (key, name) in [("vm", &self.vm), ("failure_domain", &self.failure_domain)] {
            let remedy = "use letters, digits, - and _";
            member::check_name(name).map_err(|problem| error(key, problem, remedy))?;
        }
        if !(1..=64).contains(&self.limits.threads) {
            let problem = format!("it is {}", self.limits.threads);
            return Err(error("limits.threads", problem, "set it between 1 and 64"));
        }
        let memory = [
            ("limits.body_memory", self.limits.body_memory),
            ("limits.answer_memory", self.limits.answer_memory),
        ];
        if let Some((key, bytes)) = memory.into_iter().find(|(_, bytes)| *bytes < MIN_BODY_MEMORY) {
            let remedy = format!("set it to {MIN_BODY_MEMORY} bytes or more");
            return Err(error(key, format!("it is {bytes}"), &remedy));
        }
        let has_none = self.fleet.secrets.is_empty() && !self.fleet.open;
        if has_none || self.fleet.secrets.len() > 2 {
            let problem = format!("there are {} secrets", self.fleet.secrets.len());
            return Err(error("fleet.secrets", problem, "give one, or two while one is rotated"));
        }
        if let Some(short) = self.fleet.secrets.iter().find(|s| s.len() < MIN_SECRET_BYTES) {
            let problem = format!("a secret has {} bytes", short.len());
            let remedy = format!("use {MIN_SECRET_BYTES} random bytes or more");
            return Err(error("fleet.secrets", problem, &remedy));
        }
        Ok(())
    }
}

/// Converts a TOML error, which has no key path, to an [`Invalid`].
fn syntax_error(text: &str, origin: &str, error: &toml::de::Error) -> Invalid {
    let line = error.span().map(|span| text[..span.start].matches('\n').count() + 1);
    Invalid {
        origin: origin.to_owned(),
        line,
        key: String::new(),
        problem: error.message().trim().replace('\n', " "),
        remedy: "correct that line; docs/OPERATIONS.md, \"Settings\", lists every key".to_owned(),
    }
}
