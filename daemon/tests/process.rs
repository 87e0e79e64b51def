//! Tests of the daemon as a process: invalid settings, graceful shutdown on SIGTERM, reload on SIGHUP.

use std::path::PathBuf;
use std::process::{Command, Stdio};

const SETTINGS: &str = "vm = \"vm-1\"\nfailure_domain = \"a\"\n[listen]\n\
    callers = \"127.0.0.1:0\"\negress = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
    control = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n[platform]\naddress = \"127.0.0.1:9\"\n\
    [fleet]\nsecrets = [\"0123456789abcdef\"]\n[limits]\nleave_ms = 10\n";

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn daemon_command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_gypsumtackd"))
}

#[test]
fn invalid_settings_exit_with_the_key_and_the_remedy() {
    let path = write_file("bad.toml", &SETTINGS.replace("0123456789abcdef", "short"));
    let output = daemon_command().arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("fleet.secrets") && text.contains("use 16 random bytes"), "{text}");
    let checked =
        daemon_command().arg("--check").arg(write_file("good.toml", SETTINGS)).output().unwrap();
    assert!(checked.status.success());
}

#[test]
fn sigterm_shuts_down_gracefully_and_logs_each_step() {
    use std::io::{BufRead, BufReader};
    let path = write_file("stop.toml", SETTINGS);
    let mut child = daemon_command().arg(&path).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    assert!(first.contains("event=started") && first.contains("vm=vm-1"), "{first}");
    let status = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(status.success());
    assert!(child.wait().unwrap().success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(rest.iter().any(|line| line.contains("event=leaving")), "{rest:?}");
    assert!(rest.iter().any(|line| line.contains("event=stopped")), "{rest:?}");
}

/// SIGHUP reloads the settings. Settings that are invalid are rejected and leave the daemon unchanged.
#[test]
fn sighup_reloads_settings_and_the_process_keeps_running() {
    use std::io::{BufRead, BufReader};
    let path = write_file("hangup.toml", SETTINGS);
    let mut child = daemon_command().arg(&path).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let send_signal = |name: &str| {
        let status = Command::new("kill").arg(name).arg(child.id().to_string()).status().unwrap();
        assert!(status.success());
    };
    assert!(lines.next().unwrap().contains("event=started"));
    std::fs::write(&path, SETTINGS.replace("0123456789abcdef", "short")).unwrap();
    send_signal("-HUP");
    assert!(
        lines.any(|line| line.contains("event=settings-rejected")),
        "no settings-rejected event"
    );
    std::fs::write(&path, SETTINGS.replace("127.0.0.1:9", "127.0.0.1:10")).unwrap();
    send_signal("-HUP");
    assert!(lines.any(|line| line.contains("event=settings-taken")), "no settings-taken event");
    send_signal("-TERM");
    assert!(child.wait().unwrap().success());
}
