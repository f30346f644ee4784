//! Fetching a bundle, from the platform or from a peer.

use crate::context::Context;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use futures::stream::{self, StreamExt, TryStreamExt};
use honeypulley_bundle::head::Head;
use honeypulley_bundle::parts::Digest;
use honeypulley_peer::client::PeerClient;
use honeypulley_platform::accept::{part_key, read_manifest};
use honeypulley_platform::api::Platform;
use std::collections::HashMap;

/// Parts read from the platform at one time.
const PARALLEL: usize = 8;

/// Fetches what `head` names from the platform and offers it.
///
/// # Errors
/// Returns what was missing, unreadable or refused.
pub async fn from_platform(ctx: &Context, p: &dyn Platform, head: Head) -> Result<()> {
    ctx.keeper().check(&head)?;
    let manifest = read_manifest(p, &head.manifest).await?;
    let missing = ctx.keeper().missing(&manifest);
    let fresh: HashMap<Digest, Bytes> = stream::iter(missing)
        .map(|d| async move {
            let key = part_key(&d);
            let found = p.get(&key).await.wrap_err("read a part")?;
            let object = found.ok_or_else(|| eyre!("the platform has no {key}"))?;
            // A copy, since a slice would keep the whole read buffer behind it.
            Ok::<_, eyre::Report>((d, Bytes::copy_from_slice(&object.value)))
        })
        .buffer_unordered(PARALLEL)
        .try_collect()
        .await?;
    ctx.offer("platform", head, manifest, &fresh)?;
    Ok(())
}

/// Fetches what a peer has in force, if it is newer, and offers it.
///
/// # Errors
/// Returns what was missing, unreadable or refused.
pub async fn from_peer(ctx: &Context, peer: &PeerClient, name: &str) -> Result<()> {
    let Some(head) = peer.head().await? else { return Ok(()) };
    if head.version <= ctx.keeper().version() {
        return Ok(());
    }
    ctx.keeper().check(&head)?;
    let held = ctx.held();
    let manifest = peer.manifest(held.as_ref().map(|f| &f.manifest)).await?;
    ensure!(manifest.digest() == head.manifest, "the peer moved on while it was asked");
    let missing = ctx.keeper().missing(&manifest);
    let fresh = peer.parts(&missing).await?;
    ctx.offer(name, head, manifest, &fresh)?;
    Ok(())
}
