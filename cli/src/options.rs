//! Commands and options of the command line.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Operate gypsumtack: check and apply the document, show what is in force, and find out why a request
/// was refused. Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with an earlier edit,
/// 4 platform or daemon unreachable, 5 outcome of a write unknown.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Run a complete system on loopback through overload and failures, and check its promises
    #[bpaf(command)]
    Demo {
        /// Print the result as JSON
        json: bool,
        /// Seed for the generated traffic
        #[bpaf(argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
    },
    /// Check a document without applying it
    #[bpaf(command)]
    Check {
        /// The document (TOML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Describe in plain sentences how the system behaves under a document
    #[bpaf(command)]
    Explain {
        /// Print the sentences as a JSON list
        json: bool,
        /// The document (TOML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Apply a document or one section of it
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Print the document in force, with the revision of each section
    #[bpaf(command)]
    Show {
        /// Print as JSON
        json: bool,
        /// Print only this section, in the form that `apply --section` accepts
        #[bpaf(argument("NAME"))]
        section: Option<String>,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print the audit trail: who changed what and when
    #[bpaf(command)]
    History {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print the state, document version and load of every VM, and which VMs do not answer
    #[bpaf(command)]
    Status {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print why a request was refused, shed or delayed
    #[bpaf(command)]
    Why {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
        /// Request id, from the x-request-id header of the answer
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// List claims of non-idempotent requests that are pending or whose outcome is unknown
    #[bpaf(command)]
    Claims {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Settle a claim whose outcome is unknown, after checking the backend server's own records
    #[bpaf(command)]
    Settle(#[bpaf(external(settle))] Settle),
    /// Read a key from standard input and print its digest for the document
    #[bpaf(command)]
    Digest,
}

/// An edit of the document or of one section.
#[derive(Debug, Clone, Bpaf)]
pub struct Apply {
    /// Replace only this section; the file must hold that section's text
    #[bpaf(argument("NAME"))]
    pub section: Option<String>,
    /// Revision of the section on which the edit is based, as `show` prints it
    #[bpaf(argument("REVISION"))]
    pub expect: Option<u64>,
    /// Name of the person who makes the edit, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    /// Team that makes the edit; it must own the section
    #[bpaf(argument("TEAM"))]
    pub team: String,
    #[bpaf(external(platform))]
    pub platform: SocketAddr,
    /// The document, or the text of the section (TOML)
    #[bpaf(positional("FILE"))]
    pub file: String,
}

/// A decision about a claim whose outcome is unknown.
#[derive(Debug, Clone, Bpaf)]
pub struct Settle {
    /// The request did not run: the next request with the same idempotency key may run
    pub not_run: bool,
    /// The request ran: repeats with the same idempotency key are answered with status 200 and not run
    pub ran: bool,
    /// Name of the person who settles the claim, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    #[bpaf(external(platform))]
    pub platform: SocketAddr,
    /// Key of the claim, as `claims` prints it
    #[bpaf(positional("CLAIM"))]
    pub claim: String,
}

fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .env("GYPSUMTACK_PLATFORM")
        .help("IP address and port of the platform")
        .argument("ADDRESS")
}
