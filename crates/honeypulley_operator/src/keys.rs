//! Keys of operators and signature files of bundles.

use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use eyre::{Result, WrapErr, eyre};
use honeypulley_bundle::model::Bundle;
use honeypulley_bundle::parts::{Digest, Split};
use honeypulley_bundle::sign::{Signature, Signer};
use serde::{Deserialize, Serialize};
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Content of the signature file of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// Digest of the manifest that was signed.
    pub manifest: Digest,
    /// Signature of the manifest.
    pub signature: Signature,
}

/// Generates a key pair and writes the secret key to `path`.
///
/// Returns the public key.
///
/// # Errors
/// Returns an error if the file exists or can't be written.
pub fn create(name: &str, path: &Path) -> Result<String> {
    let secret: [u8; 32] = rand::random();
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .wrap_err_with(|| format!("{}: write the new key", path.display()))?;
    writeln!(file, "{}", BASE64.encode(secret))?;
    Ok(Signer::from_secret(name, &secret).public())
}

/// Reads and validates a bundle file.
///
/// # Errors
/// Returns an error that names the file, and the line and key of an invalid entry.
pub fn read_bundle(path: &Path) -> Result<(Bundle, Split)> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("{file}: read the bundle"))?;
    Ok(Bundle::read(&file, &text)?)
}

/// Returns the path of the signature file of a bundle.
#[must_use]
pub fn sign_off_path(bundle: &Path) -> PathBuf {
    let mut name = bundle.as_os_str().to_owned();
    name.push(".sig");
    PathBuf::from(name)
}

/// Signs a bundle file and writes the signature file next to it.
///
/// # Errors
/// Returns an error if the bundle or key can't be read, or the signature can't be written.
pub fn sign(bundle: &Path, name: &str, key: &Path) -> Result<PathBuf> {
    let (_, split) = read_bundle(bundle)?;
    let text = std::fs::read_to_string(key)
        .wrap_err_with(|| format!("{}: read the key", key.display()))?;
    let signer = Signer::from_base64(name, &text).wrap_err_with(|| format!("{}", key.display()))?;
    let manifest = split.manifest.digest();
    let sign_off = SignOff { manifest, signature: signer.sign(&manifest) };
    let path = sign_off_path(bundle);
    std::fs::write(&path, serde_json::to_vec_pretty(&sign_off)?)
        .wrap_err_with(|| format!("{}: write the signature", path.display()))?;
    Ok(path)
}

/// Reads the signature file of a bundle and checks that it matches the manifest.
///
/// # Errors
/// Returns an error if it is missing or malformed, or signs another manifest.
pub fn read_sign_off(bundle: &Path, split: &Split) -> Result<SignOff> {
    let path = sign_off_path(bundle);
    let shown = path.display();
    let bytes = std::fs::read(&path).wrap_err_with(|| {
        format!("{shown}: this bundle is not signed off; run `honeypulley bundle sign`")
    })?;
    let sign_off: SignOff = serde_json::from_slice(&bytes)
        .wrap_err_with(|| format!("{shown}: malformed signature file"))?;
    if sign_off.manifest != split.manifest.digest() {
        return Err(eyre!(
            "{shown}: the bundle was altered after it was signed off; sign it again"
        ));
    }
    Ok(sign_off)
}
