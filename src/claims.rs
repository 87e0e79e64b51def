//! Reads and writes claims in the store, with many claims in one write.
//!
//! The decisions are made in [`crate::claim`]. A request that may have been sent is never sent again
//! from here. Its claim is settled even if its caller disconnects or the store is unavailable for a
//! long time.

mod restoration;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::sync::{mpsc, oneshot};

use self::restoration::restore_claims;
use crate::board::InFlight;
use crate::claim::{self, Claim, Header, State, StoredAnswer, StoredBody, Verdict};
use crate::envelope::{Report, Token};
use crate::era::RESTORE_TIME;
use crate::error::StoreError;
use crate::forward::{self, Call};
use crate::key::Digest;
use crate::message::Answer;
use crate::reason::{self, Outcome, Reason};
use crate::recall::RecentClaims;
use crate::retry::RetryBudget;
use crate::shared::Shared;
use crate::store::{Client, Commit, Row, Transaction};
use crate::sync::lock;
use crate::time::unix_seconds;

/// Maximum number of claims or settlements in one write.
const MAX_BATCH: usize = 64;

/// Capacity of the queue of claims and of the queue of settlements that are to be written.
const QUEUE_CAPACITY: usize = 4_096;

/// Interval between attempts while the store fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the claim of another request is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for making a claim, even if the deadline is later. It is long enough for a lost answer and
/// the read-back that follows; during an outage of the store, the caller is promptly told when to
/// retry.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of an answer body that is stored in the row; larger bodies are stored as objects.
const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Header that marks an answer as the stored answer of an earlier request.
const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");

/// The requests' end of the queues of claims and settlements.
#[derive(Debug)]
pub struct Sender {
    inserts: mpsc::Sender<Insert>,
    settlements: mpsc::Sender<Settlement>,
    unsettled: Arc<AtomicUsize>,
    recent: Mutex<RecentClaims>,
}

impl Sender {
    /// Number of claims whose outcome is known on this VM but not yet written to the store.
    pub fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::Acquire)
    }
}

/// The writing tasks' end of the queues of claims and settlements.
#[derive(Debug)]
pub struct Receiver {
    inserts: mpsc::Receiver<Insert>,
    settlements: mpsc::Receiver<Settlement>,
    unsettled: Arc<AtomicUsize>,
}

/// A claim to be inserted.
#[derive(Debug)]
struct Insert {
    key: String,
    claim: Claim,
    reply: oneshot::Sender<Result<Verdict, StoreError>>,
}

/// The outcome of a claimed request. Without a state, the claim is deleted.
#[derive(Debug, Clone)]
struct Settlement {
    key: String,
    token: Token,
    state: Option<State>,
}

/// Creates the two ends of the queues.
pub fn channel() -> (Sender, Receiver) {
    let (inserts, insert_receiver) = mpsc::channel(QUEUE_CAPACITY);
    let (settlements, settlement_receiver) = mpsc::channel(QUEUE_CAPACITY);
    let unsettled = Arc::new(AtomicUsize::new(0));
    let receiver = Receiver {
        inserts: insert_receiver,
        settlements: settlement_receiver,
        unsettled: Arc::clone(&unsettled),
    };
    (Sender { inserts, settlements, unsettled, recent: Mutex::default() }, receiver)
}

/// Runs a non-idempotent call at most once, or returns the answer of its first run.
///
/// The call continues in its own task if the caller disconnects, so that its claim is settled with the
/// actual outcome.
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
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let problem = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
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
    match acquire(shared, &call, key, claim).await {
        Ok(Verdict::Own) => {}
        Ok(Verdict::Replay(stored)) => return replay_answer(shared, &call, stored).await,
        Ok(Verdict::Mismatch) => return Answer::not_run(request, Reason::IdempotencyMismatch),
        Ok(Verdict::Unknown) => {
            return Answer::refusal(request, Outcome::Unknown, Reason::ClaimUnknown);
        }
        Ok(Verdict::Pending | Verdict::Vacant) => {
            return Answer::refusal(request, Outcome::Unknown, Reason::ClaimPending);
        }
        Err(_) => {
            // The insert may have taken effect after all, so the claim is deleted if it exists.
            queue_settlement(shared, key, token, None).await;
            return Answer::not_run(request, Reason::ClaimUnavailable);
        }
    }
    let answer = forward::send(shared, &call, retry_budget).await;
    let state = match answer.report.outcome {
        Outcome::NotRun => None,
        Outcome::Unknown => Some(State::Unknown),
        Outcome::Ran => Some(State::Done(store_answer(shared, token, &answer).await)),
    };
    queue_settlement(shared, key, token, state).await;
    answer
}

/// Acquires a claim or, if another request holds it, polls until the deadline for that request's
/// answer.
async fn acquire(
    shared: &Shared,
    call: &Call,
    key: &str,
    claim: Claim,
) -> Result<Verdict, StoreError> {
    let (token, digest) = (claim.token, claim.digest);
    let end = call.deadline.min(shared.board.clock.now() + CLAIM_TIMEOUT);
    let remaining = end.since(shared.board.clock.now());
    let (reply, answer) = oneshot::channel();
    let insert = Insert { key: key.to_owned(), claim, reply };
    let stopping = || StoreError::Unavailable("this VM is stopping".to_owned());
    shared.claims.inserts.send(insert).await.map_err(|_| stopping())?;
    let timed_out = || StoreError::AnswerLost("no answer within the deadline".to_owned());
    let answer = tokio::time::timeout(remaining, answer).await.map_err(|_| timed_out())?;
    let mut verdict = answer.map_err(|_| stopping())??;
    while verdict == Verdict::Pending && shared.board.clock.now() + POLL_INTERVAL < call.deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Ok(row) = shared.store.row(key).await else { continue };
        verdict = evaluate(shared, row.as_ref(), token, digest);
    }
    Ok(verdict)
}

/// Evaluates a row for a claim with this token and digest. A row that holds no claim tells nothing of the
/// request with its key.
fn evaluate(shared: &Shared, row: Option<&Row>, token: Token, digest: Digest) -> Verdict {
    let Some(row) = row else { return Verdict::Vacant };
    let claim: Option<Claim> = shared.store.decode(row, |_| Ok(()));
    claim.map_or(Verdict::Unknown, |claim| claim::evaluate(Some(&claim), token, digest))
}

/// Digest of the request's method, path and body, which must be the same for all requests with the same
/// idempotency key.
fn digest(call: &Call) -> Digest {
    let message = &call.message;
    let mut bytes = message.method.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(message.uri.to_string().as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&message.body);
    Digest::of(&bytes)
}

/// Queues the outcome of a claim. It is written in the background, and retried until that succeeds.
async fn queue_settlement(shared: &Shared, key: &str, token: Token, state: Option<State>) {
    lock(&shared.claims.recent).settle(key, token, state.as_ref());
    let settlement = Settlement { key: key.to_owned(), token, state };
    shared.claims.unsettled.fetch_add(1, Ordering::AcqRel);
    let _ = shared.claims.settlements.send(settlement).await;
}

/// Converts an answer to its stored form, and first writes a large body to an object. That write is
/// retried until it succeeds or the VM is leaving.
async fn store_answer(shared: &Shared, token: Token, answer: &Answer) -> StoredAnswer {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.to_string(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    };
    let body = if answer.body.len() <= MAX_ROW_BODY_BYTES {
        StoredBody::Row(STANDARD.encode(&answer.body))
    } else {
        let name = format!("answer-{token}");
        while shared.store.put_object(&name, &answer.body).await.is_err() {
            if shared.board.is_leaving() {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        StoredBody::Object(name)
    };
    StoredAnswer {
        status: answer.status.as_u16(),
        headers: answer.headers.iter().map(header).collect(),
        body,
    }
}

/// Converts a stored answer back, with the body read from its object where needed.
async fn replay_answer(shared: &Shared, call: &Call, stored: StoredAnswer) -> Answer {
    let request = call.envelope.request.clone();
    let body = match &stored.body {
        StoredBody::Row(text) => STANDARD.decode(text).ok().map(Bytes::from),
        StoredBody::Object(name) => shared.store.object(name).await.ok().flatten(),
    };
    let status = StatusCode::from_u16(stored.status).ok();
    let status =
        status.filter(|status| !status.is_informational() && !reason::promises_not_run(*status));
    let (Some(body), Some(status)) = (body, status) else {
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
    let report = Report::new(request, Outcome::Ran, None);
    Answer { status, headers, body, report }
}

/// Writes claims and settlements until the daemon stops.
pub async fn run(shared: Arc<Shared>, receiver: Receiver) {
    let Receiver { inserts, settlements, unsettled } = receiver;
    tokio::join!(
        write_inserts(&shared, inserts),
        write_settlements(&shared.store, settlements, &unsettled),
        restore_claims(&shared)
    );
}

async fn write_inserts(shared: &Shared, mut receiver: mpsc::Receiver<Insert>) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut waiting = std::mem::take(&mut batch);
        // A transaction must not contain two claims with the same key.
        while !waiting.is_empty() {
            let (unique, duplicates) = split_duplicates(waiting);
            insert_batch(shared, unique).await;
            waiting = duplicates;
        }
    }
}

/// Splits off the claims whose key occurs earlier in the batch.
fn split_duplicates(batch: Vec<Insert>) -> (Vec<Insert>, Vec<Insert>) {
    let mut seen = std::collections::BTreeSet::new();
    batch.into_iter().partition(|insert| seen.insert(insert.key.clone()))
}

/// Inserts claims, retrying until each has a verdict, has failed, or its request no longer waits.
async fn insert_batch(shared: &Shared, mut batch: Vec<Insert>) {
    let store = &shared.store;
    loop {
        batch.retain(|insert| !insert.reply.is_closed());
        if batch.is_empty() {
            return;
        }
        let add =
            |transaction, insert: &Insert| claim::insert(transaction, &insert.key, &insert.claim);
        let transaction = batch.iter().fold(Transaction::default(), add);
        match store.commit(&transaction).await {
            // The store may have lost a claim with the same key that another daemon has yet to restore.
            Ok(Commit::Done(_)) if !store.era().is_restored(shared.board.clock.now()) => {
                shared.board.clock.sleep_until(store.era().since + RESTORE_TIME).await;
                batch = read_back(shared, batch).await;
            }
            Ok(Commit::Done(_)) => {
                for insert in batch {
                    reply(shared, insert, Verdict::Own);
                }
                return;
            }
            Ok(Commit::Conflict(_)) | Err(StoreError::AnswerLost(_)) => {
                batch = read_back(shared, batch).await;
            }
            Err(
                error
                @ (StoreError::Refused(_) | StoreError::BreakerOpen | StoreError::HistoryGone),
            ) => {
                return reject(batch, &error);
            }
            Err(StoreError::Unavailable(_)) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Answers an insert. A claim that was made is remembered before its request learns of it, so that it is
/// written again if the store loses it.
fn reply(shared: &Shared, insert: Insert, verdict: Verdict) {
    let Insert { key, claim, reply } = insert;
    if verdict == Verdict::Own {
        lock(&shared.claims.recent).insert(&key, claim, shared.board.clock.now());
    }
    let _ = reply.send(Ok(verdict));
}

fn reject(batch: Vec<Insert>, error: &StoreError) {
    for insert in batch {
        let _ = insert.reply.send(Err(error.clone()));
    }
}

/// Sends verdicts for the claims whose rows exist, and returns those that remain to be inserted.
async fn read_back(shared: &Shared, batch: Vec<Insert>) -> Vec<Insert> {
    let store = &shared.store;
    let keys: Vec<String> = batch.iter().map(|insert| insert.key.clone()).collect();
    let rows = match store.rows(&keys).await {
        Ok(rows) => rows,
        Err(error @ StoreError::BreakerOpen) => {
            reject(batch, &error);
            return Vec::new();
        }
        Err(_) => {
            tokio::time::sleep(RETRY_INTERVAL).await;
            return batch;
        }
    };
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let mut remaining = Vec::new();
    for insert in batch {
        let row = rows.get(insert.key.as_str()).copied();
        let verdict = evaluate(shared, row, insert.claim.token, insert.claim.digest);
        match verdict {
            Verdict::Vacant => remaining.push(insert),
            verdict => reply(shared, insert, verdict),
        }
    }
    remaining
}

async fn write_settlements(
    store: &Client,
    mut receiver: mpsc::Receiver<Settlement>,
    unsettled: &AtomicUsize,
) {
    let mut waiting = Vec::with_capacity(MAX_BATCH);
    loop {
        // Settlements that failed are retried together with those that arrived in the meantime.
        let received = if waiting.is_empty() {
            receiver.recv_many(&mut waiting, MAX_BATCH).await
        } else {
            receive_available(&mut receiver, &mut waiting)
        };
        if waiting.is_empty() && received == 0 {
            return;
        }
        let count = waiting.len();
        waiting = settle_batch(store, waiting).await;
        unsettled.fetch_sub(count - waiting.len(), Ordering::AcqRel);
    }
}

/// Receives the settlements that are available without waiting, until the batch is full. Returns their
/// number.
fn receive_available(
    receiver: &mut mpsc::Receiver<Settlement>,
    waiting: &mut Vec<Settlement>,
) -> usize {
    let before = waiting.len();
    while waiting.len() < MAX_BATCH {
        let Ok(settlement) = receiver.try_recv() else { break };
        waiting.push(settlement);
    }
    waiting.len() - before
}

/// Writes settlements in one transaction, and returns those that have to be retried.
async fn settle_batch(store: &Client, batch: Vec<Settlement>) -> Vec<Settlement> {
    let keys: Vec<String> = batch.iter().map(|s| s.key.clone()).collect();
    let Ok(rows) = store.rows(&keys).await else {
        tokio::time::sleep(RETRY_INTERVAL).await;
        return batch;
    };
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let mut transaction = Transaction::default();
    let mut written = Vec::new();
    for settlement in batch {
        let row = rows.get(settlement.key.as_str());
        let Some(change) = row.and_then(|row| settlement.transaction(row)) else { continue };
        transaction.checks.extend(change.checks);
        transaction.writes.extend(change.writes);
        written.push(settlement);
    }
    if written.is_empty() {
        return written;
    }
    match store.commit(&transaction).await {
        Ok(Commit::Done(_)) => Vec::new(),
        Ok(Commit::Conflict(_)) => written,
        Err(_) => {
            tokio::time::sleep(RETRY_INTERVAL).await;
            written
        }
    }
}

impl Settlement {
    /// Returns the transaction that settles the claim in `row`; `None` if the claim is settled already
    /// or the row holds another claim.
    fn transaction(&self, row: &Row) -> Option<Transaction> {
        let claim: Claim = row.decode()?;
        match &self.state {
            Some(state) if claim.state == *state => None,
            Some(state) => claim::settle(&self.key, row, self.token, state.clone()),
            None => claim::release(&self.key, row, self.token),
        }
    }
}
