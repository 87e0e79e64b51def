//! Small stand-ins for what gypsumtack meets: the platform, a backend server and callers.
//!
//! Tests and the demo use them in place of the real systems. They listen on loopback only.

pub mod backend;
pub mod caller;
pub mod demo;
pub mod platform;
pub mod table;
