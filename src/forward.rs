//! One call to a service: the choice of an instance, attempts, and the retries between them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::{StatusCode, Uri};
use hyper::body::Incoming;

use crate::backend;
use crate::board::Board;
use crate::document::ServiceId;
use crate::envelope::{Envelope, Report};
use crate::instance::Instance;
use crate::message::{self, Answer, Message};
use crate::quarantine::{Fingerprint, Standing};
use crate::reason::{Outcome, Reason};
use crate::retry::{Failure, Ledger};
use crate::router;
use crate::tables::ServiceState;
use crate::time::Time;

/// A call that is to be sent to an instance of its service.
#[derive(Debug)]
pub struct Call {
    /// What goes with each attempt; time left and allowance are set for each.
    pub envelope: Envelope,
    /// The request itself.
    pub message: Message,
    /// The service that runs it.
    pub service: ServiceId,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// Sends a call, with retries out of `ledger`, and returns the last attempt's answer.
///
/// The answer says `not-run` only when every attempt said so, and `unknown` when an attempt that may
/// have run was followed by a refusal.
pub async fn send(board: &Arc<Board>, call: &Call, ledger: &Ledger) -> Answer {
    let policy = board.policy.load_full();
    let service = policy.service(call.service);
    let state = board.tables.load().services.get(&service.name).cloned();
    let fingerprint =
        || Fingerprint::of(call.envelope.customer.as_deref(), &service.name, &call.message);
    let mut suspect = match board.standing(fingerprint) {
        Standing::Clear => false,
        Standing::Suspect => true,
        Standing::Quarantined(left) => {
            let reason = Reason::Quarantined { seconds: left.as_secs() };
            return Answer::not_run(call.envelope.request, reason);
        }
    };
    let mut tried = BTreeSet::new();
    let mut worst: Option<Answer> = None;
    loop {
        let Some(instance) = choose(board, &service.name, service.ramp, &tried) else {
            let known = board.instances.load().of(&service.name).len() as u64;
            let reason = Reason::NoInstance { service: service.name.clone(), known };
            return worst.unwrap_or_else(|| Answer::not_run(call.envelope.request, reason));
        };
        tried.insert(instance.vm.clone());
        let answer = attempt(board, call, &instance, ledger, suspect).await;
        let now = board.clock.now();
        if answer.report.reason == Some(Reason::Crashed) {
            suspect = true;
            board.suspect(|quarantine, now| quarantine.died(fingerprint(), now));
        } else if suspect && answer.report.outcome == Outcome::Ran {
            board.suspect(|quarantine, _| quarantine.completed(fingerprint()));
        }
        if answer.report.outcome == Outcome::Ran && answer.status != StatusCode::SERVICE_UNAVAILABLE
        {
            if let Some(state) = &state {
                state.earn_retry(service.retry_ratio, now);
            }
            return answer;
        }
        let quarantined = matches!(board.standing(fingerprint), Standing::Quarantined(_));
        let again = !quarantined
            && failure(&answer, call.deadline.since(now)).may_retry(call.idempotent)
            && has_other(board, &service.name, service.ramp, &tried)
            && take_retry(state.as_deref(), ledger, now);
        let answer = keep_doubt(worst.take(), answer);
        if !again {
            return answer;
        }
        let labels = crate::metrics::ServiceLabels { service: service.name.clone() };
        board.metrics.retries.get_or_create(&labels).inc();
        worst = Some(answer);
    }
}

/// Makes the outcome of a later refusal honest about an earlier attempt that may have run.
fn keep_doubt(earlier: Option<Answer>, mut answer: Answer) -> Answer {
    let doubt = earlier.is_some_and(|earlier| earlier.report.outcome != Outcome::NotRun);
    if doubt && answer.report.outcome == Outcome::NotRun {
        answer.report.outcome = Outcome::Unknown;
    }
    answer
}

fn failure(answer: &Answer, left: Duration) -> Failure {
    let report = &answer.report;
    let elsewhere = match &report.reason {
        Some(reason) => reason.is_local(),
        None => answer.status == StatusCode::SERVICE_UNAVAILABLE,
    };
    Failure { outcome: report.outcome, elsewhere, left }
}

fn take_retry(state: Option<&ServiceState>, ledger: &Ledger, now: Time) -> bool {
    state.is_some_and(|state| state.take_retry(now)) && ledger.spend()
}

fn choose(
    board: &Board,
    service: &str,
    ramp: Duration,
    tried: &BTreeSet<String>,
) -> Option<Arc<Instance>> {
    let instances = board.instances.load();
    let all = instances.of(service);
    let now = board.clock.now();
    let candidates: Vec<_> = all
        .iter()
        .enumerate()
        .filter(|(_, instance)| !tried.contains(&instance.vm))
        .filter_map(|(index, instance)| instance.candidate(index, ramp, now))
        .collect();
    let index = router::choose(&candidates, &mut rand::rng())?;
    all.get(index).cloned()
}

fn has_other(board: &Board, service: &str, ramp: Duration, tried: &BTreeSet<String>) -> bool {
    choose(board, service, ramp, tried).is_some()
}

/// One attempt. Allowance that it did not use comes back; a lost answer counts as all spent.
async fn attempt(
    board: &Arc<Board>,
    call: &Call,
    instance: &Arc<Instance>,
    ledger: &Ledger,
    suspect: bool,
) -> Answer {
    let left = call.deadline.since(board.clock.now());
    let lent = ledger.lend();
    let envelope = Envelope {
        left: left.as_micros() as u64,
        allowance: lent,
        suspect,
        ..call.envelope.clone()
    };
    let sent = instance.send();
    let answer = if instance.vm == board.settings.vm {
        backend::run(board, envelope, call.message.clone()).await
    } else {
        remote(board, envelope, &call.message, instance, left).await
    };
    drop(sent);
    let report = &answer.report;
    ledger.give_back(lent.saturating_sub(report.spent));
    if report.load.slots > 0 {
        instance.report(report.load);
    }
    if answer.status == StatusCode::SERVICE_UNAVAILABLE && report.reason.is_none() {
        instance.shed(board.clock.now());
    }
    answer
}

/// Sends the request to the daemon beside the instance.
async fn remote(
    board: &Arc<Board>,
    envelope: Envelope,
    message: &Message,
    instance: &Arc<Instance>,
    left: Duration,
) -> Answer {
    let sealed = board.fleet.seal_text(&envelope);
    let extra = [(message::ENVELOPE, message::ascii(&sealed))];
    let Some(uri) = target(instance, &message.uri) else {
        let reason = Reason::BadRequest { problem: "the path cannot be passed on".to_owned() };
        return Answer::not_run(envelope.request, reason);
    };
    let limit = board.policy.load().limits.answer_bytes;
    let whole = async {
        let response = board.http.request(message.to_request(uri, &extra)).await;
        let response = response.map_err(|error| unreachable(board, &envelope, instance, &error))?;
        read_answer(board, &envelope, response, limit).await
    };
    match tokio::time::timeout(left, whole).await {
        Ok(Ok(answer) | Err(answer)) => answer,
        Err(_) => {
            let reason = Reason::DeadlinePassed { allowed: envelope.allowed };
            lost(&envelope, Outcome::Unknown, reason)
        }
    }
}

fn target(instance: &Instance, uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.clone();
    let authority = instance.peers.to_string();
    Uri::builder().scheme("http").authority(authority).path_and_query(path).build().ok()
}

/// An answer that stands for a lost one: its whole allowance counts as spent.
fn lost(envelope: &Envelope, outcome: Outcome, reason: Reason) -> Answer {
    let mut answer = Answer::refusal(envelope.request, outcome, reason);
    if outcome == Outcome::Unknown {
        answer.report.spent = envelope.allowance;
    }
    answer
}

fn unreachable(
    board: &Board,
    envelope: &Envelope,
    instance: &Instance,
    error: &hyper_util::client::legacy::Error,
) -> Answer {
    let unsent = message::is_unsent(error);
    if error.is_connect() {
        instance.fail(board.clock.now());
        board.update_view(|view, now| view.suspect(&instance.vm, now));
    }
    let problem = format!("the daemon on {} broke off ({})", instance.vm, message::causes(error));
    let outcome = if unsent { Outcome::NotRun } else { Outcome::Unknown };
    lost(envelope, outcome, Reason::BadAnswer { problem })
}

async fn read_answer(
    board: &Board,
    envelope: &Envelope,
    response: http::Response<Incoming>,
    limit: u64,
) -> Result<Answer, Answer> {
    let (parts, body) = response.into_parts();
    let bad = |problem: String| lost(envelope, Outcome::Unknown, Reason::BadAnswer { problem });
    let report: Option<Report> = parts
        .headers
        .get(message::REPORT)
        .and_then(|sealed| board.fleet.open_text(sealed.as_bytes()));
    let Some(report) = report else {
        return Err(bad("a daemon answered without a valid report".to_owned()));
    };
    if report.request != envelope.request {
        return Err(bad("a daemon answered another request".to_owned()));
    }
    let body = message::collect(body, limit).await.map_err(bad)?;
    let mut headers = parts.headers;
    message::pass_on(&mut headers);
    Ok(Answer { status: parts.status, headers, body, report })
}
