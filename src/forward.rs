//! Calls to a service: choosing an instance, the attempts, and the retries between them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use rand::Rng;

use crate::backend;
use crate::board::Board;
use crate::body::UNRESERVED_BYTES;
use crate::document::ServiceId;
use crate::envelope::{Envelope, Report};
use crate::instance::Instance;
use crate::message::{Answer, Message};
use crate::metrics::RetryLabels;
use crate::peer;
use crate::quarantine::{CrashStatus, Fingerprint};
use crate::reason::{Outcome, Reason};
use crate::reservation::SlotGrant;
use crate::retry::{FailedAttempt, RetryBudget};
use crate::router;
use crate::shared::Shared;
use crate::time::Time;

/// Maximum number of times that a call is sent to another instance after an attempt that reached no
/// backend server. More would waste time and messages on an overloaded service, where the next daemon
/// most likely refuses it too.
const MAX_REROUTES: u32 = 2;

/// A call to be sent to an instance of its service.
#[derive(Debug)]
pub struct Call {
    /// The envelope of the attempts. Each attempt sets its own time left and retry budget.
    pub envelope: Envelope,
    /// The request.
    pub message: Message,
    /// The route of this call. That in the envelope is the one on which the request entered.
    pub route: String,
    /// The service that is to run the request.
    pub service: ServiceId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// Sends a call, with retries from `retry_budget`, and returns the most informative answer of its
/// attempts.
///
/// The answer is `not-run` only if every attempt was. A refusal never replaces an earlier answer of the
/// backend server, even if that reports a failure, nor an earlier `unknown` outcome.
pub async fn send(shared: &Arc<Shared>, call: &Call, retry_budget: &RetryBudget) -> Answer {
    let board = &shared.board;
    let policy = board.policy.load_full();
    let service = policy.service(call.service);
    earn_retry(board, call, service.retry_ratio);
    let fingerprint =
        || Fingerprint::of(call.envelope.customer.as_deref(), &service.name, &call.message);
    let mut suspect = match board.crash_status(fingerprint) {
        CrashStatus::Clear => false,
        CrashStatus::Suspect => true,
        CrashStatus::Quarantined(time_left) => {
            let reason = Reason::Quarantined { seconds: time_left.as_secs() };
            return Answer::not_run(call.envelope.request.clone(), reason);
        }
    };
    let mut tried = BTreeSet::new();
    let mut best: Option<Answer> = None;
    let mut reroutes = 0;
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
            board.record_crash(fingerprint(), instance.run);
        } else if suspect && answer.report.outcome == Outcome::Ran {
            board.update_quarantine(|quarantine, _| quarantine.record_completion(fingerprint()));
        }
        if answer.report.outcome == Outcome::Ran && !answer.status.is_server_error() {
            return answer;
        }
        let quarantined = matches!(board.crash_status(fingerprint), CrashStatus::Quarantined(_));
        let may_retry = !quarantined
            && failed_attempt(&answer, call.deadline.since(now)).may_retry(call.idempotent);
        next = if may_retry {
            let other = choose(board, call, &service.name, service.ramp, &tried);
            // The connection alone may have been at fault.
            let disconnected = answer.report.reason == Some(Reason::Disconnected);
            other.or_else(|| disconnected.then(|| Arc::clone(&instance)))
        } else {
            None
        };
        let is_repeat = may_have_arrived(&answer);
        let send_again = if next.is_none() {
            false
        } else if is_repeat {
            let granted = take_retry(board, call, &service.name, retry_budget);
            let kind = if granted { "retry" } else { "retry-denied" };
            log_retry(board, call, &instance, &answer, kind);
            granted
        } else {
            reroutes += 1;
            let granted = reroutes <= MAX_REROUTES;
            if granted {
                log_retry(board, call, &instance, &answer, "reroute");
            }
            granted
        };
        if send_again {
            count_retry(board, &service.name, &answer, is_repeat);
        }
        let answer = more_informative(best.take(), answer);
        if !send_again {
            return answer;
        }
        best = Some(answer);
    }
}

/// Returns the more informative of two answers to one call: an answer of a backend server ranks before
/// an unknown outcome, and that before a refusal. Of two answers of equal rank, returns the later one.
fn more_informative(earlier: Option<Answer>, later: Answer) -> Answer {
    let rank = |answer: &Answer| match answer.report.outcome {
        Outcome::Ran => 2,
        Outcome::Unknown => 1,
        Outcome::NotRun => 0,
    };
    match earlier {
        Some(earlier) if rank(&earlier) > rank(&later) => earlier,
        _ => later,
    }
}

/// Whether the request may have reached a backend server, so that another attempt takes a retry. A
/// refusal by the backend server itself counts as well, since the request cost it work.
fn may_have_arrived(answer: &Answer) -> bool {
    answer.report.outcome != Outcome::NotRun
        || matches!(answer.report.reason, Some(Reason::Shed { .. }))
}

fn failed_attempt(answer: &Answer, time_left: Duration) -> FailedAttempt {
    let report = &answer.report;
    let retryable = match &report.reason {
        Some(reason) => reason.is_instance_specific(),
        None => answer.status.is_server_error(),
    };
    FailedAttempt { outcome: report.outcome, retryable, time_left }
}

/// Adds the part of a retry that a request earns when it is sent for the first time.
fn earn_retry(board: &Board, call: &Call, ratio: f64) {
    let Some(state) = board.tables.load().routes.get(&call.route).cloned() else { return };
    let is_call = call.envelope.hops > 0;
    state.earn_retry(ratio, is_call, rand::rng().random(), board.clock.now());
}

/// Takes a retry from the request's own budget, and one that requests of its route have earned. A request
/// that is not known to cause calls may also use a spare retry of the service.
fn take_retry(board: &Board, call: &Call, service: &str, retry_budget: &RetryBudget) -> bool {
    let (tables, now) = (board.tables.load(), board.clock.now());
    let (Some(route), Some(service)) =
        (tables.routes.get(&call.route), tables.services.get(service))
    else {
        return false;
    };
    if !retry_budget.spend() {
        return false;
    }
    let draw = rand::rng().random();
    let granted = route.take_retry(now)
        || (route.levels().is_none_or(|levels| levels == 0)
            && service.take_spare_retry(board.spare_retries(), draw, now));
    if !granted {
        retry_budget.refund(1);
    }
    granted
}

fn count_retry(board: &Board, service: &str, failed: &Answer, is_repeat: bool) {
    let labels = RetryLabels {
        service: service.to_owned(),
        reason: reason_code(failed),
        repeat: if is_repeat { "yes" } else { "no" },
    };
    board.metrics.retries.get_or_create(&labels).inc();
}

fn reason_code(answer: &Answer) -> &'static str {
    answer.report.reason.as_ref().map_or("server-error", Reason::code)
}

/// Logs another attempt, or that the retry budget denied one, by its `kind`.
fn log_retry(board: &Board, call: &Call, instance: &Instance, failed: &Answer, kind: &'static str) {
    let Some(weight) = board.log_sampler.weigh(kind, board.clock.now()) else { return };
    tracing::info!(
        event = kind,
        weight,
        vm = board.settings.vm,
        request = %call.envelope.request,
        route = call.envelope.route,
        service = call.envelope.service,
        hops = call.envelope.hops,
        instance = instance.vm,
        outcome = failed.report.outcome.as_str(),
        reason = reason_code(failed),
    );
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
    let daemons = board.feedback.reporters();
    if let Some(probed) = others.find(|instance| instance.is_probe_due(daemons, now)) {
        return Some(Arc::clone(probed));
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

/// Makes one attempt. Refunds the part of the reserved retry budget that the attempt did not use; if the
/// answer was lost, all of it counts as used.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    instance: &Arc<Instance>,
    retry_budget: &RetryBudget,
    suspect: bool,
) -> Answer {
    let board = &shared.board;
    let time_left = call.deadline.since(board.clock.now());
    if time_left.is_zero() {
        let reason = Reason::DeadlinePassed { deadline_ms: call.envelope.deadline_ms };
        return Answer::not_run(call.envelope.request.clone(), reason);
    }
    let reserved = retry_budget.reserve_half();
    let envelope = Envelope {
        time_left_us: time_left.as_micros() as u64,
        retry_budget: reserved,
        suspect,
        wants_reached: wants_reached(shared, call, instance),
        ..call.envelope.clone()
    };
    let start = board.clock.now();
    let outstanding = instance.track_request();
    let answer = if instance.vm == board.settings.vm {
        backend::run(shared, envelope, call.message.clone()).await
    } else {
        send_remote(shared, envelope, call, instance, time_left).await
    };
    drop(outstanding);
    let report = &answer.report;
    log_late(board, call, instance, report, board.clock.now().since(start));
    retry_budget.refund(reserved.saturating_sub(report.retries_used));
    if report.load.slots > 0 {
        instance.record_load(report.load, board.clock.now());
        let refused = report.reason.as_ref().is_some_and(Reason::is_overload);
        board.feedback.record_load(&call.envelope.service, report.load, refused);
    }
    if records_reached(shared, call) {
        board.record_reached(&call.envelope.route, &report.reached);
    }
    if let Some(levels) = report.levels {
        board.record_levels(&call.route, levels);
    }
    if let Some(run) = instance.run.filter(|_| report.leaving) {
        board.update_view(|view, now| view.mark_leaving(run, now));
    }
    instance.record_answer(is_instance_failure(&answer), board.clock.now());
    let shed = matches!(report.reason, Some(Reason::Shed { .. }));
    if shed || (answer.status == StatusCode::SERVICE_UNAVAILABLE && report.reason.is_none()) {
        instance.record_shed(board.clock.now());
    }
    answer
}

/// Logs where an attempt that took longer than the whole latency objective spent its time.
fn log_late(board: &Board, call: &Call, instance: &Instance, report: &Report, span: Duration) {
    let objective = Duration::from_millis(u64::from(call.envelope.objective_ms));
    if span <= objective {
        return;
    }
    let Some(weight) = board.log_sampler.weigh("late", board.clock.now()) else { return };
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
        waited_ms = report.timing.queue_wait_us / 1_000,
        held_ms = report.timing.service_us / 1_000,
    );
}

/// Whether the answer counts as a failure of the instance: it could not be reached, broke off, crashed,
/// shed the request, answered with a server error or exceeded the deadline. Refusals by its daemon do
/// not count.
fn is_instance_failure(answer: &Answer) -> bool {
    match &answer.report.reason {
        None => answer.status.is_server_error(),
        Some(reason) => matches!(
            reason,
            Reason::Shed { .. }
                | Reason::BadAnswer { .. }
                | Reason::Disconnected
                | Reason::Crashed
                | Reason::DeadlinePassed { .. }
        ),
    }
}

/// Whether this daemon records from the answer which services requests of the route reach. Calls with a
/// token carry the route of their entry, and the daemon at the entry records it.
fn records_reached(shared: &Shared, call: &Call) -> bool {
    call.envelope.hops == 0 || shared.dialect.token.is_none()
}

fn wants_reached(shared: &Shared, call: &Call, instance: &Instance) -> bool {
    if !records_reached(shared, call) {
        return call.envelope.wants_reached;
    }
    let tables = shared.board.tables.load();
    let state = tables.routes.get(&call.envelope.route);
    state.is_none_or(|state| state.should_request_reached(&instance.vm, shared.board.clock.now()))
}

/// Sends the request to the daemon of the instance. A slot is reserved first for a request that must not
/// run twice, which could not be tried again if it were lost on the way, and for one with a long body.
async fn send_remote(
    shared: &Arc<Shared>,
    envelope: Envelope,
    call: &Call,
    instance: &Arc<Instance>,
    time_left: Duration,
) -> Answer {
    let sent = shared.board.clock.now();
    let reserves = !call.idempotent || call.message.body.len() > UNRESERVED_BYTES;
    let is_sent = AtomicBool::new(!reserves);
    let run = async {
        let result = run_remote(shared, &envelope, call, instance, reserves, &is_sent).await;
        if !matches!(result, Err(peer::CallError::ConnectionLost)) {
            return result;
        }
        // The connection alone may have been at fault.
        if !is_sent.load(Ordering::Relaxed) {
            return run_remote(shared, &envelope, call, instance, reserves, &is_sent).await;
        }
        let left = call.deadline.since(shared.board.clock.now());
        let (resent, message) = (with_time_left(&envelope, left), call.message.clone());
        match shared.peers.resend(shared, instance.peers, sent, resent, message).await {
            Ok(Some(answer)) => Ok(answer),
            // It may run there, and its answer is lost.
            Ok(None) => Ok(lost_answer(&envelope, Outcome::Unknown, broke_off(instance))),
            Err(peer::CallError::Unreachable) => result,
            Err(error) => Err(error),
        }
    };
    let result = tokio::time::timeout(time_left, run).await;
    let is_sent = is_sent.load(Ordering::Relaxed);
    let outcome = if is_sent { Outcome::Unknown } else { Outcome::NotRun };
    match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(peer::CallError::Unreachable)) => {
            instance.record_connection_failure(shared.board.clock.now());
            shared.board.update_view(|view, now| view.mark_suspect(&instance.vm, now));
            let problem = format!("the daemon on {} cannot be reached", instance.vm);
            lost_answer(&envelope, Outcome::NotRun, Reason::BadAnswer { problem })
        }
        Ok(Err(peer::CallError::ConnectionLost)) => {
            instance.record_connection_failure(shared.board.clock.now());
            lost_answer(&envelope, outcome, broke_off(instance))
        }
        Ok(Err(peer::CallError::TimedOut)) | Err(_) => {
            let reason = Reason::DeadlinePassed { deadline_ms: envelope.deadline_ms };
            lost_answer(&envelope, outcome, reason)
        }
    }
}

/// Makes one call to the daemon of the instance, or two if it reserves a slot first.
async fn run_remote(
    shared: &Shared,
    envelope: &Envelope,
    call: &Call,
    instance: &Instance,
    reserves: bool,
    is_sent: &AtomicBool,
) -> Result<Answer, peer::CallError> {
    let (peers, address) = (&shared.peers, instance.peers);
    let message = call.message.clone();
    if !reserves {
        return peers.run(shared, address, envelope.clone(), message).await;
    }
    match peers.reserve(shared, address, envelope.clone(), message.body.len()).await? {
        SlotGrant::Refused(refusal) => Ok(*refusal),
        SlotGrant::Held(slot) => {
            let time_left = || call.deadline.since(shared.board.clock.now());
            let mut message = message;
            if message.body.len() > UNRESERVED_BYTES {
                let body = std::mem::take(&mut message.body);
                if !peers.upload(shared, address, slot, &body, time_left()).await? {
                    let refusal = Answer::not_run(envelope.request.clone(), Reason::SlotExpired);
                    return Ok(refusal);
                }
            }
            is_sent.store(true, Ordering::Relaxed);
            let envelope = with_time_left(envelope, time_left());
            peers.run_reserved(shared, address, slot, envelope, message).await
        }
    }
}

fn broke_off(instance: &Instance) -> Reason {
    Reason::BadAnswer { problem: format!("the daemon on {} broke off", instance.vm) }
}

fn with_time_left(envelope: &Envelope, left: Duration) -> Envelope {
    Envelope { time_left_us: left.as_micros() as u64, ..envelope.clone() }
}

/// Creates the answer for an attempt whose answer was lost. Unless the request certainly did not run,
/// its whole retry budget counts as used.
fn lost_answer(envelope: &Envelope, outcome: Outcome, reason: Reason) -> Answer {
    let mut answer = Answer::refusal(envelope.request.clone(), outcome, reason);
    if outcome == Outcome::Unknown {
        answer.report.retries_used = envelope.retry_budget;
    }
    answer
}
