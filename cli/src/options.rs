//! What the command line accepts.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Operate gypsumtack: check and apply the document, see what is in force, and read why a request was
/// refused. Exit codes: 0 done, 1 failed, 2 invalid input, 3 another edit came first, 4 platform or
/// daemon out of reach, 5 outcome unknown.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Start a whole system on loopback, put it through overload and failures, and check the promises
    #[bpaf(command)]
    Demo {
        /// Print the result as JSON
        json: bool,
        /// Seed of the traffic
        #[bpaf(argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
    },
    /// Check a document without touching anything
    #[bpaf(command)]
    Check {
        /// The document (TOML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Say in plain sentences what a document makes the system do
    #[bpaf(command)]
    Explain {
        /// Print the sentences as a JSON list
        json: bool,
        /// The document (TOML)
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Put a document, or one section of it, in force
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Print the document in force, with the revision of each section
    #[bpaf(command)]
    Show {
        /// Print as JSON
        json: bool,
        /// Only this section; its text can be edited and applied again
        #[bpaf(argument("NAME"))]
        section: Option<String>,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print the audit trail: who changed what, when
    #[bpaf(command)]
    History {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print what every VM has in force, and who has not been heard from
    #[bpaf(command)]
    Status {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Print why a request was refused, shed or made to wait
    #[bpaf(command)]
    Why {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
        /// The x-request-id header of the answer
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// List claims of non-idempotent requests whose outcome is unknown or still open
    #[bpaf(command)]
    Claims {
        /// Print as JSON
        json: bool,
        #[bpaf(external(platform))]
        platform: SocketAddr,
    },
    /// Settle a claim whose outcome is unknown, after looking at the backend server's own records
    #[bpaf(command)]
    Settle(#[bpaf(external(settle))] Settle),
    /// Read a key from standard input and print its digest for the document
    #[bpaf(command)]
    Digest,
}

/// An edit.
#[derive(Debug, Clone, Bpaf)]
pub struct Apply {
    /// Replace only this section; the file then holds that section's text
    #[bpaf(argument("NAME"))]
    pub section: Option<String>,
    /// The revision of the section that the edit was made from, as `show` prints it
    #[bpaf(argument("REVISION"))]
    pub expect: Option<u64>,
    /// Who makes the edit, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    /// The team that makes the edit; it must own the section
    #[bpaf(argument("TEAM"))]
    pub team: String,
    #[bpaf(external(platform))]
    pub platform: SocketAddr,
    /// The text (TOML)
    #[bpaf(positional("FILE"))]
    pub file: String,
}

/// A claim that is to be settled.
#[derive(Debug, Clone, Bpaf)]
pub struct Settle {
    /// The request did not run: the next request with the key may run
    pub not_run: bool,
    /// The request ran: repeats are told so
    pub ran: bool,
    /// Who settles it, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    #[bpaf(external(platform))]
    pub platform: SocketAddr,
    /// The claim, as `claims` prints it
    #[bpaf(positional("CLAIM"))]
    pub claim: String,
}

fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .env("GYPSUMTACK_PLATFORM")
        .help("The platform's IP number and port")
        .argument("ADDRESS")
}
