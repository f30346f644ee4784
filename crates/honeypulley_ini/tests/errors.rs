//! Errors report file, line and key.

use honeypulley_ini::{Doc, IniError, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn read(text: &str) -> Result<(), IniError> {
    let doc = Doc::read("box.ini", text)?;
    let s = doc.section("box")?;
    s.only(&["wait", "share", "rate"])?;
    s.required("wait", parse::duration)?;
    s.optional("share", parse::share)?;
    s.optional("rate", parse::rate)?;
    Ok(())
}

#[rstest]
#[case("", "box.ini:1: [box]: this section is missing")]
#[case("[box]\n", "box.ini:1: [box] wait: this key is missing")]
#[case(
    "; a note\n[box]\nwait = 2\n",
    "box.ini:3: [box] wait: expected a time with its unit, such as 250ms or 2s, not '2'"
)]
#[case(
    "[box]\nwait = 2s\nhurry = 1\n",
    "box.ini:3: [box] hurry: unknown key; known: wait, share, rate"
)]
#[case("[box]\nwait = 2s\nwait = 3s\n", "box.ini:3: [box] wait: duplicate key")]
#[case("[box]\nwait = 2s\n[box]\n", "box.ini:3: [box]: duplicate section")]
#[case(
    "[other]\nshare = 1\n[box]\nwait = 2s\nshare = 200%\n",
    "box.ini:5: [box] share: expected a share such as 10%, not '200%'"
)]
#[case(
    "[box]\nwait = 2s\nrate = 0/s\n",
    "box.ini:3: [box] rate: expected a rate such as 200/s, not '0/s'"
)]
#[case("wait = 2s\n", "box.ini:1: wait: this key is outside of any section")]
fn errors_report_file_line_and_key(#[case] text: &str, #[case] message: &str) {
    assert_eq!(read(text).expect_err("the file is invalid").to_string(), message);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC*") {
        let _ = read(&text);
    }

    #[test]
    fn arbitrary_lines_never_panic(lines in prop::collection::vec("[\\[\\]a-z=:;# %/]{0,12}", 0..12)) {
        let _ = read(&lines.join("\n"));
    }
}
