//! The daemon as a process: bad settings, and a graceful stop on SIGTERM.

use std::path::PathBuf;
use std::process::{Command, Stdio};

const SETTINGS: &str = "vm = \"vm-1\"\nfailure_domain = \"a\"\n[listen]\n\
    callers = \"127.0.0.1:0\"\negress = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
    control = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n[platform]\naddress = \"127.0.0.1:9\"\n\
    [fleet]\nsecrets = [\"0123456789abcdef\"]\n[limits]\nleave_ms = 10\n";

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_gypsumtackd"))
}

#[test]
fn bad_settings_end_with_the_line_and_the_remedy() {
    let path = file("bad.toml", &SETTINGS.replace("0123456789abcdef", "short"));
    let output = daemon().arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("fleet.secrets") && text.contains("use 16 random bytes"), "{text}");
    let checked = daemon().arg("--check").arg(file("good.toml", SETTINGS)).output().unwrap();
    assert!(checked.status.success());
}

#[test]
fn sigterm_stops_it_in_order_with_one_line_for_each_event() {
    use std::io::{BufRead, BufReader};
    let path = file("stop.toml", SETTINGS);
    let mut child = daemon().arg(&path).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    assert!(first.contains("event=started") && first.contains("vm=vm-1"), "{first}");
    let kill = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
    assert!(kill.success());
    assert!(child.wait().unwrap().success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(rest.iter().any(|line| line.contains("event=leaving")), "{rest:?}");
    assert!(rest.iter().any(|line| line.contains("event=stopped")), "{rest:?}");
}

/// A hangup means that the settings are to be read again; one that cannot be read changes nothing.
#[test]
fn sighup_reads_the_settings_again_and_ends_nothing() {
    use std::io::{BufRead, BufReader};
    let path = file("hangup.toml", SETTINGS);
    let mut child = daemon().arg(&path).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let signal = |name: &str| {
        let kill = Command::new("kill").arg(name).arg(child.id().to_string()).status().unwrap();
        assert!(kill.success());
    };
    assert!(lines.next().unwrap().contains("event=started"));
    std::fs::write(&path, SETTINGS.replace("0123456789abcdef", "short")).unwrap();
    signal("-HUP");
    assert!(lines.any(|line| line.contains("event=settings-rejected")), "it says what is wrong");
    std::fs::write(&path, SETTINGS.replace("127.0.0.1:9", "127.0.0.1:10")).unwrap();
    signal("-HUP");
    assert!(lines.any(|line| line.contains("event=settings-taken")), "the new address is taken");
    signal("-TERM");
    assert!(child.wait().unwrap().success());
}
