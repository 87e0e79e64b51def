//! Statuses that promise callers that a request did not run and never will.

use gypsumtack::reason::{Outcome, Reason};

#[test]
fn no_status_promises_that_a_request_did_not_run_if_it_may_have() {
    let reasons = [
        Reason::OverRate { rate: 1.0, wait_ms: 1 },
        Reason::SlowBody { waited_ms: 1 },
        Reason::ClaimUnavailable,
        Reason::Leaving,
        Reason::Shed { status: 503 },
        Reason::Crashed,
        Reason::DeadlinePassed { deadline_ms: 1 },
    ];
    for reason in reasons {
        for outcome in [Outcome::Unknown, Outcome::Ran] {
            let status = reason.status(outcome).as_u16();
            assert!(![408, 421, 429, 503].contains(&status), "{reason:?}, {outcome:?}: {status}");
        }
    }
}
