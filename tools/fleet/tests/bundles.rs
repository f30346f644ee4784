//! Bundles, boxes and the platform under failure, as processes.

#[expect(dead_code, reason = "the histories are used by another test program")]
mod common;

use common::{answered, check_told, load, runs};
use eyre::Result;
use fleet::{Fleet, check, free_port, path_str, shape::Shape, until};
use honeypulley_standin::platform::Switches;
use reqwest::Method;
use std::net::SocketAddr;
use std::time::Duration;

fn three() -> Shape {
    Shape { boxes: 3, halls: 3, ..Shape::default() }
}

fn seeds(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.boxes.iter().filter_map(|b| b.entry.peer.parse().ok()).collect()
}

/// Rolls a bundle with one more route out; returns the command's output.
fn roll_out(fleet: &Fleet, n: usize, more: &[&str]) -> Result<std::process::Output> {
    let text = fleet.shape().bundle() + &format!("n{n}.example/ = guestlist\n");
    let path = fleet.write_bundle(&format!("b{n}.ini"), &text)?;
    fleet.sign(&path, "alice")?;
    let ini = fleet.operator_ini();
    let args = [&["roll-out", path_str(&path), "--settings", &ini], more].concat();
    fleet.operator(&args)
}

#[tokio::test]
async fn a_box_paused_across_two_versions_catches_up_and_never_goes_back() -> Result<()> {
    let fleet = Fleet::ready(three()).await?;
    fleet.boxes[1].process.freeze()?;
    check(&roll_out(&fleet, 2, &[])?)?;
    check(&roll_out(&fleet, 3, &[])?)?;
    let waits = roll_out(&fleet, 4, &["--wait", "--timeout", "1s"])?;
    assert!(!waits.status.success(), "a frozen box has not got it");
    assert!(String::from_utf8_lossy(&waits.stderr).contains("box1"), "the one that lags is named");
    fleet.boxes[1].process.thaw()?;
    let mut last = 0;
    for _ in 0..200 {
        let v = fleet.status(1).await?.bundle;
        assert!(v >= last, "went back from v{last} to v{v}");
        last = v;
        if v == 4 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("still at v{last}");
}

#[tokio::test]
async fn a_replaced_box_joins_by_its_peers_while_the_platform_is_away() -> Result<()> {
    let mut fleet = Fleet::ready(three()).await?;
    check(&roll_out(&fleet, 2, &["--wait"])?)?;
    fleet.switch_platform(Switches { outage: true, ..Switches::default() }).await?;
    let seeds = seeds(&fleet);
    fleet.boxes[2].process.kill();
    fleet.boxes[2] = fleet.start_box(2, &seeds[..2])?;
    fleet.wait_ready(2).await?;
    assert_eq!(fleet.status(2).await?.bundle, 2, "it starts on what its peers have in force");
    let told =
        load(&fleet, &[fleet.boxes[2].listen], Method::GET, "o", 50, Duration::from_millis(5))
            .await?;
    assert_eq!(answered(&told), 50);
    let refused = roll_out(&fleet, 3, &[])?;
    assert!(String::from_utf8_lossy(&refused.stderr).contains("nothing took effect"));
    // Operators still see the fleet, by a seed.
    let ini = fleet.operator_ini();
    let status = fleet.operator(&["status", "--settings", &ini])?;
    assert!(String::from_utf8_lossy(&status.stdout).contains("accepted: unknown (platform away)"));
    Ok(())
}

#[tokio::test]
async fn a_box_that_hears_nobody_is_not_ready_and_says_why() -> Result<()> {
    let fleet = Fleet::ready(Shape { boxes: 2, ..Shape::default() }).await?;
    fleet.switch_platform(Switches { outage: true, ..Switches::default() }).await?;
    fleet.boxes[1].process.freeze()?;
    until("box0 says that it is alone", Duration::from_secs(20), async || {
        fleet.readiness(0).await.is_ok_and(|(ready, why)| !ready && why.contains("alone"))
    })
    .await?;
    // It goes on serving whoever still comes.
    let told =
        load(&fleet, &[fleet.boxes[0].listen], Method::GET, "a", 20, Duration::from_millis(5))
            .await?;
    assert_eq!(answered(&told), 20);
    fleet.boxes[1].process.thaw()?;
    fleet.wait_ready(0).await
}

#[tokio::test]
async fn two_operators_at_once_lose_nothing() -> Result<()> {
    let fleet = Fleet::ready(three()).await?;
    for n in [20, 21] {
        let text = fleet.shape().bundle() + &format!("n{n}.example/ = guestlist\n");
        let path = fleet.write_bundle(&format!("b{n}.ini"), &text)?;
        fleet.sign(&path, "alice")?;
    }
    fleet.switch_platform(Switches { slow_ms: 30, ..Switches::default() }).await?;
    let (a, b) = std::thread::scope(|s| {
        let run = |n: usize| {
            let path = fleet.dir.path().join(format!("b{n}.ini"));
            let ini = fleet.operator_ini();
            fleet.operator(&["roll-out", path_str(&path), "--settings", &ini])
        };
        let a = s.spawn(move || run(20));
        let b = s.spawn(move || run(21));
        (a.join().expect("no panic"), b.join().expect("no panic"))
    });
    let (a, b) = (a?, b?);
    let wins = [&a, &b].iter().filter(|o| o.status.success()).count();
    assert!(wins >= 1);
    for loser in [&a, &b].into_iter().filter(|o| !o.status.success()) {
        let said = String::from_utf8_lossy(&loser.stderr);
        assert!(said.contains("v2 by 'alice' was accepted first"), "{said}");
    }
    fleet.switch_platform(Switches::default()).await?;
    let newest = 1 + wins as u64;
    until("every box has the winner", Duration::from_secs(10), async || {
        let mut have = 0;
        for i in 0..3 {
            have += usize::from(fleet.status(i).await.is_ok_and(|s| s.bundle == newest));
        }
        have == 3
    })
    .await
}

#[tokio::test]
async fn an_answer_lost_after_the_write_is_told_as_accepted() -> Result<()> {
    let fleet = Fleet::ready(three()).await?;
    // Part, manifest and head: each write loses its answer once.
    fleet.switch_platform(Switches { lost: 3, ..Switches::default() }).await?;
    let out = roll_out(&fleet, 2, &["--wait"])?;
    check(&out)?;
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(said.contains("accepted as v2 (an answer was lost on the way and resolved)"), "{said}");
    Ok(())
}

/// A bundle got the number of one that a restore had lost, and no box took it.
#[tokio::test]
async fn a_bundle_accepted_after_the_platform_was_restored_is_in_force() -> Result<()> {
    let fleet = Fleet::ready(three()).await?;
    check(&roll_out(&fleet, 2, &["--wait"])?)?;
    fleet.back_up_platform().await?;
    check(&roll_out(&fleet, 3, &["--wait"])?)?;
    check(&roll_out(&fleet, 4, &["--wait"])?)?;
    fleet.restore_platform().await?;
    let out = roll_out(&fleet, 5, &["--wait"])?;
    check(&out)?;
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(said.contains("accepted as v5"), "{said}");
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
    let mut fleet = Fleet::ready(Shape { leave_wait, ..three() }).await?;
    for i in 0..fleet.boxes.len() {
        let new = fleet.start_box(i, &[])?;
        let mut old = std::mem::replace(&mut fleet.boxes[i], new);
        fleet.publish().await?;
        fleet.wait_ready(i).await?;
        // Callers of the old box go on until its readiness is off, and those on
        // kept-alive connections a little longer.
        let stop = old.process.terminate();
        let (to, prefix) = ([old.listen], format!("o{i}-"));
        let (told, end) = tokio::join!(
            load(&fleet, &to, Method::POST, &prefix, 30, Duration::from_millis(5)),
            old.process.wait_end(Duration::from_secs(10)),
        );
        stop?;
        let told = told?;
        assert_eq!(answered(&told), 30, "{told:?}");
        assert!(end?.success());
        check_told(&told, &runs(&fleet).await?, true);
    }
    let to: Vec<SocketAddr> = fleet.boxes.iter().map(|b| b.listen).collect();
    let told = load(&fleet, &to, Method::POST, "n", 60, Duration::from_millis(5)).await?;
    assert_eq!(answered(&told), 60);
    Ok(())
}

#[tokio::test]
async fn bad_input_gets_one_clear_line_and_changes_nothing() -> Result<()> {
    let fleet = Fleet::ready(Shape::default()).await?;
    let ini = fleet.operator_ini();
    let fails = |args: &[&str], what: &str| -> Result<()> {
        let out = fleet.operator(args)?;
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{said}");
        assert!(said.contains(what), "{said}");
        assert_eq!(said.trim().lines().count(), 1, "{said}");
        Ok(())
    };
    let bad = fleet.write_bundle("bad.ini", &fleet.shape().bundle().replace("2s", "2"))?;
    fails(
        &["bundle", "check", path_str(&bad)],
        "bad.ini:4: [service guestlist] deadline: expected a time with its unit",
    )?;
    let unsigned = fleet.write_bundle("unsigned.ini", &fleet.shape().bundle())?;
    fails(&["roll-out", path_str(&unsigned), "--settings", &ini], "this bundle is not signed off")?;
    fleet.sign(&unsigned, "alice")?;
    let altered = fleet
        .write_bundle("unsigned.ini", &(fleet.shape().bundle() + "x.example/ = guestlist\n"))?;
    fails(
        &["roll-out", path_str(&altered), "--settings", &ini],
        "altered after it was signed off",
    )?;
    fails(&["status", "--settings", "/none.ini"], "/none.ini: read settings")?;
    assert_eq!(fleet.status(0).await?.bundle, 1);
    Ok(())
}

#[tokio::test]
async fn a_bundle_signed_by_a_stranger_is_in_force_nowhere() -> Result<()> {
    let fleet = Fleet::ready(Shape::default()).await?;
    let key = fleet.dir.path().join("eve.key");
    check(&fleet.operator(&["keygen", "--name", "eve", "--key", path_str(&key)])?)?;
    let path =
        fleet.write_bundle("eve.ini", &(fleet.shape().bundle() + "x.example/ = guestlist\n"))?;
    fleet.sign(&path, "eve")?;
    let ini = fleet.operator_ini();
    let out = fleet.operator(&[
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
    let mut fleet = Fleet::ready(Shape::default()).await?;
    fleet.platform_process.kill();
    fleet.boxes[1].process.kill();
    fleet.boxes[1] = fleet.start_box(1, &[])?;
    until("it says why", Duration::from_secs(10), async || {
        fleet
            .readiness(1)
            .await
            .is_ok_and(|(ready, why)| !ready && why.contains("no bundle is in force yet"))
    })
    .await?;
    let told =
        load(&fleet, &[fleet.boxes[1].listen], Method::POST, "e", 3, Duration::from_millis(5))
            .await?;
    assert!(told.values().all(|t| *t == common::Told::NotRun(503)), "{told:?}");
    Ok(())
}

#[tokio::test]
async fn a_port_in_use_ends_the_start_with_one_line() -> Result<()> {
    let taken = free_port()?;
    let _holder = std::net::TcpListener::bind(taken)?;
    let (peer, admin) = (free_port()?, free_port()?);
    let dir = tempfile::tempdir()?;
    let path = dir.path().join("box.ini");
    let key = "O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=";
    let text = format!(
        "[box]\nname = b\nhall = h\nlisten = {taken}\npeer = {peer}\nadmin = {admin}\nplatform = 127.0.0.1:9\nfleet-key = 0123456789abcdef\n[signers]\nalice = {key}\n"
    );
    std::fs::write(&path, text)?;
    let out = std::process::Command::new(fleet::process::program("honeypulleyd")?)
        .args(["run", path_str(&path)])
        .output()?;
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{said}");
    assert!(said.contains(&format!("[box] listen: bind {taken}")), "{said}");
    Ok(())
}
