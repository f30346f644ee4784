//! Tests the authentication of relayed requests.

use honeypulley_proxy::headers::RELAY;
use honeypulley_proxy::relay::{RelayHead, RelayKey};
use http::{HeaderMap, HeaderValue};
use rstest::rstest;

const KEY: RelayKey = RelayKey::new([7; 32]);
const PATH: &str = "/a/b?c=d";

fn head(value: HeaderValue) -> HeaderMap {
    HeaderMap::from_iter([(RELAY, value)])
}

#[rstest]
#[case(Some("10.0.0.7"), 3)]
#[case(Some("2001:db8::1"), 0)]
#[case(None, 1)]
fn a_head_is_decoded_as_encoded(#[case] caller: Option<&str>, #[case] attempts: usize) {
    let caller = caller.map(|ip| ip.parse().expect("an address"));
    let sent = RelayHead { caller, attempts };
    assert_eq!(KEY.decode(&head(KEY.encode(&sent, PATH)), PATH), Some(sent));
}

#[test]
fn a_head_holds_for_its_path_and_fleet_alone() {
    let sent = RelayHead { caller: None, attempts: 1 };
    let value = KEY.encode(&sent, PATH);
    assert_eq!(KEY.decode(&head(value.clone()), "/other"), None);
    assert_eq!(RelayKey::new([8; 32]).decode(&head(value.clone()), PATH), None);
    let changed = value.to_str().expect("text").replacen(" 1 ", " 9 ", 1);
    let changed = HeaderValue::from_str(&changed).expect("text");
    assert_eq!(KEY.decode(&head(changed), PATH), None);
}

#[rstest]
#[case("")]
#[case(" ")]
#[case("- 1")]
#[case("- 1 zz")]
fn an_invalid_head_is_rejected(#[case] value: &str) {
    assert_eq!(KEY.decode(&head(HeaderValue::from_str(value).expect("text")), PATH), None);
}
