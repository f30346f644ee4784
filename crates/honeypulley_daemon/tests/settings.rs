//! Settings are parsed, and every error names its file, line and key.

use honeypulley_daemon::settings::Settings;
use rstest::rstest;
use std::time::Duration;

const VALID: &str = "[box]
name = box1
hall = suva-1
listen = 10.0.0.7:8080
peer = 10.0.0.7:7000
admin = 10.0.0.7:7001
platform = 10.0.0.2:9000
fleet-key = at-least-16-characters
[signers]
alice = O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=
";

#[test]
fn valid_settings_are_parsed() {
    let s = Settings::read("box.ini", VALID).expect("valid settings");
    assert_eq!((s.name.as_str(), s.hall.as_str(), s.listen.port()), ("box1", "suva-1", 8080));
}

#[rstest]
#[case::unbounded("", None, 5_000)]
#[case::default_leave_wait("grace = 30s\n", Some(30_000), 5_000)]
#[case::before_rejections("leave-wait = 1519ms\ngrace = 4s\n", Some(4_000), 1_519)]
#[case::unbounded_with_a_long_leave_wait("leave-wait = 1h\n", None, 3_600_000)]
fn a_planned_stop_is_bounded_by_the_grace(
    #[case] lines: &str,
    #[case] grace_ms: Option<u64>,
    #[case] leave_ms: u64,
) {
    let text = VALID.replacen("[signers]", &format!("{lines}[signers]"), 1);
    let s = Settings::read("box.ini", &text).expect("valid settings");
    assert_eq!(s.grace, grace_ms.map(Duration::from_millis));
    assert_eq!(s.leave_wait, Duration::from_millis(leave_ms));
}

#[rstest]
#[case(
    "8080",
    "80 80",
    "box.ini:4: [box] listen: expected an IP number and port, such as 10.0.0.7:8080, not '10.0.0.7:80 80'"
)]
#[case(
    "10.0.0.7:8080",
    "box1.example:80",
    "box.ini:4: [box] listen: expected an IP number and port, such as 10.0.0.7:8080, not 'box1.example:80'"
)]
#[case(
    "at-least-16-characters",
    "short",
    "box.ini:8: [box] fleet-key: expected at least 16 characters, the same on every box"
)]
#[case("7001", "8080", "box.ini:6: [box] admin: the operators' port must not be the callers' port")]
#[case(
    "hall = ",
    "haal = ",
    "box.ini:3: [box] haal: unknown key; known: name, hall, listen, peer, admin, platform, seeds, fleet-key, metrics, leave-wait, grace, source, max-callers, head-time, log"
)]
#[case("O2onv", "", "box.ini:10: [signers] alice: not an Ed25519 key in base64")]
#[case("[signers]", "[signer]", "box.ini:9: [signer]: unknown section; known: box, signers")]
#[case("name = box1\n", "", "box.ini:1: [box] name: this key is missing")]
#[case(
    "hall = suva-1",
    "hall = suva-1\nleave-wait = 5",
    "box.ini:4: [box] leave-wait: expected a time with its unit, such as 250ms or 2s, not '5'"
)]
#[case(
    "hall = suva-1",
    "hall = suva-1\ngrace = 30",
    "box.ini:4: [box] grace: expected a time with its unit, such as 250ms or 2s, not '30'"
)]
#[case(
    "hall = suva-1",
    "hall = suva-1\ngrace = 4s\nleave-wait = 1520ms",
    "box.ini:5: [box] leave-wait: leave-wait, 1.52s, must be shorter than 1.52s, when the box begins to reject requests"
)]
#[case::default_leave_wait(
    "hall = suva-1",
    "hall = suva-1\ngrace = 10s",
    "box.ini:4: [box] grace: leave-wait, 5s, must be shorter than 4.1s, when the box begins to reject requests"
)]
#[case(
    "hall = suva-1",
    "hall = suva-1\nlog = loud",
    "box.ini:4: [box] log: expected error, warn, info, debug or trace, not 'loud'"
)]
fn errors_name_file_line_and_key(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_eq!(
        Settings::read("box.ini", &text).expect_err("invalid settings").to_string(),
        message
    );
}
