//! Odd rows that another writer has left in the store, in the project's own protocol.

use std::time::Duration;

use gypsumtack::settings;
use gypsumtack::store::{Client, Reply, Row, Rows, StoreRequest};
use gypsumtack::time::Clock;
use gypsumtack::wire::OWN;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn scan(body: Vec<u8>) -> Rows {
    let request = StoreRequest::Scan { prefix: "member/", from: None, after: 0 };
    match (OWN.decode)(&request, StatusCode::OK, body.into()) {
        Ok(Reply::Rows(rows)) => rows,
        other => panic!("no rows: {other:?}"),
    }
}

/// Values that fit no field: too deep, too large, or of another type.
fn odd_values() -> Vec<String> {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let mut values: Vec<String> =
        ["1e999", "-1", "0.5", "null", "{}", "true", "\"\\ud800\""].map(str::to_owned).to_vec();
    values.extend(["9".repeat(40), nested(127), nested(200), nested(200_000)]);
    values
}

/// Returns the odd rows: each has one odd field, or is no row at all.
fn odd_rows() -> Vec<Vec<u8>> {
    let with = |field: &str, value: &str| {
        let honest = [("key", "\"member/odd\""), ("value", "\"{}\""), ("version", "4")];
        let honest = honest.iter().filter(|(name, _)| *name != field);
        let fields: Vec<String> = honest
            .map(|(name, value)| format!("\"{name}\":{value}"))
            .chain([format!("\"{field}\":{value}")])
            .collect();
        format!("{{{}}}", fields.join(",")).into_bytes()
    };
    let mut rows: Vec<Vec<u8>> = odd_values().into_iter().map(String::into_bytes).collect();
    for field in ["key", "value", "version", "unknown"] {
        rows.extend(odd_values().iter().map(|value| with(field, value)));
    }
    rows.push(b"{\"key\":\"member/odd\",\"value\":\"\xff\",\"version\":4}".to_vec());
    rows.push(
        b"{\"key\":\"member/odd\",\"key\":\"member/odd\",\"value\":\"\",\"version\":4}".to_vec(),
    );
    rows
}

/// Guards against a daemon that stops following a table because of one row in it.
#[test]
fn an_odd_row_hides_no_honest_row() {
    let honest = |key: &str| Row { key: format!("member/{key}"), version: 3, value: "{}".into() };
    let (first, last) = (honest("a"), honest("z"));
    let text = |row: &Row| serde_json::to_vec(row).unwrap();
    let mut lost = Vec::new();
    for odd in odd_rows() {
        let answer = [
            &b"{\"rows\":["[..],
            &text(&first),
            b",",
            &odd,
            b",",
            &text(&last),
            b"],\"version\":9}",
        ];
        let body = answer.concat();
        let read = std::panic::catch_unwind(|| scan(body));
        if !read.is_ok_and(|rows| rows.rows.contains(&first) && rows.rows.contains(&last)) {
            lost.push(String::from_utf8_lossy(&odd[..odd.len().min(80)]).into_owned());
        }
    }
    assert!(lost.is_empty(), "{} odd rows hide honest ones:\n{}", lost.len(), lost.join("\n"));
}

/// Guards against a scan that asks for the same page forever, since the page has no row to continue after.
#[tokio::test]
async fn a_scan_ends_at_a_page_without_a_readable_row() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut pages = ["{\"key\":\"member/a\",\"value\":\"{}\",\"version\":3}"].into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let rows = pages.next().unwrap_or("1e999");
            let body = format!("{{\"rows\":[{rows}],\"version\":9,\"more\":true}}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all((head + &body).as_bytes()).await;
        }
    });
    let client =
        Client::new(&settings::Platform { address, timeout_ms: 1_000 }, OWN, Clock::start());
    let scan = tokio::time::timeout(Duration::from_secs(10), client.scan("member/")).await;
    let rows = scan.expect("the scan does not end").unwrap();
    assert_eq!(rows.rows.len(), 1);
}
