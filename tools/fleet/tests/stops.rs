//! Planned stops of `honeypulleyd` with and without a bound.

use eyre::{Result, WrapErr, ensure, eyre};
use fleet::{Fleet, shape::FleetConfig, until};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after SIGTERM within which the process ends.
const GRACE: Duration = Duration::from_secs(4);
/// Time from the signal to the second half of the stop, which begins after 1.52 s.
const SECOND_HALF: Duration = Duration::from_millis(2_400);
/// Time from the signal to requests of the first half.
const FIRST_HALF: Duration = Duration::from_millis(1_000);
/// Time in which a rejection is expected.
const REJECT_TIME: Duration = Duration::from_millis(200);

/// Starts one box with one upstream and a deadline that outlasts the grace.
async fn fleet(box_settings: &str) -> Result<Fleet> {
    let service = "floor = 1\nrepeat = never\ndeadline = 20s\nlean = detection\n";
    let config = FleetConfig {
        services: vec![("guestlist".to_owned(), 1)],
        boxes: 1,
        box_settings: box_settings.to_owned(),
        service_settings: vec![("guestlist".to_owned(), service.to_owned())],
        ..FleetConfig::default()
    };
    Fleet::start_ready(config).await
}

async fn bounded() -> Result<Fleet> {
    fleet("grace = 4s\n").await
}

/// Returns the head of a request with a body of five bytes.
fn head(id: &str, ms: u64) -> String {
    format!(
        "POST /x?ms={ms} HTTP/1.1\r\nhost: guestlist.example\r\nx-request-id: {id}\r\n\
         content-length: 5\r\n"
    )
}

/// Opens a connection on which `text` was sent.
async fn begin(fleet: &Fleet, text: &str) -> Result<TcpStream> {
    let mut s = TcpStream::connect(fleet.boxes[0].listen).await?;
    s.write_all(text.as_bytes()).await?;
    Ok(s)
}

/// Reads an answer until the box closes the connection.
async fn read_all(s: &mut TcpStream) -> Result<String> {
    let mut text = String::new();
    tokio::time::timeout(2 * GRACE, s.read_to_string(&mut text)).await??;
    Ok(text.to_ascii_lowercase())
}

/// Returns how often a request ran.
async fn runs(fleet: &Fleet, id: &str) -> Result<u32> {
    Ok(fleet.journal(0).await?.runs.get(id).copied().unwrap_or(0))
}

/// Waits until the process ends with status 0 within the grace.
async fn wait_end(fleet: &mut Fleet, began: Instant) -> Result<()> {
    let exit = fleet.boxes[0].process.wait_end(GRACE).await?;
    ensure!(exit.success(), "{exit}");
    ensure!(began.elapsed() < GRACE, "the stop took {:?}", began.elapsed());
    Ok(())
}

/// Guards against a stop that accepts requests until the service manager kills the process.
#[tokio::test]
async fn a_request_of_the_second_half_that_may_outlast_the_box_is_rejected_unrun() -> Result<()> {
    let mut fleet = bounded().await?;
    let head = head("late", 8_000);
    let (first, rest) = head.split_at(head.len() / 2);
    let mut s = begin(&fleet, first).await?;
    // The box has begun to read the head when it closes idle connections.
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    tokio::time::sleep(SECOND_HALF).await;
    s.write_all(format!("{rest}\r\norder").as_bytes()).await?;
    let answer = read_all(&mut s).await?;
    assert!(began.elapsed() < SECOND_HALF + REJECT_TIME, "{:?}", began.elapsed());
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("honeypulley-not-run: 1"), "{answer}");
    assert_eq!(runs(&fleet, "late").await?, 0);
    wait_end(&mut fleet, began).await
}

#[tokio::test]
async fn a_request_of_the_second_half_that_ends_before_the_box_is_served() -> Result<()> {
    let mut fleet = bounded().await?;
    let head = head("short", 100) + "honeypulley-deadline-ms: 500\r\n";
    let (first, rest) = head.split_at(head.len() / 2);
    let mut s = begin(&fleet, first).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    tokio::time::sleep(SECOND_HALF).await;
    s.write_all(format!("{rest}\r\norder").as_bytes()).await?;
    let answer = read_all(&mut s).await?;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    assert_eq!(runs(&fleet, "short").await?, 1);
    wait_end(&mut fleet, began).await
}

/// Guards against running a request whose body arrives when its end is not certain any more.
#[tokio::test]
async fn a_body_that_arrives_when_the_first_half_ends_is_rejected() -> Result<()> {
    let mut fleet = bounded().await?;
    let mut s = begin(&fleet, &format!("{}\r\nor", head("body", 8_000))).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    let answer = read_all(&mut s).await?;
    assert!(began.elapsed() < SECOND_HALF, "{:?}", began.elapsed());
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("honeypulley-not-run: 1"), "{answer}");
    assert_eq!(runs(&fleet, "body").await?, 0);
    wait_end(&mut fleet, began).await
}

/// Guards against a connection that closes without an answer at the end of the process.
#[tokio::test]
async fn an_accepted_request_that_hangs_is_answered_before_the_end() -> Result<()> {
    let mut fleet = bounded().await?;
    let mut before = begin(&fleet, &format!("{}\r\norder", head("before", 8_000))).await?;
    let mut within = begin(&fleet, &format!("{}\r\n", head("within", 8_000))).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    tokio::time::sleep(FIRST_HALF).await;
    within.write_all(b"order").await?;
    let runs_once = async || runs(&fleet, "within").await.is_ok_and(|n| n == 1);
    until("the second request runs", Duration::from_millis(500), runs_once).await?;
    for s in [&mut before, &mut within] {
        let answer = read_all(s).await?;
        assert!(answer.starts_with("http/1.1 504"), "{answer}");
        assert!(answer.contains("honeypulley-outcome: unknown"), "{answer}");
    }
    wait_end(&mut fleet, began).await
}

#[tokio::test]
async fn a_stop_without_a_bound_waits_for_a_slow_request() -> Result<()> {
    let mut fleet = fleet("").await?;
    let mut s = begin(&fleet, &format!("{}\r\norder", head("slow", 6_000))).await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.boxes[0].process.terminate()?;
    let answer = read_all(&mut s).await?;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    let exit = fleet.boxes[0].process.wait_end(GRACE).await?;
    assert!(exit.success(), "{exit}");
    Ok(())
}

/// Opens an echo session.
async fn open_session(fleet: &Fleet) -> Result<TcpStream> {
    let head = "GET /chat HTTP/1.1\r\nhost: guestlist.example\r\nx-request-id: chat\r\n\
                connection: upgrade\r\nupgrade: echo\r\n\r\n";
    let mut s = begin(fleet, head).await?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(s.read_u8().await?);
    }
    ensure!(answer.starts_with(b"HTTP/1.1 101"), "{}", String::from_utf8_lossy(&answer));
    Ok(s)
}

async fn echo(s: &mut TcpStream, text: &[u8]) -> Result<()> {
    s.write_all(text).await?;
    let mut echoed = vec![0; text.len()];
    s.read_exact(&mut echoed).await?;
    ensure!(echoed == text, "{echoed:?}");
    Ok(())
}

/// Returns the line on the end of the session.
fn session_line(fleet: &Fleet) -> Result<String> {
    let log = std::fs::read_to_string(&fleet.boxes[0].process.log)?;
    let line = log.lines().find(|l| l.contains("session: closed since the box stops"));
    line.map(str::to_owned).ok_or_else(|| eyre!("no line on the session in {log}"))
}

/// Guards against a session that is cut by the end of the process without a word.
#[tokio::test]
async fn an_open_session_is_closed_before_the_end() -> Result<()> {
    let mut fleet = bounded().await?;
    let mut s = open_session(&fleet).await?;
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    tokio::time::sleep(SECOND_HALF).await;
    echo(&mut s, b"still open").await?;
    assert_eq!(s.read(&mut [0; 1]).await?, 0);
    assert!(fleet.boxes[0].process.ended().is_none(), "the process ended first");
    wait_end(&mut fleet, began).await?;
    let line = session_line(&fleet)?;
    assert!(line.contains("request=chat") && line.contains("up=10 down=10"), "{line}");
    let age_ms = line.split("age_ms=").nth(1).and_then(|t| t.split(' ').next());
    assert!(age_ms.and_then(|t| t.parse().ok()).is_some_and(|t: u64| t > 2_400), "{line}");
    Ok(())
}

/// Guards against a reset of a session whose bytes the box has not read.
#[tokio::test]
async fn a_session_whose_sides_read_nothing_is_not_reset() -> Result<()> {
    let mut fleet = bounded().await?;
    let mut s = open_session(&fleet).await?;
    // The upstream echoes, so that the buffers of both directions fill up.
    let flood = s.write_all(&[7; 64_000_000]);
    let blocked = tokio::time::timeout(Duration::from_secs(1), flood).await;
    assert!(blocked.is_err(), "the session takes all bytes");
    fleet.boxes[0].process.terminate()?;
    let began = Instant::now();
    wait_end(&mut fleet, began).await?;
    let mut echoed = Vec::new();
    s.read_to_end(&mut echoed).await.wrap_err("read the echo until the end of the stream")?;
    let line = session_line(&fleet)?;
    assert!(line.contains(&format!("down={} ", echoed.len())), "{} of {line}", echoed.len());
    assert!(line.contains("flushed=false"), "{line}");
    Ok(())
}

#[tokio::test]
async fn a_stop_without_a_bound_waits_for_an_open_session() -> Result<()> {
    let mut fleet = fleet("").await?;
    let mut s = open_session(&fleet).await?;
    fleet.boxes[0].process.terminate()?;
    tokio::time::sleep(GRACE + Duration::from_secs(1)).await;
    echo(&mut s, b"still open").await?;
    assert!(fleet.boxes[0].process.ended().is_none(), "the process ended before its session");
    drop(s);
    let exit = fleet.boxes[0].process.wait_end(GRACE).await?;
    assert!(exit.success(), "{exit}");
    Ok(())
}
