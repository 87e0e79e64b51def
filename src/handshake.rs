//! Mutual authentication of two daemons by the fleet's secret, before either reads any other message.

use std::io;
use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;

use crate::codec;
use crate::key::{FleetKeys, Proof};

/// Maximum size of a message, in bytes. The largest request or answer body has to fit.
const MAX_MESSAGE_BYTES: usize = 72 << 20;

/// The first frame of a connection, sent by the end that opens it.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    challenge: Proof,
}

/// The reply to [`Hello`]: the challenge of the accepting end, and its proof that it knows the secret.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    challenge: Proof,
    proof: Proof,
}

/// A connection that is split into frames of one message each.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> io::Result<Frames> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    Ok(codec.max_frame_length(MAX_MESSAGE_BYTES).new_framed(stream))
}

/// Opens a connection and verifies that the other end knows the secret.
///
/// # Errors
///
/// Returns the I/O error of the connection, or an error of the kind `PermissionDenied` if the other end
/// uses another secret.
pub async fn open(keys: &FleetKeys, address: SocketAddr) -> io::Result<Frames> {
    let mut frames = framed(TcpStream::connect(address).await?)?;
    let challenge = Proof::random(&mut rand::rng());
    frames.send(codec::encode(&Hello { challenge })?).await?;
    let welcome: Welcome = receive(&mut frames).await?;
    if !keys.verify(&welcome.proof, &challenge, ACCEPTOR_ROLE) {
        return Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "the peer uses a different fleet secret",
        ));
    }
    frames.send(codec::encode(&keys.prove(&welcome.challenge, OPENER_ROLE))?).await?;
    Ok(frames)
}

/// Role of the end that opens a connection, hashed into its proof.
const OPENER_ROLE: &[u8] = b"opened";

/// Role of the end that accepts a connection, hashed into its proof.
const ACCEPTOR_ROLE: &[u8] = b"accepted";

async fn receive<T: DeserializeOwned>(frames: &mut Frames) -> io::Result<T> {
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    codec::decode(&frame)
}

/// Accepts a connection and verifies that the other end knows the secret.
///
/// # Errors
///
/// Returns the I/O error of the connection, or an error of the kind `PermissionDenied` if the other end
/// uses another secret.
pub async fn accept(keys: &FleetKeys, stream: TcpStream) -> io::Result<Frames> {
    let mut frames = framed(stream)?;
    let hello: Hello = receive(&mut frames).await?;
    let proof = keys.prove(&hello.challenge, ACCEPTOR_ROLE);
    let challenge = Proof::random(&mut rand::rng());
    frames.send(codec::encode(&Welcome { challenge, proof })?).await?;
    let proof: Proof = receive(&mut frames).await?;
    if !keys.verify(&proof, &challenge, OPENER_ROLE) {
        return Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "the peer uses a different fleet secret",
        ));
    }
    Ok(frames)
}
