//! Gray failures of upstreams on a fleet of processes: callers get correct outcomes.

mod common;

use common::{
    Completion, Op, RunOnce, check_outcomes, count_answered, is_run_once, load, load_with_history,
    runs,
};
use eyre::Result;
use fleet::{Fleet, shape::FleetConfig, until};
use honeypulley_standin::work::{Mode, Switches};
use reqwest::Method;
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use todc_utils::{Action, History, WGLChecker};

fn config(service: &str, upstreams: usize, settings: &str) -> FleetConfig {
    FleetConfig {
        services: vec![(service.to_owned(), upstreams)],
        boxes: 3,
        halls: 3,
        service_settings: vec![(service.to_owned(), settings.to_owned())],
        // Long enough that scheduling delays on a busy machine do not double it,
        // which the boxes would take for overload.
        upstream_args: vec!["--work-ms".to_owned(), "30".to_owned()],
        ..FleetConfig::default()
    }
}

const NEVER_REPEAT: &str = "floor = 50%\nrepeat = never\ndeadline = 1s\nlean = detection\n";
const ALWAYS_REPEAT: &str = "floor = 50%\nrepeat = always\ndeadline = 1s\nlean = detection\n";

fn box_addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.boxes.iter().map(|b| b.listen).collect()
}

fn with_mode(m: Mode) -> Switches {
    Switches { mode: m, flap_ms: 300, ..Switches::default() }
}

#[rstest]
#[case(Mode::Stall)]
#[case(Mode::Fail)]
#[case(Mode::Cut)]
#[case(Mode::Mislabel)]
#[case(Mode::Refuse)]
#[case(Mode::Shed)]
#[case(Mode::Flap)]
#[tokio::test]
async fn what_may_not_repeat_runs_at_most_once(#[case] m: Mode) -> Result<()> {
    let fleet = Fleet::start_ready(config("rsvp", 4, NEVER_REPEAT)).await?;
    fleet.set_upstream_faults(1, &with_mode(m)).await?;
    let interval = Duration::from_millis(5);
    let (outcomes, history) =
        load_with_history(&fleet, &box_addrs(&fleet), Method::POST, "p", 300, interval).await?;
    let runs = runs(&fleet).await?;
    check_outcomes(&outcomes, &runs, true);
    assert!(is_run_once(&history, &outcomes, &runs, "p"), "the history is not linearizable");
    assert!(count_answered(&outcomes) >= 200, "only {} of 300 answered", count_answered(&outcomes));
    Ok(())
}

#[rstest]
#[case(Completion::Answered(1), 1, true)]
#[case(Completion::Answered(1), 2, false)]
#[case(Completion::Answered(2), 1, false)]
#[case(Completion::Answered(1), 0, false)]
#[case(Completion::NotRun, 0, true)]
#[case(Completion::NotRun, 1, false)]
#[case(Completion::Unknown(true), 1, true)]
#[case(Completion::Unknown(true), 2, false)]
fn the_checker_tells_a_wrong_history(
    #[case] completion: Completion,
    #[case] executions: u32,
    #[case] is_valid: bool,
) {
    let journal = if executions == 0 { [].into() } else { [(1, executions)].into() };
    let actions = vec![
        (0, Action::Call(Op::Run(1, None))),
        (0, Action::Response(Op::Run(1, Some(completion)))),
        (1, Action::Call(Op::Journal(None))),
        (1, Action::Response(Op::Journal(Some(journal)))),
    ];
    assert_eq!(WGLChecker::<RunOnce>::is_linearizable(History::from_actions(actions)), is_valid);
}

#[rstest]
#[case(Mode::Stall)]
#[case(Mode::Slow)]
#[case(Mode::Fail)]
#[case(Mode::Cut)]
#[case(Mode::Mislabel)]
#[tokio::test]
async fn reads_get_their_own_answers_whole(#[case] m: Mode) -> Result<()> {
    let fleet = Fleet::start_ready(config("guestlist", 4, ALWAYS_REPEAT)).await?;
    fleet.set_upstream_faults(1, &with_mode(m)).await?;
    let outcomes =
        load(&fleet, &box_addrs(&fleet), Method::GET, "g", 300, Duration::from_millis(5)).await?;
    check_outcomes(&outcomes, &runs(&fleet).await?, false);
    assert!(count_answered(&outcomes) >= 280, "only {} of 300 answered", count_answered(&outcomes));
    Ok(())
}

#[tokio::test]
async fn frozen_upstreams_and_killed_boxes_double_nothing() -> Result<()> {
    let mut fleet = Fleet::start_ready(config("rsvp", 4, NEVER_REPEAT)).await?;
    let targets = box_addrs(&fleet);
    let (load, _) = tokio::join!(
        load_with_history(&fleet, &targets, Method::POST, "k", 400, Duration::from_millis(5)),
        async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            let _ = fleet.upstreams[2].process.freeze();
            tokio::time::sleep(Duration::from_millis(600)).await;
            let _ = fleet.boxes[0].process.signal(nix::sys::signal::Signal::SIGKILL);
            tokio::time::sleep(Duration::from_millis(600)).await;
            let _ = fleet.upstreams[2].process.thaw();
        }
    );
    let (outcomes, history) = load?;
    let runs = runs(&fleet).await?;
    check_outcomes(&outcomes, &runs, true);
    assert!(is_run_once(&history, &outcomes, &runs, "k"), "the history is not linearizable");
    assert!(count_answered(&outcomes) >= 150);
    fleet.boxes[0].process.kill();
    Ok(())
}

#[tokio::test]
async fn a_stalled_upstream_loses_its_work_and_returns() -> Result<()> {
    let fleet = Fleet::start_ready(config("guestlist", 4, ALWAYS_REPEAT)).await?;
    load(&fleet, &box_addrs(&fleet), Method::GET, "w", 200, Duration::from_millis(5)).await?;
    fleet.set_upstream_faults(1, &with_mode(Mode::Stall)).await?;
    load(&fleet, &box_addrs(&fleet), Method::GET, "s", 300, Duration::from_millis(5)).await?;
    let before = fleet.journal(1).await?.runs.len();
    load(&fleet, &box_addrs(&fleet), Method::GET, "t", 200, Duration::from_millis(5)).await?;
    let after = fleet.journal(1).await?.runs.len();
    assert!(
        after - before <= 10,
        "{} of 200 requests went to the stalled upstream",
        after - before
    );
    let ejected = async || {
        let mut n = 0;
        for i in 0..fleet.boxes.len() {
            let Ok(s) = fleet.status(i).await else { continue };
            n += s.upstreams.iter().filter(|u| u.state == "ejected").count();
        }
        n == 3
    };
    until("every box applies the ejection permit", Duration::from_secs(4), ejected).await?;
    fleet.set_upstream_faults(1, &Switches::default()).await?;
    let targets = box_addrs(&fleet);
    let returned = async || {
        let _ = load(&fleet, &targets, Method::GET, "r", 60, Duration::from_millis(5)).await;
        let preferred = async |i| {
            let Ok(s) = fleet.status(i).await else { return false };
            s.upstreams.iter().all(|u| u.state == "preferred")
        };
        preferred(0).await && preferred(1).await && preferred(2).await
    };
    until("the recovered upstream is preferred again", Duration::from_secs(40), returned).await
}

#[tokio::test]
async fn a_box_without_traffic_learns_of_a_stall_while_the_platform_is_away() -> Result<()> {
    let fleet =
        Fleet::start_ready(FleetConfig { boxes: 4, ..config("guestlist", 4, ALWAYS_REPEAT) })
            .await?;
    let targets = &box_addrs(&fleet)[..3];
    load(&fleet, targets, Method::GET, "w", 200, Duration::from_millis(5)).await?;
    let outage = honeypulley_standin::platform::Switches { outage: true, ..Default::default() };
    fleet.set_platform_faults(outage).await?;
    fleet.set_upstream_faults(1, &with_mode(Mode::Stall)).await?;
    let state = async |i: usize| -> String {
        let rows = fleet.status(i).await.map(|s| s.upstreams).unwrap_or_default();
        rows.into_iter().find(|u| u.upstream == "guestlist-1").map(|u| u.state).unwrap_or_default()
    };
    let suspect = async || {
        let _ = load(&fleet, targets, Method::GET, "s", 300, Duration::from_millis(5)).await;
        // This box has neither a permit nor evidence of its own; only a verdict of a
        // collector can make the upstream suspect.
        ["suspect", "probation"].contains(&state(3).await.as_str())
    };
    until("the box without traffic suspects the upstream", Duration::from_secs(15), suspect)
        .await?;
    let before = fleet.journal(1).await?.runs.len();
    load(&fleet, &box_addrs(&fleet)[3..], Method::GET, "t", 100, Duration::from_millis(5)).await?;
    assert!(
        fleet.journal(1).await?.runs.len() - before <= 6,
        "the box without traffic sent requests to the stalled upstream"
    );
    Ok(())
}

#[tokio::test]
async fn all_upstreams_sick_at_once_leave_the_floor() -> Result<()> {
    let fleet = Fleet::start_ready(config("guestlist", 6, ALWAYS_REPEAT)).await?;
    load(&fleet, &box_addrs(&fleet), Method::GET, "w", 200, Duration::from_millis(5)).await?;
    for i in 0..6 {
        fleet.set_upstream_faults(i, &with_mode(Mode::Stall)).await?;
        load(
            &fleet,
            &box_addrs(&fleet),
            Method::GET,
            &format!("s{i}-"),
            60,
            Duration::from_millis(5),
        )
        .await?;
        // Upstreams that are ejected on at least one box.
        let mut ejected = BTreeSet::new();
        for b in 0..fleet.boxes.len() {
            let rows = fleet.status(b).await?.upstreams;
            ejected.extend(rows.into_iter().filter(|u| u.state == "ejected").map(|u| u.upstream));
        }
        assert!(ejected.len() <= 3, "more than three of six ejected, below the floor: {ejected:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_one_way_cut_is_held_against_the_pair_alone() -> Result<()> {
    let fleet = Fleet::start_ready(config("guestlist", 4, ALWAYS_REPEAT)).await?;
    let targets = box_addrs(&fleet);
    load(&fleet, &targets, Method::GET, "w", 200, Duration::from_millis(5)).await?;
    let only = vec![IpAddr::V4(fleet.boxes[0].source)];
    fleet
        .set_upstream_faults(1, &Switches { mode: Mode::Stall, only, ..Switches::default() })
        .await?;
    let outcomes = load(&fleet, &targets, Method::GET, "c", 500, Duration::from_millis(5)).await?;
    assert!(count_answered(&outcomes) >= 480, "only {} of 500 answered", count_answered(&outcomes));
    let state = async |i: usize| -> Result<String> {
        let rows = fleet.status(i).await?.upstreams;
        Ok(rows
            .into_iter()
            .find(|u| u.upstream == "guestlist-1")
            .map(|u| u.state)
            .unwrap_or_default())
    };
    assert!(["avoided", "probation"].contains(&state(0).await?.as_str()), "{}", state(0).await?);
    assert_eq!((state(1).await?, state(2).await?), ("preferred".into(), "preferred".into()));
    Ok(())
}

#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work(#[case] by_header: bool) -> Result<()> {
    let mut fleet = Fleet::start_ready(config("guestlist", 4, ALWAYS_REPEAT)).await?;
    let targets = box_addrs(&fleet);
    load(&fleet, &targets, Method::GET, "w", 100, Duration::from_millis(5)).await?;
    if by_header {
        fleet.set_upstream_faults(1, &Switches { drain: true, ..Switches::default() }).await?;
    } else {
        fleet.upstreams[1].member.state = honeypulley_policy::spec::MemberState::Leaving;
        fleet.publish_roster().await?;
    }
    load(&fleet, &targets, Method::GET, "l", 600, Duration::from_millis(5)).await?;
    let before = fleet.journal(1).await?.runs.len();
    let outcomes = load(&fleet, &targets, Method::GET, "m", 200, Duration::from_millis(5)).await?;
    assert_eq!(
        fleet.journal(1).await?.runs.len(),
        before,
        "new requests to an upstream that is leaving"
    );
    assert_eq!(count_answered(&outcomes), 200);
    Ok(())
}
