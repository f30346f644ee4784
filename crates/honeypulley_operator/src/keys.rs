//! Operators' keys and sign-off files.

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

/// A sign-off as it lies beside the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// Digest of the manifest that was signed.
    pub manifest: Digest,
    /// The signature.
    pub signature: Signature,
}

/// Makes a new key, writes the secret to `path` and returns the public key.
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

/// Reads and checks a bundle's file.
///
/// # Errors
/// Returns an error with file, line and key.
pub fn read_bundle(path: &Path) -> Result<(Bundle, Split)> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("{file}: read the bundle"))?;
    Ok(Bundle::read(&file, &text)?)
}

/// Returns where the sign-off of a bundle's file lies.
#[must_use]
pub fn sign_off_path(bundle: &Path) -> PathBuf {
    let mut name = bundle.as_os_str().to_owned();
    name.push(".sig");
    PathBuf::from(name)
}

/// Signs a bundle's file off and writes the sign-off beside it.
///
/// # Errors
/// Returns an error if bundle or key can't be read, or nothing can be written.
pub fn sign(bundle: &Path, name: &str, key: &Path) -> Result<PathBuf> {
    let (_, split) = read_bundle(bundle)?;
    let text = std::fs::read_to_string(key)
        .wrap_err_with(|| format!("{}: read the key", key.display()))?;
    let signer = Signer::from_base64(name, &text).wrap_err_with(|| format!("{}", key.display()))?;
    let manifest = split.manifest.digest();
    let off = SignOff { manifest, signature: signer.sign(&manifest) };
    let path = sign_off_path(bundle);
    std::fs::write(&path, serde_json::to_vec_pretty(&off)?)
        .wrap_err_with(|| format!("{}: write the sign-off", path.display()))?;
    Ok(path)
}

/// Reads the sign-off that lies beside a bundle and checks what it is for.
///
/// # Errors
/// Returns an error if it is missing, or another bundle was signed.
pub fn read_sign_off(bundle: &Path, split: &Split) -> Result<SignOff> {
    let path = sign_off_path(bundle);
    let shown = path.display();
    let bytes = std::fs::read(&path).wrap_err_with(|| {
        format!("{shown}: this bundle is not signed off; run `honeypulley bundle sign`")
    })?;
    let off: SignOff =
        serde_json::from_slice(&bytes).wrap_err_with(|| format!("{shown}: malformed sign-off"))?;
    if off.manifest != split.manifest.digest() {
        return Err(eyre!(
            "{shown}: the bundle was altered after it was signed off; sign it again"
        ));
    }
    Ok(off)
}
