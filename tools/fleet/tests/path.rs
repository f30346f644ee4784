//! End-to-end tests of the request path on a fleet of processes.

use eyre::Result;
use fleet::{Fleet, check_success, path_str, shape::FleetConfig, until};
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn get(fleet: &Fleet, i: usize, path: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{}{path}", fleet.boxes[i].listen);
    fleet.client.get(url).header("host", "guestlist.example")
}

#[tokio::test]
async fn a_request_goes_end_to_end_and_back_whole() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    for i in 0..fleet.boxes.len() {
        let answer =
            get(&fleet, i, "/list?size=300000").header("x-request-id", "r1").send().await?;
        assert_eq!(answer.status(), 200);
        let text = answer.text().await?;
        assert!(text.contains("\"request\":\"r1\""), "the answer belongs to another request");
        assert!(text.ends_with(&"x".repeat(300_000)));
    }
    let body = vec![7u8; 2_000_000];
    let url = format!("http://{}/photos", fleet.boxes[0].listen);
    let post = fleet.client.post(url).header("host", "guestlist.example").body(body);
    assert!(post.send().await?.text().await?.contains("\"body\":2000000"));
    Ok(())
}

#[tokio::test]
async fn http2_callers_are_served() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let client = reqwest::Client::builder().no_proxy().http2_prior_knowledge().build()?;
    let url = format!("http://{}/list", fleet.boxes[0].listen);
    let answer = client.get(url).header("host", "guestlist.example").send().await?;
    assert_eq!((answer.status().as_u16(), answer.version()), (200, reqwest::Version::HTTP_2));
    Ok(())
}

/// Opens an echo session through a box and returns it once upgraded.
async fn open_session(fleet: &Fleet, i: usize) -> Result<TcpStream> {
    let mut s = TcpStream::connect(fleet.boxes[i].listen).await?;
    s.write_all(b"GET /chat HTTP/1.1\r\nhost: guestlist.example\r\nconnection: upgrade\r\nupgrade: echo\r\n\r\n").await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(s.read_u8().await?);
    }
    let head = String::from_utf8(head)?.to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 101"), "{head}");
    assert!(head.contains("upgrade: echo"), "{head}");
    Ok(s)
}

async fn echo(s: &mut TcpStream, text: &[u8]) -> Result<()> {
    s.write_all(text).await?;
    let mut echoed = vec![0; text.len()];
    s.read_exact(&mut echoed).await?;
    assert_eq!(echoed, text);
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_carries_an_open_session_to_its_end() -> Result<()> {
    let mut fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let mut s = open_session(&fleet, 0).await?;
    echo(&mut s, b"before").await?;
    fleet.boxes[0].process.signal(Signal::SIGTERM)?;
    until("readiness is off", Duration::from_secs(5), async || {
        fleet.readiness(0).await.is_ok_and(|(ready, _)| !ready)
    })
    .await?;
    // The callers' port closes while the session stays open.
    let listen = fleet.boxes[0].listen;
    until("the port is closed", Duration::from_secs(5), async || {
        let refused = |e: std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        TcpStream::connect(listen).await.is_err_and(refused)
    })
    .await?;
    echo(&mut s, b"after").await?;
    assert!(fleet.boxes[0].process.ended().is_none(), "the box exited before its session ended");
    drop(s);
    let exit = fleet.boxes[0].process.wait_end(Duration::from_secs(5)).await?;
    assert!(exit.success(), "{exit}");
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_answers_what_is_in_flight() -> Result<()> {
    let mut fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let slow = get(&fleet, 0, "/list?ms=1500").header("x-request-id", "slow").send();
    let (answer, exit) = tokio::join!(slow, async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.boxes[0].process.terminate()?;
        fleet.boxes[0].process.wait_end(Duration::from_secs(10)).await
    });
    let answer = answer?;
    assert_eq!(answer.status(), 200);
    assert!(answer.text().await?.contains("\"request\":\"slow\""));
    assert!(exit?.success());
    Ok(())
}

#[tokio::test]
async fn ambiguous_requests_are_refused() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let cases = [
        "POST / HTTP/1.1\r\nhost: guestlist.example\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nhost: guestlist.example\r\ntransfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\nabc",
        "GET / HTTP/1.1\r\nhost: guestlist.example\r\nhost: other.example\r\n\r\n",
        "CONNECT guestlist.example:80 HTTP/1.1\r\nhost: guestlist.example\r\n\r\n",
    ];
    for case in cases {
        let mut s = TcpStream::connect(fleet.boxes[0].listen).await?;
        s.write_all(case.as_bytes()).await?;
        let mut first = [0; 12];
        s.read_exact(&mut first).await?;
        assert_eq!(&first, b"HTTP/1.1 400", "{case:?}");
    }
    for u in 0..fleet.upstreams.len() {
        assert_eq!(
            fleet.journal(u).await?.runs.len(),
            0,
            "an ambiguous request reached an upstream"
        );
    }
    Ok(())
}

/// Guards against request smuggling by a `content-length` beside a `transfer-encoding`.
///
/// The HTTP library drops the length, as RFC 9112 section 6.3 allows, and the
/// forwarded request is framed by the transfer coding alone.
#[tokio::test]
async fn a_length_beside_a_transfer_coding_reaches_no_upstream() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let mut s = TcpStream::connect(fleet.boxes[0].listen).await?;
    s.write_all(b"POST / HTTP/1.1\r\nhost: guestlist.example\r\nconnection: close\r\ncontent-length: 30\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n").await?;
    let mut text = String::new();
    s.read_to_string(&mut text).await?;
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("\"body\":2"), "{text}");
    Ok(())
}

#[tokio::test]
async fn a_caller_that_sends_its_head_too_slowly_is_let_go() -> Result<()> {
    let box_settings = "head-time = 300ms\n".to_owned();
    let fleet = Fleet::start_ready(FleetConfig { box_settings, ..FleetConfig::default() }).await?;
    let mut s = TcpStream::connect(fleet.boxes[0].listen).await?;
    s.write_all(b"GET /list HTTP/1.1\r\nhost: guest").await?;
    let mut received = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), s.read_to_end(&mut received)).await;
    assert!(read.is_ok(), "the connection stays open");
    assert!(!received.starts_with(b"HTTP/1.1 200"));
    assert_eq!(get(&fleet, 0, "/list").send().await?.status(), 200, "other callers are served");
    Ok(())
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_work_upstream() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let mut s = TcpStream::connect(fleet.boxes[0].listen).await?;
    s.write_all(b"GET /list?ms=1900 HTTP/1.1\r\nhost: guestlist.example\r\n\r\n").await?;
    let count = async |cancelled: bool| {
        let mut n = 0;
        for u in 0..fleet.upstreams.len() {
            let page = fleet.journal(u).await.unwrap_or_default();
            n += if cancelled { page.cancelled } else { page.runs.len() as u64 };
        }
        n
    };
    until("the request runs on an upstream", Duration::from_secs(1), async || {
        count(false).await == 1
    })
    .await?;
    drop(s);
    until("the request is cancelled on the upstream", Duration::from_secs(1), async || {
        count(true).await == 1
    })
    .await
}

#[tokio::test]
async fn limits_refuse_at_once_and_say_when_to_come_back() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let limits = "[callers]\nbusy = small\n[limits]\nsmall = 2/s\n";
    let path = fleet.write_bundle("limits.ini", &(fleet.config().bundle_text() + limits))?;
    fleet.sign(&path, "alice")?;
    let ini = fleet.operator_settings();
    check_success(&fleet.run_operator(&[
        "roll-out",
        path_str(&path),
        "--settings",
        &ini,
        "--wait",
    ])?)?;
    let mut refused = 0;
    for _ in 0..40 {
        let answer = get(&fleet, 0, "/list").header("honeypulley-caller", "busy").send().await?;
        if answer.status() == 429 {
            refused += 1;
            assert_eq!(answer.headers()["honeypulley-not-run"], "1");
            let retry_after_ms: u64 = answer.headers()["retry-after-ms"].to_str()?.parse()?;
            assert!((1..=1_600).contains(&retry_after_ms), "{retry_after_ms}");
        }
    }
    assert!(refused >= 15, "{refused}");
    assert_eq!(
        get(&fleet, 0, "/list").header("honeypulley-caller", "other").send().await?.status(),
        200
    );
    Ok(())
}

#[tokio::test]
async fn a_roll_out_is_in_force_on_every_box() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let url = format!("http://{}/", fleet.boxes[0].listen);
    let early = fleet.client.get(url).header("host", "new.example").send().await?;
    assert_eq!(early.status(), 404);
    let text = fleet.config().bundle_text() + "new.example/ = guestlist\n";
    let path = fleet.write_bundle("second.ini", &text)?;
    fleet.sign(&path, "alice")?;
    let ini = fleet.operator_settings();
    let out = fleet.run_operator(&["roll-out", path_str(&path), "--settings", &ini, "--wait"])?;
    check_success(&out)?;
    assert!(String::from_utf8_lossy(&out.stdout).contains("accepted as v2"));
    for i in 0..fleet.boxes.len() {
        assert_eq!(fleet.status(i).await?.bundle, 2);
        let url = format!("http://{}/", fleet.boxes[i].listen);
        assert_eq!(fleet.client.get(url).header("host", "new.example").send().await?.status(), 200);
    }
    Ok(())
}
