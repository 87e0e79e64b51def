//! Property test of claims. Requests with the same idempotency key arrive at several VMs, with lost
//! answers and delayed writes in the store and VMs that crash at any step. A key must never run twice.
//! Deliberate defects in the protocol verify that the check detects violations.

use std::collections::VecDeque;

use gypsumtack::claim::{self, Claim, State, StoredAnswer, StoredBody, Verdict};
use gypsumtack::envelope::Token;
use gypsumtack::key::Digest;
use gypsumtack::store::{Commit, Row, Transaction};
use gypsumtack_standin::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REQUESTS: usize = 4;

/// A deliberate defect in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A lost answer to an insert is treated as success, without reading the row back.
    TrustsLostAnswers,
    /// A claim is deleted although its request may have run.
    ReleasesUnknown,
    /// Any claim with the key is treated as the request's own.
    IgnoresTokens,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and the write takes effect later or not at all.
    Delayed,
}

#[derive(Debug, Clone)]
enum Step {
    /// The request proceeds to its next stage, with a fault in the store.
    Proceed(usize, Fault),
    /// The request runs on its backend server, and its answer arrives (`true`) or is lost.
    Dispatch(usize, bool),
    /// The request's VM crashes; the request makes no further progress.
    Crash(usize),
    /// The store applies the oldest delayed write.
    DeliverDelayed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Claiming,
    ReadingBack,
    Own,
    Settling(bool),
    Finished,
}

struct Request {
    token: Token,
    stage: Stage,
    runs: u32,
}

struct Simulation {
    table: Table,
    delayed: VecDeque<Transaction>,
    requests: Vec<Request>,
    defect: Defect,
    key: String,
    digest: Digest,
}

impl Simulation {
    fn new(defect: Defect) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut request =
            || Request { token: Token::random(&mut rng), stage: Stage::Claiming, runs: 0 };
        Self {
            table: Table::default(),
            delayed: VecDeque::new(),
            requests: (0..REQUESTS).map(|_| request()).collect(),
            defect,
            key: claim::row_key(Some("c"), b"k"),
            digest: Digest::of(b"body"),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Proceed(at, fault) => self.proceed(at, fault),
            Step::Dispatch(at, answered) if self.requests[at].stage == Stage::Own => {
                self.requests[at].runs += 1;
                self.requests[at].stage = Stage::Settling(answered);
            }
            Step::Dispatch(..) => {}
            Step::Crash(at) => self.requests[at].stage = Stage::Finished,
            Step::DeliverDelayed => {
                if let Some(transaction) = self.delayed.pop_front() {
                    self.table.commit(&transaction);
                }
            }
        }
    }

    fn proceed(&mut self, at: usize, fault: Fault) {
        let next = match self.requests[at].stage {
            Stage::Claiming => self.insert(at, fault),
            Stage::ReadingBack => self.read_back(at),
            Stage::Settling(answered) => self.settle(at, answered, fault),
            stage => stage,
        };
        self.requests[at].stage = next;
    }

    fn insert(&mut self, at: usize, fault: Fault) -> Stage {
        let claim = Claim {
            token: self.requests[at].token,
            digest: self.digest,
            request: at.to_string(),
            vm: at.to_string(),
            created: 0,
            state: State::Pending,
        };
        let transaction = claim::insert(Transaction::default(), &self.key, &claim);
        match self.write(transaction, fault) {
            Some(Commit::Done(_)) => Stage::Own,
            None if self.defect == Defect::TrustsLostAnswers => Stage::Own,
            Some(Commit::Conflict(_)) | None => Stage::ReadingBack,
        }
    }

    fn read_back(&self, at: usize) -> Stage {
        let claim: Option<Claim> = self.table.row(&self.key).and_then(Row::decode);
        let token = match (&claim, self.defect) {
            (Some(claim), Defect::IgnoresTokens) => claim.token,
            _ => self.requests[at].token,
        };
        match claim::evaluate(claim.as_ref(), token, self.digest) {
            Verdict::Own => Stage::Own,
            Verdict::Vacant => Stage::Claiming,
            Verdict::Pending => Stage::ReadingBack,
            Verdict::Replay(_) | Verdict::Unknown | Verdict::Mismatch => Stage::Finished,
        }
    }

    fn settle(&mut self, at: usize, answered: bool, fault: Fault) -> Stage {
        let Some(row) = self.table.row(&self.key).cloned() else { return Stage::Finished };
        let token = self.requests[at].token;
        let stored =
            StoredAnswer { status: 200, headers: Vec::new(), body: StoredBody::Row(String::new()) };
        let transaction = match (answered, self.defect) {
            (false, Defect::ReleasesUnknown) => claim::release(&self.key, &row, token),
            (false, _) => claim::settle(&self.key, &row, token, State::Unknown),
            (true, _) => claim::settle(&self.key, &row, token, State::Done(stored)),
        };
        let Some(transaction) = transaction else { return Stage::Finished };
        match self.write(transaction, fault) {
            Some(Commit::Done(_)) => Stage::Finished,
            _ => Stage::Settling(answered),
        }
    }

    fn write(&mut self, transaction: Transaction, fault: Fault) -> Option<Commit> {
        match fault {
            Fault::None => Some(self.table.commit(&transaction)),
            Fault::AnswerLost => {
                self.table.commit(&transaction);
                None
            }
            Fault::Delayed => {
                self.delayed.push_back(transaction);
                None
            }
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..REQUESTS;
    let fault = prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
    ];
    let step = prop_oneof![
        6 => (at.clone(), fault).prop_map(|(at, fault)| Step::Proceed(at, fault)),
        3 => (at.clone(), any::<bool>()).prop_map(|(at, answered)| Step::Dispatch(at, answered)),
        1 => at.prop_map(Step::Crash),
        1 => Just(Step::DeliverDelayed),
    ];
    proptest::collection::vec(step, 5..60)
}

fn check(defect: Defect) -> Result<(), TestError<Vec<Step>>> {
    let config = Config { cases: 3_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
        let mut simulation = Simulation::new(defect);
        for step in &steps {
            simulation.step(step);
        }
        let runs: u32 = simulation.requests.iter().map(|request| request.runs).sum();
        prop_assert!(runs <= 1, "the key ran {runs} times");
        Ok(())
    })
}

#[test]
fn a_key_runs_at_most_once() {
    if let Err(error) = check(Defect::None) {
        panic!("{error}");
    }
}

#[test]
fn each_defect_is_detected() {
    for defect in [Defect::TrustsLostAnswers, Defect::ReleasesUnknown, Defect::IgnoresTokens] {
        assert!(check(defect).is_err(), "{defect:?} was not detected");
    }
}
