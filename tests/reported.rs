//! Reports of newer versions, and when a daemon acts on them again.

use std::net::SocketAddr;
use std::time::Duration;

use gypsumtack::reported::{NewestReport, Report};
use gypsumtack::time::Time;

fn report(version: u64, port: u16) -> Report {
    let control = SocketAddr::from(([127, 0, 0, 1], port));
    Report { version, control, since: Time::from_millis(version) }
}

/// Whether `reports` yields nothing for longer than its first pauses.
async fn is_quiet(reports: impl Future<Output = Report>) -> bool {
    tokio::time::timeout(Duration::from_secs(1), reports).await.is_err()
}

#[tokio::test]
async fn a_report_is_acted_on_until_its_version_is_held() {
    let newest = NewestReport::default();
    let mut reports = newest.follow();
    assert!(newest.record(report(3, 1)));
    for held in [1, 1, 2] {
        assert_eq!(reports.next(|| held).await, report(3, 1));
    }
    assert!(is_quiet(reports.next(|| 3)).await);
    assert!(newest.record(report(4, 2)));
    assert_eq!(reports.next(|| 3).await, report(4, 2));
}

/// Guards against asking only the daemon that reported a version first, which may be gone.
#[tokio::test]
async fn the_daemon_that_reported_a_version_last_is_asked_next() {
    let newest = NewestReport::default();
    let mut reports = newest.follow();
    newest.record(report(3, 1));
    assert_eq!(reports.next(|| 1).await.control.port(), 1);
    assert!(!newest.record(report(3, 2)));
    let again = reports.next(|| 1).await;
    assert_eq!((again.control.port(), again.since), (2, report(3, 1).since));
}

#[tokio::test]
async fn an_older_report_changes_nothing() {
    let newest = NewestReport::default();
    let mut reports = newest.follow();
    newest.record(report(3, 1));
    assert!(!newest.record(report(2, 2)));
    assert_eq!((newest.version(), reports.next(|| 1).await), (3, report(3, 1)));
    assert!(is_quiet(reports.next(|| 5)).await);
}

/// Guards against a newer version that waits for the pause of an older one.
#[tokio::test]
async fn a_newer_report_is_acted_on_at_once() {
    let newest = NewestReport::default();
    let mut reports = newest.follow();
    newest.record(report(3, 1));
    for _ in 0..4 {
        reports.next(|| 1).await;
    }
    newest.record(report(4, 1));
    let next = tokio::time::timeout(Duration::from_millis(100), reports.next(|| 1)).await;
    assert_eq!(next.unwrap().version, 4);
}
