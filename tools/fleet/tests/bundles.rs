//! Roll-outs and restarts under faults, on a fleet of processes.

#[expect(dead_code, reason = "the checker is only used by another test program")]
mod common;

use common::{check_outcomes, count_answered, load, runs};
use eyre::Result;
use fleet::{Fleet, check_success, free_port, path_str, shape::FleetConfig, until};
use honeypulley_standin::platform::Switches;
use reqwest::Method;
use std::net::SocketAddr;
use std::time::Duration;

fn three_boxes() -> FleetConfig {
    FleetConfig { boxes: 3, halls: 3, ..FleetConfig::default() }
}

fn seeds(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.boxes.iter().filter_map(|b| b.entry.peer.parse().ok()).collect()
}

/// Rolls out a bundle with an additional route; returns the command's output.
fn roll_out(fleet: &Fleet, n: usize, extra_args: &[&str]) -> Result<std::process::Output> {
    let text = fleet.config().bundle_text() + &format!("n{n}.example/ = guestlist\n");
    let path = fleet.write_bundle(&format!("b{n}.ini"), &text)?;
    fleet.sign(&path, "alice")?;
    let ini = fleet.operator_settings();
    let args = [&["roll-out", path_str(&path), "--settings", &ini], extra_args].concat();
    fleet.run_operator(&args)
}

#[tokio::test]
async fn a_box_paused_across_two_versions_catches_up_and_never_goes_back() -> Result<()> {
    let fleet = Fleet::start_ready(three_boxes()).await?;
    fleet.boxes[1].process.freeze()?;
    check_success(&roll_out(&fleet, 2, &[])?)?;
    check_success(&roll_out(&fleet, 3, &[])?)?;
    let timed_out = roll_out(&fleet, 4, &["--wait", "--timeout", "1s"])?;
    assert!(!timed_out.status.success(), "the roll-out must not complete while a box is suspended");
    assert!(
        String::from_utf8_lossy(&timed_out.stderr).contains("box1"),
        "the box that lags is named"
    );
    fleet.boxes[1].process.thaw()?;
    let mut last = 0;
    for _ in 0..200 {
        let v = fleet.status(1).await?.bundle;
        assert!(v >= last, "bundle version went back from v{last} to v{v}");
        last = v;
        if v == 4 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("bundle version is still v{last} after 200 polls");
}

#[tokio::test]
async fn a_replaced_box_joins_by_its_peers_while_the_platform_is_away() -> Result<()> {
    let mut fleet = Fleet::start_ready(three_boxes()).await?;
    check_success(&roll_out(&fleet, 2, &["--wait"])?)?;
    fleet.set_platform_faults(Switches { outage: true, ..Switches::default() }).await?;
    let seeds = seeds(&fleet);
    fleet.boxes[2].process.kill();
    fleet.boxes[2] = fleet.start_box(2, &seeds[..2])?;
    fleet.wait_ready(2).await?;
    assert_eq!(
        fleet.status(2).await?.bundle,
        2,
        "it starts with the bundle that its peers have in force"
    );
    let outcomes =
        load(&fleet, &[fleet.boxes[2].listen], Method::GET, "o", 50, Duration::from_millis(5))
            .await?;
    assert_eq!(count_answered(&outcomes), 50);
    let refused = roll_out(&fleet, 3, &[])?;
    assert!(String::from_utf8_lossy(&refused.stderr).contains("nothing took effect"));
    // The status command still finds the fleet through a seed.
    let ini = fleet.operator_settings();
    let status = fleet.run_operator(&["status", "--settings", &ini])?;
    assert!(String::from_utf8_lossy(&status.stdout).contains("accepted: unknown (platform away)"));
    Ok(())
}

#[tokio::test]
async fn a_box_that_hears_nobody_is_not_ready_and_says_why() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig { boxes: 2, ..FleetConfig::default() }).await?;
    fleet.set_platform_faults(Switches { outage: true, ..Switches::default() }).await?;
    fleet.boxes[1].process.freeze()?;
    until("box0 reports that it is isolated", Duration::from_secs(20), async || {
        fleet.readiness(0).await.is_ok_and(|(ready, why)| !ready && why.contains("alone"))
    })
    .await?;
    // It still serves requests.
    let outcomes =
        load(&fleet, &[fleet.boxes[0].listen], Method::GET, "a", 20, Duration::from_millis(5))
            .await?;
    assert_eq!(count_answered(&outcomes), 20);
    fleet.boxes[1].process.thaw()?;
    fleet.wait_ready(0).await
}

#[tokio::test]
async fn two_operators_at_once_lose_nothing() -> Result<()> {
    let fleet = Fleet::start_ready(three_boxes()).await?;
    for n in [20, 21] {
        let text = fleet.config().bundle_text() + &format!("n{n}.example/ = guestlist\n");
        let path = fleet.write_bundle(&format!("b{n}.ini"), &text)?;
        fleet.sign(&path, "alice")?;
    }
    fleet.set_platform_faults(Switches { slow_ms: 30, ..Switches::default() }).await?;
    let (a, b) = std::thread::scope(|s| {
        let run = |n: usize| {
            let path = fleet.dir.path().join(format!("b{n}.ini"));
            let ini = fleet.operator_settings();
            fleet.run_operator(&["roll-out", path_str(&path), "--settings", &ini])
        };
        let a = s.spawn(move || run(20));
        let b = s.spawn(move || run(21));
        (a.join().expect("the thread did not panic"), b.join().expect("the thread did not panic"))
    });
    let (a, b) = (a?, b?);
    let accepted = [&a, &b].iter().filter(|o| o.status.success()).count();
    assert!(accepted >= 1);
    for rejected in [&a, &b].into_iter().filter(|o| !o.status.success()) {
        let output = String::from_utf8_lossy(&rejected.stderr);
        assert!(output.contains("v2 by 'alice' was accepted first"), "{output}");
    }
    fleet.set_platform_faults(Switches::default()).await?;
    let newest = 1 + accepted as u64;
    until("every box has the newest bundle in force", Duration::from_secs(10), async || {
        let mut up_to_date = 0;
        for i in 0..3 {
            up_to_date += usize::from(fleet.status(i).await.is_ok_and(|s| s.bundle == newest));
        }
        up_to_date == 3
    })
    .await
}

#[tokio::test]
async fn an_answer_lost_after_the_write_is_told_as_accepted() -> Result<()> {
    let fleet = Fleet::start_ready(three_boxes()).await?;
    // The writes of part, manifest and head each lose their answer once.
    fleet.set_platform_faults(Switches { lost: 3, ..Switches::default() }).await?;
    let out = roll_out(&fleet, 2, &["--wait"])?;
    check_success(&out)?;
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        output.contains("accepted as v2 (an answer was lost on the way and resolved)"),
        "{output}"
    );
    Ok(())
}

/// Guards against reusing a version number after a restore of the platform.
///
/// A bundle that got the number of one lost in the restore was applied by no box.
#[tokio::test]
async fn a_bundle_accepted_after_the_platform_was_restored_is_in_force() -> Result<()> {
    let fleet = Fleet::start_ready(three_boxes()).await?;
    check_success(&roll_out(&fleet, 2, &["--wait"])?)?;
    fleet.back_up_platform().await?;
    check_success(&roll_out(&fleet, 3, &["--wait"])?)?;
    check_success(&roll_out(&fleet, 4, &["--wait"])?)?;
    fleet.restore_platform().await?;
    let out = roll_out(&fleet, 5, &["--wait"])?;
    check_success(&out)?;
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(output.contains("accepted as v5"), "{output}");
    for b in &fleet.boxes {
        let client = reqwest::Client::new();
        let url = format!("http://{}/x", b.listen);
        let answer = client.get(url).header("host", "n5.example").send().await?;
        assert_eq!(answer.status().as_u16(), 200, "{}", b.entry.name);
    }
    Ok(())
}

#[tokio::test]
async fn replacing_every_box_under_load_loses_no_request() -> Result<()> {
    let leave_wait = Duration::from_secs(2);
    let mut fleet = Fleet::start_ready(FleetConfig { leave_wait, ..three_boxes() }).await?;
    for i in 0..fleet.boxes.len() {
        let new = fleet.start_box(i, &[])?;
        let mut old = std::mem::replace(&mut fleet.boxes[i], new);
        fleet.publish_roster().await?;
        fleet.wait_ready(i).await?;
        // Callers use the old box until it reports that it is not ready, and those
        // with kept-alive connections a little longer.
        let stop = old.process.terminate();
        let (targets, prefix) = ([old.listen], format!("o{i}-"));
        let (outcomes, end) = tokio::join!(
            load(&fleet, &targets, Method::POST, &prefix, 30, Duration::from_millis(5)),
            old.process.wait_end(Duration::from_secs(10)),
        );
        stop?;
        let outcomes = outcomes?;
        assert_eq!(count_answered(&outcomes), 30, "{outcomes:?}");
        assert!(end?.success());
        check_outcomes(&outcomes, &runs(&fleet).await?, true);
    }
    let targets: Vec<SocketAddr> = fleet.boxes.iter().map(|b| b.listen).collect();
    let outcomes = load(&fleet, &targets, Method::POST, "n", 60, Duration::from_millis(5)).await?;
    assert_eq!(count_answered(&outcomes), 60);
    Ok(())
}

#[tokio::test]
async fn bad_input_gets_one_clear_line_and_changes_nothing() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let ini = fleet.operator_settings();
    let assert_fails = |args: &[&str], expected: &str| -> Result<()> {
        let out = fleet.run_operator(args)?;
        let output = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{output}");
        assert!(output.contains(expected), "{output}");
        assert_eq!(output.trim().lines().count(), 1, "{output}");
        Ok(())
    };
    let bad = fleet.write_bundle("bad.ini", &fleet.config().bundle_text().replace("2s", "2"))?;
    assert_fails(
        &["bundle", "check", path_str(&bad)],
        "bad.ini:4: [service guestlist] deadline: expected a time with its unit",
    )?;
    let unsigned = fleet.write_bundle("unsigned.ini", &fleet.config().bundle_text())?;
    assert_fails(
        &["roll-out", path_str(&unsigned), "--settings", &ini],
        "this bundle is not signed off",
    )?;
    fleet.sign(&unsigned, "alice")?;
    let altered = fleet.write_bundle(
        "unsigned.ini",
        &(fleet.config().bundle_text() + "x.example/ = guestlist\n"),
    )?;
    assert_fails(
        &["roll-out", path_str(&altered), "--settings", &ini],
        "altered after it was signed off",
    )?;
    assert_fails(&["status", "--settings", "/none.ini"], "/none.ini: read settings")?;
    assert_eq!(fleet.status(0).await?.bundle, 1);
    Ok(())
}

#[tokio::test]
async fn a_bundle_signed_by_a_stranger_is_in_force_nowhere() -> Result<()> {
    let fleet = Fleet::start_ready(FleetConfig::default()).await?;
    let key = fleet.dir.path().join("eve.key");
    check_success(&fleet.run_operator(&["keygen", "--name", "eve", "--key", path_str(&key)])?)?;
    let path = fleet
        .write_bundle("eve.ini", &(fleet.config().bundle_text() + "x.example/ = guestlist\n"))?;
    fleet.sign(&path, "eve")?;
    let ini = fleet.operator_settings();
    let out = fleet.run_operator(&[
        "roll-out",
        path_str(&path),
        "--settings",
        &ini,
        "--wait",
        "--timeout",
        "1s",
    ])?;
    assert!(!out.status.success());
    for i in 0..2 {
        assert_eq!(fleet.status(i).await?.bundle, 1);
    }
    Ok(())
}

#[tokio::test]
async fn a_box_that_starts_without_platform_and_seeds_waits_and_says_why() -> Result<()> {
    let mut fleet = Fleet::start_ready(FleetConfig::default()).await?;
    fleet.platform_process.kill();
    fleet.boxes[1].process.kill();
    fleet.boxes[1] = fleet.start_box(1, &[])?;
    until("the box reports that it has no bundle", Duration::from_secs(10), async || {
        fleet
            .readiness(1)
            .await
            .is_ok_and(|(ready, why)| !ready && why.contains("no bundle is in force yet"))
    })
    .await?;
    let outcomes =
        load(&fleet, &[fleet.boxes[1].listen], Method::POST, "e", 3, Duration::from_millis(5))
            .await?;
    assert!(outcomes.values().all(|t| *t == common::Outcome::NotRun(503)), "{outcomes:?}");
    Ok(())
}

#[tokio::test]
async fn a_port_in_use_ends_the_start_with_one_line() -> Result<()> {
    let addr_in_use = free_port()?;
    let _listener = std::net::TcpListener::bind(addr_in_use)?;
    let (peer, admin) = (free_port()?, free_port()?);
    let dir = tempfile::tempdir()?;
    let path = dir.path().join("box.ini");
    let key = "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=";
    let text = format!(
        "[box]\nname = b\nhall = h\nlisten = {addr_in_use}\npeer = {peer}\nadmin = {admin}\nplatform = 127.0.0.1:9\nfleet-key = 0123456789abcdef\n[signers]\nalice = {key}\n"
    );
    std::fs::write(&path, text)?;
    let out = std::process::Command::new(fleet::process::program("honeypulleyd")?)
        .args(["run", path_str(&path)])
        .output()?;
    let output = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{output}");
    assert!(output.contains(&format!("[box] listen: bind {addr_in_use}")), "{output}");
    Ok(())
}
