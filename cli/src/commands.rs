//! Implementation of the commands.

use std::net::SocketAddr;
use std::process::ExitCode;

use gypsumtack::claim::{self, Claim, State, StoredAnswer, StoredBody};
use gypsumtack::controllers::MEMBERS;
use gypsumtack::document::Sections;
use gypsumtack::envelope::{RequestId, Token};
use gypsumtack::error::StoreError;
use gypsumtack::journal::Entry;
use gypsumtack::member::Record;
use gypsumtack::ops::Status;
use gypsumtack::publish::{self, Audit, Edit, Scope};
use gypsumtack::store::{Client, Commit, Row};
use gypsumtack::time::{Clock, unix_seconds};
use gypsumtack::{Digest, Document, Error, Invalid, Result, explain, settings, wire};
use gypsumtack_standin::caller::{Caller, CallerRequest};
use gypsumtack_standin::demo;
use serde::Serialize;

use crate::options::{Apply, Options, Settle};
use crate::output::{self, finish, print};

/// Timeout for one store request, and for one request to a daemon's operators address, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;

/// Runs one command.
pub async fn run(options: Options) -> ExitCode {
    match options {
        Options::Demo { json, seed } => run_demo(json, seed).await,
        Options::Check { file } => finish(check(&file)),
        Options::Explain { json, file } => finish(explain_file(&file, json)),
        Options::Apply(apply) => finish(run_apply(apply).await),
        Options::Show { json, section, platform } => {
            finish(show(&client(platform), section.as_deref(), json).await)
        }
        Options::History { json, platform } => finish(history(&client(platform), json).await),
        Options::Status { json, platform } => finish(status(&client(platform), json).await),
        Options::Why { json, platform, request } => {
            finish(why(&client(platform), &request, json).await)
        }
        Options::Claims { json, platform } => finish(claims(&client(platform), json).await),
        Options::Settle(settle) => finish(run_settle(settle).await),
        Options::Digest => finish(digest()),
    }
}

fn client(address: SocketAddr) -> Client {
    Client::new(&settings::Platform { address, timeout_ms: TIMEOUT_MS }, wire::OWN, Clock::start())
}

async fn run_demo(json: bool, seed: u64) -> ExitCode {
    match demo::run(seed, !json).await {
        Ok(report) => {
            print(&report, json, demo::Report::table);
            if report.broken() == 0 { ExitCode::SUCCESS } else { output::EXIT_FAILURE }
        }
        Err(error) => finish(Err(error)),
    }
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

fn check(file: &str) -> Result<()> {
    let sections = Sections::split(&read_file(file)?, file)?;
    println!("{file}: ok, {} sections", sections.iter().count());
    Ok(())
}

fn explain_file(file: &str, json: bool) -> Result<()> {
    let document = Document::parse(&read_file(file)?, file)?;
    print(&explain(&document), json, |lines| lines.join("\n"));
    Ok(())
}

fn invalid_argument(key: &str, problem: &str, remedy: &str) -> Error {
    Error::Invalid(Invalid {
        origin: "arguments".to_owned(),
        line: None,
        key: key.to_owned(),
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    })
}

async fn run_apply(apply: Apply) -> Result<()> {
    let text = read_file(&apply.file)?;
    let scope = match (apply.section, apply.expect) {
        (None, None) => {
            Sections::split(&text, &apply.file)?;
            Scope::Whole
        }
        (Some(name), Some(expect)) => Scope::Section { name, expect },
        (Some(_), None) => {
            let remedy = "pass the revision that `show` prints beside the section";
            return Err(invalid_argument("--expect", "required with --section", remedy));
        }
        (None, Some(_)) => {
            return Err(invalid_argument(
                "--section",
                "required with --expect",
                "name the section to replace",
            ));
        }
    };
    let edit = Edit {
        who: apply.who,
        team: apply.team,
        time: unix_seconds(),
        scope,
        text,
        change: new_token(),
    };
    let version = publish::apply(&client(apply.platform), &edit).await?;
    println!("accepted as version {version}");
    Ok(())
}

fn new_token() -> Token {
    Token::random(&mut rand::rng())
}

async fn show(client: &Client, section: Option<&str>, json: bool) -> Result<()> {
    let (_, body) = publish::read(client).await?;
    let Some(body) = body else {
        return Err(invalid_argument(
            "document",
            "none is in force",
            "apply one with `gypsumtack apply`",
        ));
    };
    let Some(name) = section else {
        print(&body, json, |body| {
            let format_section = |(name, section): (&str, &gypsumtack::document::Section)| {
                format!("# section {name}, revision {}\n{}", section.revision, section.text)
            };
            let sections: Vec<String> = body.sections.iter().map(format_section).collect();
            format!("# document, version {}\n{}", body.version, sections.join("\n"))
        });
        return Ok(());
    };
    let Some(section) = body.sections.get(name) else {
        let names: Vec<&str> = body.sections.iter().map(|(name, _)| name).collect();
        let remedy = format!("use one of {}", names.join(", "));
        return Err(invalid_argument("--section", "there is no such section", &remedy));
    };
    if !json {
        eprintln!("revision {}", section.revision);
    }
    print(section, json, |section| section.text.clone());
    Ok(())
}

async fn history(client: &Client, json: bool) -> Result<()> {
    let rows = client.scan(publish::AUDIT_PREFIX).await?.rows;
    let audits: Vec<Audit> = rows.iter().filter_map(Row::decode).collect();
    print(&audits, json, |audits| {
        let line = |audit: &Audit| {
            format!(
                "version={} time={} who={} team={} sections={} change={}\n{}",
                audit.version,
                audit.time,
                audit.who,
                audit.team,
                audit.sections.join(","),
                audit.change,
                audit.difference
            )
        };
        audits.iter().map(line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Status of one VM; `status` is `None` if its daemon did not answer.
#[derive(Debug, Serialize)]
struct VmStatus {
    vm: String,
    operators: SocketAddr,
    status: Option<Status>,
}

async fn members(client: &Client) -> Result<Vec<Record>> {
    let rows = client.scan(MEMBERS).await?.rows;
    Ok(rows.iter().filter_map(Row::decode).collect())
}

async fn fetch_json<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let caller = Caller::new();
    let asked = caller.send(address, CallerRequest::get(path));
    let time = std::time::Duration::from_millis(TIMEOUT_MS);
    let answer = tokio::time::timeout(time, asked).await.ok()?.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

async fn status(client: &Client, json: bool) -> Result<()> {
    let (_, body) = publish::read(client).await?;
    let accepted = body.map_or(0, |body| body.version);
    let mut statuses = Vec::new();
    for record in members(client).await? {
        let status = fetch_json(record.operators, "/status").await;
        statuses.push(VmStatus { vm: record.vm, operators: record.operators, status });
    }
    print(&statuses, json, |statuses| {
        let mut lines = vec![format!("accepted document version: {accepted}")];
        lines.extend(statuses.iter().map(|vm| status_line(vm, accepted)));
        lines.join("\n")
    });
    Ok(())
}

fn status_line(vm: &VmStatus, accepted: u64) -> String {
    let Some(status) = &vm.status else {
        return format!("vm={} did not answer at {}", vm.vm, vm.operators);
    };
    let late = if status.version < accepted { " LATE" } else { "" };
    let isolated = status.isolated.map(|s| format!(" isolated_s={s}")).unwrap_or_default();
    format!(
        "vm={} domain={} service={} state={:?} version={}{late} in_flight={} queued={} slots={} \
         unsettled={}{isolated}",
        vm.vm,
        status.own.domain,
        status.own.service,
        status.own.state,
        status.version,
        status.load.in_flight,
        status.load.queued,
        status.load.slots,
        status.unsettled
    )
}

async fn why(client: &Client, request: &str, json: bool) -> Result<()> {
    if RequestId::parse(request).is_none() {
        let remedy = "copy the 32 hexadecimal digits of the x-request-id header";
        return Err(invalid_argument("REQUEST-ID", "not a request id", remedy));
    }
    let mut entries: Vec<Entry> = Vec::new();
    for record in members(client).await? {
        let found: Option<Vec<Entry>> =
            fetch_json(record.operators, &format!("/why/{request}")).await;
        entries.extend(found.unwrap_or_default());
    }
    print(&entries, json, |entries| {
        if entries.is_empty() {
            return "no VM has an entry for this request; it was served without delay, or its entry \
                    is older than the last 4096 entries of its VM"
                .to_owned();
        }
        let line = |e: &Entry| {
            format!(
                "vm={} role={} outcome={} {}: {}",
                e.vm,
                e.role,
                e.outcome.as_str(),
                e.code,
                e.text
            )
        };
        entries.iter().map(line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// A claim that is pending or whose outcome is unknown.
#[derive(Debug, Serialize)]
struct OpenClaim {
    claim: String,
    state: &'static str,
    request: String,
    vm: String,
    age_s: u64,
}

async fn claims(client: &Client, json: bool) -> Result<()> {
    let rows = client.scan(claim::PREFIX).await?.rows;
    let now = unix_seconds();
    let open = rows.iter().filter_map(|row| {
        let claim: Claim = row.decode()?;
        let state = match claim.state {
            State::Pending => "pending",
            State::Unknown => "unknown",
            State::Done(_) => return None,
        };
        let age_s = now.saturating_sub(claim.created);
        let (request, vm) = (claim.request, claim.vm);
        Some(OpenClaim { claim: row.key.clone(), state, request, vm, age_s })
    });
    let open: Vec<OpenClaim> = open.collect();
    print(&open, json, |open| {
        let line = |c: &OpenClaim| {
            format!(
                "{} state={} request={} vm={} age_s={}",
                c.claim, c.state, c.request, c.vm, c.age_s
            )
        };
        match open.is_empty() {
            true => "no claim is open".to_owned(),
            false => open.iter().map(line).collect::<Vec<_>>().join("\n"),
        }
    });
    Ok(())
}

/// Audit record of a claim that an operator settled.
#[derive(Debug, Serialize)]
struct Settlement<'a> {
    claim: &'a str,
    who: &'a str,
    time: u64,
    ran: bool,
}

async fn run_settle(settle: Settle) -> Result<()> {
    if settle.ran == settle.not_run {
        let problem = "exactly one of the two is required";
        return Err(invalid_argument(
            "--ran, --not-run",
            problem,
            "pass the one that the backend server's records show",
        ));
    }
    let client = client(settle.platform);
    let row = client.row(&settle.claim).await?;
    let claim: Option<Claim> = row.as_ref().and_then(Row::decode);
    let (Some(row), Some(claim)) = (row, claim) else {
        return Err(invalid_argument("CLAIM", "there is no such claim", "see `gypsumtack claims`"));
    };
    if matches!(claim.state, State::Done(_)) {
        return Err(invalid_argument(
            "CLAIM",
            "the claim is already settled",
            "no action is needed",
        ));
    }
    let transaction = if settle.ran {
        let answer =
            StoredAnswer { status: 200, headers: Vec::new(), body: StoredBody::Row(String::new()) };
        claim::settle(&row.key, &row, claim.token, State::Done(answer))
    } else {
        claim::release(&row.key, &row, claim.token)
    };
    let change = new_token();
    let entry = Settlement {
        claim: &settle.claim,
        who: &settle.who,
        time: unix_seconds(),
        ran: settle.ran,
    };
    let transaction = transaction.unwrap_or_default().put(&format!("settled/{change}"), &entry);
    match client.commit(&transaction).await? {
        Commit::Done(_) => {
            println!("settled");
            Ok(())
        }
        Commit::Conflict(_) => {
            let error = StoreError::Refused("the claim was changed concurrently".to_owned());
            Err(error.into())
        }
    }
}

fn digest() -> Result<()> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .map_err(|source| Error::File { path: "standard input".to_owned(), source })?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(invalid_argument(
            "standard input",
            "no key was given",
            "pass the key as one line",
        ));
    }
    println!("{}", Digest::of(key.as_bytes()));
    Ok(())
}
