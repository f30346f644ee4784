//! Fetches bundles from the platform or from a peer.

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

/// Maximum number of concurrent part reads from the platform.
const MAX_READS: usize = 8;

/// Fetches the bundle of `head` from the platform and offers it to the keeper.
///
/// # Errors
/// Returns an error if anything is missing, malformed or refused.
pub async fn from_platform(ctx: &Context, p: &dyn Platform, head: Head) -> Result<()> {
    ctx.keeper().check(&head)?;
    let manifest = read_manifest(p, &head.manifest).await?;
    let missing = ctx.keeper().missing(&manifest);
    let fetched: HashMap<Digest, Bytes> = stream::iter(missing)
        .map(|d| async move {
            let key = part_key(&d);
            let found = p.get(&key).await.wrap_err("read a part")?;
            let object = found.ok_or_else(|| eyre!("the platform has no object {key}"))?;
            // Copied, since a slice would keep the whole read buffer alive.
            Ok::<_, eyre::Report>((d, Bytes::copy_from_slice(&object.value)))
        })
        .buffer_unordered(MAX_READS)
        .try_collect()
        .await?;
    ctx.offer("platform", head, manifest, &fetched)?;
    Ok(())
}

/// Fetches a peer's bundle, if it is newer, and offers it to the keeper.
///
/// # Errors
/// Returns an error if anything is missing, malformed or refused.
pub async fn from_peer(ctx: &Context, peer: &PeerClient, name: &str) -> Result<()> {
    let Some(head) = peer.head().await? else { return Ok(()) };
    if head.version <= ctx.keeper().version() {
        return Ok(());
    }
    ctx.keeper().check(&head)?;
    let held = ctx.bundle();
    let manifest = peer.manifest(held.as_ref().map(|f| &f.manifest)).await?;
    ensure!(manifest.digest() == head.manifest, "the peer's bundle changed during the pull");
    let missing = ctx.keeper().missing(&manifest);
    let fetched = peer.parts(&missing).await?;
    ctx.offer(name, head, manifest, &fetched)?;
    Ok(())
}
