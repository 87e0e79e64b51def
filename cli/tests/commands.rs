//! Tests of the command line as a process: exit codes, messages and output.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use gypsumtack_standin::platform::Platform;

const DOCUMENT: &str = "../examples/documents/casablanca.toml";

fn gypsumtack(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gypsumtack"));
    command.env_remove("GYPSUMTACK_PLATFORM").args(args).output().unwrap()
}

fn combined_output(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn checks_and_explains_without_a_platform() {
    let checked = gypsumtack(&["check", DOCUMENT]);
    assert!(checked.status.success(), "{}", combined_output(&checked));
    let explained = gypsumtack(&["explain", "--json", DOCUMENT]);
    let lines: Vec<String> = serde_json::from_slice(&explained.stdout).unwrap();
    assert!(lines.iter().any(|line| line.contains("runs at most once")), "{lines:?}");
    let bad = write_file("bad.toml", "[owners]\nowners = 3\n");
    let refused = gypsumtack(&["check", bad.to_str().unwrap()]);
    assert_eq!(refused.status.code(), Some(2));
    assert!(combined_output(&refused).contains("bad.toml:2"), "{}", combined_output(&refused));
    let missing = gypsumtack(&["check", "no-such-file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
}

#[test]
fn digests_a_key_from_standard_input() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gypsumtack"));
    let command = command.arg("digest").stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(b"a key\n").unwrap();
    let digest = String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap();
    assert_eq!(digest.trim(), gypsumtack::Digest::of(b"a key").to_string());
}

#[test]
fn an_unreachable_platform_has_its_own_exit_code() {
    let output = gypsumtack(&["status", "--platform", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(4), "{}", combined_output(&output));
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_shows_and_refuses_stale_edits() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::start(any, 1).await.unwrap();
    let address = platform.address().to_string();
    let run = |args: Vec<String>| {
        let address = address.clone();
        tokio::task::spawn_blocking(move || {
            let mut all: Vec<&str> = args.iter().map(String::as_str).collect();
            all.extend(["--platform", &address]);
            gypsumtack(&all)
        })
    };
    let split_args = |line: &str| line.split(' ').map(str::to_owned).collect::<Vec<_>>();
    let apply = format!("apply --who amal --team direction {DOCUMENT}");
    let applied = run(split_args(&apply)).await.unwrap();
    assert!(applied.status.success(), "{}", combined_output(&applied));
    let repeated = run(split_args(&apply)).await.unwrap();
    assert_eq!(
        repeated.status.code(),
        Some(2),
        "a second whole document: {}",
        combined_output(&repeated)
    );
    let shown = run(split_args("show --section limits")).await.unwrap();
    let limits = String::from_utf8(shown.stdout).unwrap();
    let path = write_file("limits.toml", &limits.replace("queue_ms = 800", "queue_ms = 700"));
    let path = path.to_str().unwrap();
    let edit = format!("apply --section limits --expect 1 --who amal --team platform {path}");
    assert!(run(split_args(&edit)).await.unwrap().status.success());
    let stale = run(split_args(&edit)).await.unwrap();
    assert_eq!(stale.status.code(), Some(3), "{}", combined_output(&stale));
    let other =
        edit.replace("--team platform", "--team accounts").replace("--expect 1", "--expect 2");
    let not_owner = run(split_args(&other)).await.unwrap();
    assert_eq!(not_owner.status.code(), Some(2));
    assert!(
        combined_output(&not_owner).contains("belongs to team platform"),
        "{}",
        combined_output(&not_owner)
    );
    let history = run(split_args("history --json")).await.unwrap();
    let audits: Vec<gypsumtack::publish::Audit> = serde_json::from_slice(&history.stdout).unwrap();
    assert_eq!(audits.iter().map(|audit| audit.version).collect::<Vec<_>>(), [1, 2]);
    assert!(audits[1].difference.contains("+ queue_ms = 700"), "{:?}", audits[1]);
    platform.stop();
}
