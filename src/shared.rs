//! Shared state of one daemon along with its clients for I/O.
//!
//! The [`Board`] holds the state and does no I/O. [`Shared`] adds the clients that do.

use std::sync::{Arc, Mutex};

use http::HeaderName;

use crate::arrivals::Arrivals;
use crate::board::Board;
use crate::body::BodyMemory;
use crate::claims;
use crate::connection::Connections;
use crate::dialect::Dialect;
use crate::feed::Format;
use crate::held_bodies::HeldBodies;
use crate::key::FleetKeys;
use crate::peer::PeerConnections;
use crate::reservation::Reservations;
use crate::store;

/// The shared state and the clients that all tasks of one daemon use.
#[derive(Debug)]
pub struct Shared {
    /// The shared state.
    pub board: Arc<Board>,
    /// The headers of callers and backend servers.
    pub dialect: Dialect,
    /// Headers of the dialect that are not forwarded.
    pub private: Vec<HeaderName>,
    /// Keys shared with other daemons.
    pub keys: FleetKeys,
    /// The format in which documents are stored.
    pub format: Format,
    /// Client of the store.
    pub store: store::Client,
    /// Connections to other daemons.
    pub peers: PeerConnections,
    /// Requests that other daemons have sent here lately.
    pub arrivals: Mutex<Arrivals>,
    /// Slots of the local backend server that are held for requests of other daemons.
    pub reservations: Reservations,
    /// Memory for long bodies of requests that other daemons and the local backend server send.
    pub bodies: BodyMemory,
    /// Memory for long bodies of answers that other daemons hold for this one.
    pub answers: BodyMemory,
    /// Long bodies of answers that this daemon holds for others.
    pub held_bodies: HeldBodies,
    /// Connections to the local backend server.
    pub server: Connections,
    /// Sends claims to the task that writes them to the store.
    pub claims: claims::Sender,
}
