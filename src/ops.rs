//! The HTTP server for operators and the local backend server, built on xitca-web: announcements,
//! metrics, status and the recent refusals.

use std::net::TcpListener;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xitca_web::App;
use xitca_web::handler::body::Limit;
use xitca_web::handler::handler_service;
use xitca_web::handler::params::Params;
use xitca_web::handler::state::StateRef;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::route::{get, post};

use crate::announcement::{BackendServer, Rejection};
use crate::envelope::{Load, RequestId};
use crate::journal::Entry;
use crate::member::Record;
use crate::shared::Shared;

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 << 10;

/// What `/status` returns: the state of one daemon and its view of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The daemon's own record.
    pub own: Record,
    /// The version of the document in force.
    pub version: u64,
    /// The load of the local backend server.
    pub load: Load,
    /// Number of claims whose outcome is known here but not yet written to the store.
    pub unsettled: usize,
    /// Seconds for which the failure domain has been isolated; `None` if it is not.
    pub isolated: Option<u64>,
    /// This VM's share of each customer's rate.
    pub shares: Vec<ShareStatus>,
    /// All known members of the fleet.
    pub members: Vec<Record>,
}

/// This VM's share of one customer's rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The name of the customer.
    pub customer: String,
    /// The fraction of the customer's rate and burst.
    pub fraction: f64,
}

/// Starts the server on `listener`. The returned future stops it when `stop` turns true.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub fn open(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<impl Future<Output = ()> + Send + 'static> {
    let mut server = App::new()
        .with_state(shared)
        .at("/announce", post(handler_service(announce)))
        .at("/metrics", get(handler_service(metrics)))
        .at("/status", get(handler_service(status)))
        .at("/why/{id}", get(handler_service(why)))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    // The server has a runtime of its own, which must not be dropped inside another runtime.
    std::thread::Builder::new().name("operators".to_owned()).spawn(move || server.wait())?;
    Ok(async move {
        let _ = stop.wait_for(|stop| *stop).await;
        handle.stop(false);
    })
}

async fn announce(
    StateRef(shared): StateRef<'_, Shared>,
    (body, _): (Vec<u8>, Limit<MAX_ANNOUNCEMENT_BYTES>),
) -> WebResponse {
    let backend: BackendServer = match serde_json::from_slice(&body) {
        Ok(backend) => backend,
        Err(error) => {
            let problem = format!(
                "the announcement is malformed ({error}); send service, address, slots and \
                 draining as JSON\n"
            );
            return text(StatusCode::BAD_REQUEST, problem);
        }
    };
    let draining = backend.draining;
    let announced = shared.board.announce(backend);
    if draining {
        shared.board.withdrawals.until_told().await;
    }
    match announced {
        Ok(()) => text(StatusCode::OK, "ok\n".to_owned()),
        Err(rejection) => text(rejection_status(&rejection), format!("{rejection}\n")),
    }
}

/// The status of the answer to an announcement that does not hold: 409 if it contradicts the settings or
/// another run, and 400 if it can never be true.
pub fn rejection_status(rejection: &Rejection) -> StatusCode {
    match rejection {
        Rejection::Service { .. } | Rejection::Address { .. } | Rejection::OtherRun => {
            StatusCode::CONFLICT
        }
        Rejection::Incomplete
        | Rejection::Slots { .. }
        | Rejection::ServiceName { .. }
        | Rejection::Id { .. }
        | Rejection::Unreachable { .. } => StatusCode::BAD_REQUEST,
    }
}

async fn metrics(StateRef(shared): StateRef<'_, Shared>) -> WebResponse {
    text(StatusCode::OK, shared.board.render_metrics())
}

async fn status(StateRef(shared): StateRef<'_, Shared>) -> WebResponse {
    json(&status_of(shared))
}

async fn why(StateRef(shared): StateRef<'_, Shared>, Params(id): Params<String>) -> WebResponse {
    let Some(id) = RequestId::parse(&id) else {
        let problem = "a request's name has 32 hexadecimal digits; copy it from x-request-id\n";
        return text(StatusCode::BAD_REQUEST, problem.to_owned());
    };
    let entries: Vec<Entry> = shared.board.journal.find(&id);
    json(&entries)
}

fn status_of(shared: &Shared) -> Status {
    let board = &shared.board;
    let policy = board.policy.load();
    let tables = board.tables.load();
    let share =
        |(id, share): (&crate::document::CustomerId, &Arc<_>)| share_status(&policy, *id, share);
    Status {
        own: board.record(),
        version: policy.version,
        load: board.gate.load(),
        unsettled: shared.claims.unsettled(),
        isolated: board.isolated_for().map(|span| span.as_secs()),
        shares: tables.shares.iter().map(share).collect(),
        members: board.read_view(|view| view.iter().map(|m| m.record.clone()).collect()),
    }
}

fn share_status(
    policy: &crate::document::Policy,
    id: crate::document::CustomerId,
    share: &crate::tables::CustomerShare,
) -> ShareStatus {
    ShareStatus { customer: policy.customer(id).name.clone(), fraction: share.bucket().fraction() }
}

fn json<T: Serialize>(value: &T) -> WebResponse {
    text(StatusCode::OK, serde_json::to_string(value).unwrap_or_default())
}

fn text(status: StatusCode, body: String) -> WebResponse {
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status;
    response
}
