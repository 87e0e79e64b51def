//! How two daemons prove to each other that they know the fleet's secret, before anything else is read.

use std::io;
use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;

use crate::codec;
use crate::key::{FleetKeys, Proof};

/// The largest message, in bytes: the largest body that daemons hold must fit.
const LARGEST_MESSAGE: usize = 72 << 20;

/// What stands in the first frame of a link, from the end that opens it.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    challenge: Proof,
}

/// The answer: the accepting end's own challenge, and its proof that it knows the secret.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    challenge: Proof,
    proof: Proof,
}

/// A connection that carries whole messages.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> io::Result<Frames> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    Ok(codec.max_frame_length(LARGEST_MESSAGE).new_framed(stream))
}

/// Opens a connection and checks that the other end knows the secret.
pub async fn open(keys: &FleetKeys, address: SocketAddr) -> io::Result<Frames> {
    let mut frames = frames(TcpStream::connect(address).await?)?;
    let challenge = Proof::random(&mut rand::rng());
    frames.send(codec::encode(&Hello { challenge })?).await?;
    let welcome: Welcome = receive(&mut frames).await?;
    if !keys.proves(&welcome.proof, &challenge, ACCEPTED) {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, "its secret is another"));
    }
    frames.send(codec::encode(&keys.prove(&welcome.challenge, OPENED))?).await?;
    Ok(frames)
}

/// What the end that opens a link proves, beside the challenge.
const OPENED: &[u8] = b"opened";

/// What the end that accepts a link proves, beside the challenge.
const ACCEPTED: &[u8] = b"accepted";

async fn receive<T: DeserializeOwned>(frames: &mut Frames) -> io::Result<T> {
    let frame = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    codec::decode(&frame)
}

/// Checks that the other end knows the secret, before any message of it is read.
pub async fn accept(keys: &FleetKeys, stream: TcpStream) -> io::Result<Frames> {
    let mut frames = frames(stream)?;
    let hello: Hello = receive(&mut frames).await?;
    let proof = keys.prove(&hello.challenge, ACCEPTED);
    let challenge = Proof::random(&mut rand::rng());
    frames.send(codec::encode(&Welcome { challenge, proof })?).await?;
    let proof: Proof = receive(&mut frames).await?;
    if !keys.proves(&proof, &challenge, OPENED) {
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, "its secret is another"));
    }
    Ok(frames)
}
