//! One call to a service: the choice of an instance, attempts, and the retries between them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use crate::backend;
use crate::board::Board;
use crate::document::ServiceId;
use crate::envelope::{Envelope, Report};
use crate::instance::Instance;
use crate::message::{Answer, Message};
use crate::peer;
use crate::quarantine::{CrashStatus, Fingerprint};
use crate::reason::{Outcome, Reason};
use crate::retry::{FailedAttempt, RetryBudget};
use crate::router;
use crate::shared::Shared;
use crate::tables::ServiceState;
use crate::time::Time;

/// How often a call that a daemon turned away is placed at another instance. More would spend time and
/// messages on an overloaded service, where the next daemon says the same.
const MOST_TURNED_AWAY: u32 = 2;

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

/// Sends a call, with retries out of `retry_budget`, and returns the attempt's answer that tells most.
///
/// The answer says `not-run` only when every attempt said so. A refusal never replaces what an earlier
/// attempt brought: an answer of the backend server, though a failure, or doubt about a run.
pub async fn send(shared: &Arc<Shared>, call: &Call, retry_budget: &RetryBudget) -> Answer {
    let board = &shared.board;
    let policy = board.policy.load_full();
    let service = policy.service(call.service);
    let state = board.tables.load().services.get(&service.name).cloned();
    let fingerprint =
        || Fingerprint::of(call.envelope.customer.as_deref(), &service.name, &call.message);
    let mut suspect = match board.crash_status(fingerprint) {
        CrashStatus::Clear => false,
        CrashStatus::Suspect => true,
        CrashStatus::Quarantined(left) => {
            let reason = Reason::Quarantined { seconds: left.as_secs() };
            return Answer::not_run(call.envelope.request.clone(), reason);
        }
    };
    let mut tried = BTreeSet::new();
    let mut best: Option<Answer> = None;
    let mut turned_away = 0;
    let mut next = choose(board, call, &service.name, service.ramp, &tried);
    loop {
        let Some(instance) = next else {
            let known = board.instances.load().for_service(&service.name).len() as u64;
            let reason = Reason::NoInstance { service: service.name.clone(), known };
            return best.unwrap_or_else(|| Answer::not_run(call.envelope.request.clone(), reason));
        };
        tried.insert(instance.vm.clone());
        let answer = attempt(shared, call, &instance, retry_budget, suspect).await;
        let now = board.clock.now();
        if answer.report.reason == Some(Reason::Crashed) {
            suspect = true;
            board.record_crash(fingerprint());
        } else if suspect && answer.report.outcome == Outcome::Ran {
            board.update_quarantine(|quarantine, _| quarantine.record_completion(fingerprint()));
        }
        if answer.report.outcome == Outcome::Ran && !answer.status.is_server_error() {
            if let Some(state) = &state {
                state.earn_retry(service.retry_ratio, now);
            }
            return answer;
        }
        let quarantined = matches!(board.crash_status(fingerprint), CrashStatus::Quarantined(_));
        let may =
            !quarantined && failure(&answer, call.deadline.since(now)).may_retry(call.idempotent);
        next = if may { choose(board, call, &service.name, service.ramp, &tried) } else { None };
        let again = if next.is_none() {
            false
        } else if is_turned_away(&answer) {
            turned_away += 1;
            turned_away <= MOST_TURNED_AWAY
        } else {
            take_retry(state.as_deref(), retry_budget, now)
        };
        let answer = telling(best.take(), answer);
        if !again {
            return answer;
        }
        let labels = crate::metrics::ServiceLabels { service: service.name.clone() };
        board.metrics.retries.get_or_create(&labels).inc();
        best = Some(answer);
    }
}

/// Of two answers to one call, the one that tells more: what a backend server answered before doubt about a
/// run, and that before a refusal; of two that tell as much, the later one.
fn telling(earlier: Option<Answer>, later: Answer) -> Answer {
    let tells = |answer: &Answer| match answer.report.outcome {
        Outcome::Ran => 2,
        Outcome::Unknown => 1,
        Outcome::NotRun => 0,
    };
    match earlier {
        Some(earlier) if tells(&earlier) > tells(&later) => earlier,
        _ => later,
    }
}

/// Whether the daemon beside the instance refused the request, so that no backend server saw it. To ask
/// another one is to place the request, not to repeat it.
fn is_turned_away(answer: &Answer) -> bool {
    let own = answer.report.reason.as_ref().is_some_and(Reason::is_turned_away);
    own && answer.report.outcome == Outcome::NotRun
}

fn failure(answer: &Answer, time_left: Duration) -> FailedAttempt {
    let report = &answer.report;
    let retryable = match &report.reason {
        Some(reason) => reason.is_instance_specific(),
        None => answer.status.is_server_error(),
    };
    FailedAttempt { outcome: report.outcome, retryable, time_left }
}

fn take_retry(state: Option<&ServiceState>, retry_budget: &RetryBudget, now: Time) -> bool {
    state.is_some_and(|state| state.take_retry(now)) && retry_budget.spend()
}

fn choose(
    board: &Board,
    call: &Call,
    service: &str,
    ramp: Duration,
    tried: &BTreeSet<String>,
) -> Option<Arc<Instance>> {
    let instances = board.instances.load();
    let all = instances.for_service(service);
    let now = board.clock.now();
    let mut others = all.iter().filter(|instance| !tried.contains(&instance.vm));
    if let Some(shedding) = others.find(|instance| instance.is_probe_due(now)) {
        return Some(Arc::clone(shedding));
    }
    let candidates: Vec<_> = all
        .iter()
        .enumerate()
        .filter(|(_, instance)| !tried.contains(&instance.vm))
        .filter_map(|(index, instance)| instance.candidate(index, ramp, now))
        .collect();
    let objective = Duration::from_millis(u64::from(call.envelope.objective_ms));
    let index = router::choose(&candidates, objective, &mut rand::rng())?;
    all.get(index).cloned()
}

/// One attempt. Allowance that it did not use comes back; a lost answer counts as all spent.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    instance: &Arc<Instance>,
    retry_budget: &RetryBudget,
    suspect: bool,
) -> Answer {
    let board = &shared.board;
    let left = call.deadline.since(board.clock.now());
    let reserved = retry_budget.reserve_half();
    let envelope = Envelope {
        time_left_us: left.as_micros() as u64,
        retry_budget: reserved,
        suspect,
        wants_reached: is_curious(shared, call, instance),
        ..call.envelope.clone()
    };
    let began = board.clock.now();
    let sent = instance.track_request();
    let answer = if instance.vm == board.settings.vm {
        backend::run(shared, envelope, call.message.clone()).await
    } else {
        remote(shared, envelope, &call.message, instance, left).await
    };
    drop(sent);
    let report = &answer.report;
    note_late(board, call, instance, report, board.clock.now().since(began));
    retry_budget.refund(reserved.saturating_sub(report.spent));
    if report.load.slots > 0 {
        instance.record_load(report.load, board.clock.now());
    }
    if learns(shared, call) {
        board.learn(&call.envelope.route, &report.reach);
    }
    instance.record_answer(is_failure(&answer), board.clock.now());
    let shed = matches!(report.reason, Some(Reason::Shed { .. }));
    if shed || (answer.status == StatusCode::SERVICE_UNAVAILABLE && report.reason.is_none()) {
        instance.record_shed(board.clock.now());
    }
    answer
}

/// Writes where an attempt that took longer than the whole latency objective spent its time.
fn note_late(board: &Board, call: &Call, instance: &Instance, report: &Report, span: Duration) {
    let objective = Duration::from_millis(u64::from(call.envelope.objective_ms));
    if span <= objective {
        return;
    }
    let Some(weight) = board.refusal_lines.weigh("late", board.clock.now()) else { return };
    tracing::info!(
        event = "late",
        weight,
        vm = board.settings.vm,
        request = %call.envelope.request,
        route = call.envelope.route,
        importance = call.envelope.importance.as_str(),
        instance = instance.vm,
        outcome = report.outcome.as_str(),
        objective_ms = call.envelope.objective_ms,
        ms = span.as_millis() as u64,
        waited_ms = report.stay.waited_us / 1_000,
        held_ms = report.stay.held_us / 1_000,
    );
}

/// Whether the answer tells against the instance: it broke off, shed or failed by itself. What its daemon
/// refused does not.
fn is_failure(answer: &Answer) -> bool {
    match &answer.report.reason {
        None => answer.status.is_server_error(),
        Some(reason) => matches!(
            reason,
            Reason::Shed { .. }
                | Reason::BadAnswer { .. }
                | Reason::Crashed
                | Reason::DeadlinePassed { .. }
        ),
    }
}

/// Whether this daemon learns from the answer where requests of the route lead. Calls with a token bear
/// the route of their entry, which learns it there.
fn learns(shared: &Shared, call: &Call) -> bool {
    call.envelope.hops == 0 || shared.dialect.token.is_none()
}

fn is_curious(shared: &Shared, call: &Call, instance: &Instance) -> bool {
    if !learns(shared, call) {
        return call.envelope.wants_reached;
    }
    let tables = shared.board.tables.load();
    let state = tables.routes.get(&call.envelope.route);
    state.is_none_or(|state| state.is_curious(&instance.vm, shared.board.clock.now()))
}

/// Sends the request to the daemon beside the instance.
async fn remote(
    shared: &Arc<Shared>,
    envelope: Envelope,
    message: &Message,
    instance: &Arc<Instance>,
    left: Duration,
) -> Answer {
    let run = shared.links.run(shared, instance.peers, envelope.clone(), message.clone());
    match tokio::time::timeout(left, run).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(peer::Failure::Unreachable)) => {
            instance.record_connection_failure(shared.board.clock.now());
            shared.board.update_view(|view, now| view.mark_suspect(&instance.vm, now));
            let problem = format!("the daemon on {} cannot be reached", instance.vm);
            lost(&envelope, Outcome::NotRun, Reason::BadAnswer { problem })
        }
        Ok(Err(peer::Failure::Broken)) => {
            instance.record_connection_failure(shared.board.clock.now());
            let problem = format!("the daemon on {} broke off", instance.vm);
            lost(&envelope, Outcome::Unknown, Reason::BadAnswer { problem })
        }
        Ok(Err(peer::Failure::Late)) | Err(_) => {
            let reason = Reason::DeadlinePassed { deadline_ms: envelope.deadline_ms };
            lost(&envelope, Outcome::Unknown, reason)
        }
    }
}

/// An answer that stands for a lost one: its whole allowance counts as spent.
fn lost(envelope: &Envelope, outcome: Outcome, reason: Reason) -> Answer {
    let mut answer = Answer::refusal(envelope.request.clone(), outcome, reason);
    if outcome == Outcome::Unknown {
        answer.report.spent = envelope.retry_budget;
    }
    answer
}
