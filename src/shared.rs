//! What the tasks of one daemon share: the blackboard and the connections to everything outside.
//!
//! State stands on the [`Board`], which does no I/O; only here does it meet the clients that do.

use std::sync::Arc;

use http::HeaderName;

use crate::board::Board;
use crate::claims;
use crate::connection::Connections;
use crate::dialect::Dialect;
use crate::feed::Format;
use crate::key::FleetKeys;
use crate::peer::PeerConnections;
use crate::store;

/// What the tasks of one daemon share.
#[derive(Debug)]
pub struct Shared {
    /// All state.
    pub board: Arc<Board>,
    /// The headers of callers and backend servers.
    pub dialect: Dialect,
    /// Headers of the dialect that are not passed on.
    pub private: Vec<HeaderName>,
    /// Keys shared with other daemons.
    pub keys: FleetKeys,
    /// How documents are found and read.
    pub format: Format,
    /// The store.
    pub store: store::Client,
    /// Connections to other daemons.
    pub peers: PeerConnections,
    /// Connections to the local backend server.
    pub server: Connections,
    /// Claims on their way to the store.
    pub claims: claims::Sender,
}
