//! Small stand-ins for the systems around gypsumtack: the platform, backend servers and callers.
//!
//! Tests and the demo use them in place of the real systems. They are meant for loopback only.

pub mod backend;
pub mod caller;
pub mod demo;
pub mod platform;
pub mod table;
