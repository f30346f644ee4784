//! Keys of objects with characters that mean something else in a URL.

use bytes::Bytes;
use eyre::{Result, eyre};
use honeypulley_platform::api::{Expect, Platform, PlatformError};
use honeypulley_platform::http::HttpPlatform;
use honeypulley_policy::revision::Revision;
use honeypulley_standin::platform::StandinPlatform;
use std::time::Duration;
use tokio::net::TcpListener;

/// Names of services that an operator may choose in a bundle.
const NAMES: &[&str] = &[
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a%41",
    "a?b",
    "a b",
    "a=b",
    "&",
    "#",
    "%00",
    "%2e%2e",
    "ü",
    "\"",
    "a/b",
    "a&after=9",
];

async fn client() -> Result<HttpPlatform> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(StandinPlatform::new(Duration::ZERO).serve(listener));
    Ok(HttpPlatform::new(&addr.to_string())?)
}

/// Guards against a read, write or watch of another key than the one named.
#[tokio::test]
async fn an_object_is_read_and_written_under_its_own_key() -> Result<()> {
    for name in NAMES {
        let p = client().await?;
        let key = format!("permits/{name}");
        let first = p.put(&key, Bytes::from_static(b"1"), Expect::Absent).await?;
        p.put(&key, Bytes::from_static(b"2"), Expect::Version(first)).await?;
        let read = p.get(&key).await?.ok_or_else(|| eyre!("{key} was not found"))?;
        assert_eq!((read.key.as_str(), &read.value[..]), (key.as_str(), &b"2"[..]));
        for prefix in ["permits/", &key] {
            let seen = p.watch(prefix, Revision::ZERO, Duration::ZERO).await?.objects;
            let keys: Vec<&str> = seen.iter().map(|o| o.key.as_str()).collect();
            assert_eq!(keys, [&*key], "watch of {prefix}");
        }
    }
    Ok(())
}

/// Guards against a call for another object than the one named.
#[tokio::test]
async fn a_key_that_no_url_can_hold_is_rejected_without_a_call() -> Result<()> {
    let p = client().await?;
    for key in ["permits/..", "permits/.", "permits/", "../permits/a", "a/./b"] {
        let read = p.get(key).await;
        assert!(matches!(read, Err(PlatformError::Unavailable { .. })), "{key}: {read:?}");
        let written = p.put(key, Bytes::new(), Expect::Absent).await;
        assert!(matches!(written, Err(PlatformError::Unavailable { .. })), "{key}: {written:?}");
    }
    Ok(())
}
