//! Claims carried to the table, in batches of many claims a write.
//!
//! The decisions are in [`crate::claim`]. A request that may have been sent is never sent again here;
//! its claim is settled even when its caller goes away, and even when the table is down for long.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::board::InFlight;
use crate::claim::{self, Claim, Header, State, StoredAnswer, StoredBody, Verdict};
use crate::envelope::{Report, Token};
use crate::error::StoreError;
use crate::forward::{self, Call};
use crate::key::Digest;
use crate::message::Answer;
use crate::reason::{Outcome, Reason};
use crate::retry::RetryBudget;
use crate::shared::Shared;
use crate::store::{Client, Commit, Row, Transaction};
use crate::time::unix_seconds;

/// Claims in one write at most.
const BATCH: usize = 64;

/// Claims and settlements that wait to be written.
const QUEUE: usize = 4_096;

/// Pause between two tries while the table fails.
const PAUSE: Duration = Duration::from_millis(50);

/// Pause between two looks at another request's claim.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// The longest that making a claim may take, whatever the deadline. It outlasts a lost answer and the
/// read-back after it; in an outage the caller is told at once when to come back.
const CLAIM_TIME: Duration = Duration::from_millis(1_500);

/// The largest answer body that is kept in the row itself, in bytes.
const ROW_BODY: usize = 16 << 10;

/// The longest idempotency key, in bytes.
const LONGEST_KEY: usize = 256;

/// Stands in the answer to a repeat.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// Where requests leave their claims.
#[derive(Debug)]
pub struct Sender {
    inserts: mpsc::Sender<Insert>,
    settlements: mpsc::Sender<Settlement>,
    unsettled: Arc<AtomicUsize>,
}

impl Sender {
    /// Claims whose outcome is known here and not yet in the table.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::Acquire)
    }
}

/// Where the writing tasks find them.
#[derive(Debug)]
pub struct Receiver {
    inserts: mpsc::Receiver<Insert>,
    settlements: mpsc::Receiver<Settlement>,
    unsettled: Arc<AtomicUsize>,
}

/// A claim that is to be inserted.
#[derive(Debug)]
struct Insert {
    key: String,
    claim: Claim,
    reply: oneshot::Sender<Result<Verdict, StoreError>>,
}

/// What became of a claimed request; without a state the claim is released.
#[derive(Debug, Clone)]
struct Settlement {
    key: String,
    token: Token,
    state: Option<State>,
}

/// Makes the two ends of the queue.
pub fn channel() -> (Sender, Receiver) {
    let (inserts, insert_inbox) = mpsc::channel(QUEUE);
    let (settlements, settlement_inbox) = mpsc::channel(QUEUE);
    let unsettled = Arc::new(AtomicUsize::new(0));
    let inbox = Receiver {
        inserts: insert_inbox,
        settlements: settlement_inbox,
        unsettled: Arc::clone(&unsettled),
    };
    (Sender { inserts, settlements, unsettled }, inbox)
}

/// Runs a non-idempotent call at most once, or gives the answer of its first run.
///
/// The work goes on when the caller goes away, so that the claim is settled with what happened.
pub async fn send_once(
    shared: &Arc<Shared>,
    operation: &HeaderName,
    call: Call,
    retry_budget: Arc<RetryBudget>,
) -> Answer {
    let request = call.envelope.request.clone();
    let key = call.message.headers.get(operation).cloned();
    let Some(key) = key else {
        return Answer::not_run(request, Reason::MissingIdempotencyKey);
    };
    if key.is_empty() || key.len() > LONGEST_KEY {
        let problem = format!("the idempotency key must have 1 to {LONGEST_KEY} bytes");
        return Answer::not_run(request, Reason::BadRequest { problem });
    }
    let key = claim::row_key(call.envelope.customer.as_deref(), key.as_bytes());
    let shared = Arc::clone(shared);
    let in_flight = InFlight::count(&shared.board);
    let task = tokio::spawn(async move {
        let _in_flight = in_flight;
        claim_and_send(&shared, call, &key, &retry_budget).await
    });
    task.await.unwrap_or_else(|_| {
        let problem = "the daemon failed on this request".to_owned();
        Answer::refusal(request, Outcome::Unknown, Reason::BadAnswer { problem })
    })
}

async fn claim_and_send(
    shared: &Arc<Shared>,
    call: Call,
    key: &str,
    retry_budget: &RetryBudget,
) -> Answer {
    let request = call.envelope.request.clone();
    let claim = Claim {
        token: Token::random(&mut rand::rng()),
        digest: digest(&call),
        request: request.to_string(),
        vm: shared.board.settings.vm.clone(),
        created: unix_seconds(),
        state: State::Pending,
    };
    let token = claim.token;
    match obtain(shared, &call, key, claim).await {
        Ok(Verdict::Own) => {}
        Ok(Verdict::Replay(stored)) => return replay(shared, &call, stored).await,
        Ok(Verdict::Mismatch) => return Answer::not_run(request, Reason::IdempotencyMismatch),
        Ok(Verdict::Unknown) => {
            return Answer::refusal(request, Outcome::Unknown, Reason::ClaimUnknown);
        }
        Ok(Verdict::Pending | Verdict::Vacant) => {
            return Answer::refusal(request, Outcome::Unknown, Reason::ClaimPending);
        }
        Err(_) => {
            // The insert may still have taken effect, so whatever stands there is released.
            settle(shared, key, token, None).await;
            return Answer::not_run(request, Reason::ClaimUnavailable);
        }
    }
    let answer = forward::send(shared, &call, retry_budget).await;
    let state = match answer.report.outcome {
        Outcome::NotRun => None,
        Outcome::Unknown => Some(State::Unknown),
        Outcome::Ran => Some(State::Done(store(shared, token, &answer).await)),
    };
    settle(shared, key, token, state).await;
    answer
}

/// Obtains a claim, or waits within the deadline for the answer of the request that has it.
async fn obtain(
    shared: &Shared,
    call: &Call,
    key: &str,
    claim: Claim,
) -> Result<Verdict, StoreError> {
    let (token, digest) = (claim.token, claim.digest);
    let end = call.deadline.min(shared.board.clock.now() + CLAIM_TIME);
    let left = end.since(shared.board.clock.now());
    let (reply, answer) = oneshot::channel();
    let insert = Insert { key: key.to_owned(), claim, reply };
    let closed = || StoreError::Unavailable("this VM is stopping".to_owned());
    shared.claims.inserts.send(insert).await.map_err(|_| closed())?;
    let late = || StoreError::AnswerLost("no answer within the deadline".to_owned());
    let answer = tokio::time::timeout(left, answer).await.map_err(|_| late())?;
    let mut verdict = answer.map_err(|_| closed())??;
    while verdict == Verdict::Pending && shared.board.clock.now() + LOOK_PAUSE < call.deadline {
        tokio::time::sleep(LOOK_PAUSE).await;
        let Ok(row) = shared.store.row(key).await else { continue };
        let seen: Option<Claim> = row.as_ref().and_then(Row::decode);
        verdict = claim::evaluate(seen.as_ref(), token, digest);
    }
    Ok(verdict)
}

/// The digest of what the request does: the same key must come with the same method, path and body.
fn digest(call: &Call) -> Digest {
    let message = &call.message;
    let mut bytes = message.method.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(message.uri.to_string().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&message.body);
    Digest::of(&bytes)
}

async fn settle(shared: &Shared, key: &str, token: Token, state: Option<State>) {
    let settlement = Settlement { key: key.to_owned(), token, state };
    shared.claims.unsettled.fetch_add(1, Ordering::AcqRel);
    let _ = shared.claims.settlements.send(settlement).await;
}

async fn store(shared: &Shared, token: Token, answer: &Answer) -> StoredAnswer {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    };
    let body = if answer.body.len() <= ROW_BODY {
        StoredBody::Row(STANDARD.encode(&answer.body))
    } else {
        let name = format!("answer-{token}");
        while shared.store.put_object(&name, &answer.body).await.is_err() {
            if shared.board.is_leaving() {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        StoredBody::Object(name)
    };
    StoredAnswer {
        status: answer.status.as_u16(),
        headers: answer.headers.iter().map(header).collect(),
        body,
    }
}

async fn replay(shared: &Shared, call: &Call, stored: StoredAnswer) -> Answer {
    let request = call.envelope.request.clone();
    let body = match &stored.body {
        StoredBody::Row(text) => STANDARD.decode(text).ok().map(Bytes::from),
        StoredBody::Object(name) => shared.store.object(name).await.ok().flatten(),
    };
    let Some(body) = body else {
        return Answer::refusal(request, Outcome::Ran, Reason::ClaimUnavailable);
    };
    let mut headers = HeaderMap::new();
    for header in stored.headers {
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::try_from(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let report = Report::new(request, Outcome::Ran, None);
    Answer { status, headers, body, report }
}

/// Writes claims and settlements until the daemon ends.
pub async fn run(shared: Arc<Shared>, inbox: Receiver) {
    let Receiver { inserts, settlements, unsettled } = inbox;
    tokio::join!(
        write_inserts(&shared.store, inserts),
        write_settlements(&shared.store, settlements, &unsettled)
    );
}

async fn write_inserts(platform: &Client, mut inbox: mpsc::Receiver<Insert>) {
    let mut batch = Vec::with_capacity(BATCH);
    while inbox.recv_many(&mut batch, BATCH).await > 0 {
        let mut waiting = std::mem::take(&mut batch);
        // Two claims for one row cannot stand in one transaction.
        while !waiting.is_empty() {
            let (now, later) = unique_keys(waiting);
            insert_batch(platform, now).await;
            waiting = later;
        }
    }
}

fn unique_keys(batch: Vec<Insert>) -> (Vec<Insert>, Vec<Insert>) {
    let mut seen = std::collections::BTreeSet::new();
    batch.into_iter().partition(|insert| seen.insert(insert.key.clone()))
}

/// Inserts claims until each has a verdict or its request has given up.
async fn insert_batch(platform: &Client, mut batch: Vec<Insert>) {
    loop {
        batch.retain(|insert| !insert.reply.is_closed());
        if batch.is_empty() {
            return;
        }
        let add =
            |transaction, insert: &Insert| claim::insert(transaction, &insert.key, &insert.claim);
        let transaction = batch.iter().fold(Transaction::default(), add);
        match platform.commit(&transaction).await {
            Ok(Commit::Done(_)) => {
                for insert in batch {
                    let _ = insert.reply.send(Ok(Verdict::Own));
                }
                return;
            }
            Ok(Commit::Conflict(_)) | Err(StoreError::AnswerLost(_)) => {
                batch = read_back(platform, batch).await;
            }
            Err(
                error
                @ (StoreError::Refused(_) | StoreError::BreakerOpen | StoreError::HistoryGone),
            ) => {
                return fail(batch, &error);
            }
            Err(StoreError::Unavailable(_)) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn fail(batch: Vec<Insert>, error: &StoreError) {
    for insert in batch {
        let _ = insert.reply.send(Err(error.clone()));
    }
}

/// Answers the claims whose rows exist, and returns those that are still to be inserted.
async fn read_back(platform: &Client, batch: Vec<Insert>) -> Vec<Insert> {
    let keys: Vec<String> = batch.iter().map(|insert| insert.key.clone()).collect();
    let rows = match platform.rows(&keys).await {
        Ok(rows) => rows,
        Err(error @ StoreError::BreakerOpen) => {
            fail(batch, &error);
            return Vec::new();
        }
        Err(_) => {
            tokio::time::sleep(PAUSE).await;
            return batch;
        }
    };
    let rows: BTreeMap<String, Claim> =
        rows.iter().filter_map(|row| Some((row.key.clone(), row.decode()?))).collect();
    let mut left = Vec::new();
    for insert in batch {
        let verdict = claim::evaluate(rows.get(&insert.key), insert.claim.token, insert.claim.digest);
        match verdict {
            Verdict::Vacant => left.push(insert),
            verdict => drop(insert.reply.send(Ok(verdict))),
        }
    }
    left
}

async fn write_settlements(
    platform: &Client,
    mut inbox: mpsc::Receiver<Settlement>,
    unsettled: &AtomicUsize,
) {
    let mut waiting = Vec::with_capacity(BATCH);
    loop {
        // What waits is tried again together with what came in the meantime.
        let more = if waiting.is_empty() {
            inbox.recv_many(&mut waiting, BATCH).await
        } else {
            drain(&mut inbox, &mut waiting)
        };
        if waiting.is_empty() && more == 0 {
            return;
        }
        let count = waiting.len();
        waiting = settle_batch(platform, waiting).await;
        unsettled.fetch_sub(count - waiting.len(), Ordering::AcqRel);
    }
}

fn drain(inbox: &mut mpsc::Receiver<Settlement>, waiting: &mut Vec<Settlement>) -> usize {
    let before = waiting.len();
    while waiting.len() < BATCH {
        let Ok(settlement) = inbox.try_recv() else { break };
        waiting.push(settlement);
    }
    waiting.len() - before
}

/// Settles what can be settled in one write, and returns what has to be tried again.
async fn settle_batch(platform: &Client, batch: Vec<Settlement>) -> Vec<Settlement> {
    let keys: Vec<String> = batch.iter().map(|s| s.key.clone()).collect();
    let Ok(rows) = platform.rows(&keys).await else {
        tokio::time::sleep(PAUSE).await;
        return batch;
    };
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let mut transaction = Transaction::default();
    let mut written = Vec::new();
    for settlement in batch {
        let row = rows.get(settlement.key.as_str());
        let Some(step) = row.and_then(|row| settlement.step(row)) else { continue };
        transaction.checks.extend(step.checks);
        transaction.writes.extend(step.writes);
        written.push(settlement);
    }
    if written.is_empty() {
        return written;
    }
    match platform.commit(&transaction).await {
        Ok(Commit::Done(_)) => Vec::new(),
        Ok(Commit::Conflict(_)) => written,
        Err(_) => {
            tokio::time::sleep(PAUSE).await;
            written
        }
    }
}

impl Settlement {
    /// The write that settles the claim in `row`; `None` when that is done or no longer this claim.
    fn step(&self, row: &Row) -> Option<Transaction> {
        let claim: Claim = row.decode()?;
        match &self.state {
            Some(state) if claim.state == *state => None,
            Some(state) => claim::settle(&self.key, row, self.token, state.clone()),
            None => claim::release(&self.key, row, self.token),
        }
    }
}
