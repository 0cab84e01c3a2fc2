//! Computes the identity of the sources that the binary is built from, so that a running daemon tells which code it is.
//!
//! A commit would not do: a checkout need not have one, and its files may differ from it. The identity is the SHA-1 hash
//! of the list that `sha1sum` prints of the sources; `.ci/source-id` computes the same of a checkout.

use sha1::{Digest, Sha1};
use std::{
    fmt::Write as _,
    fs, io,
    path::{Path, PathBuf},
};

/// Files and folders that the binary is built from.
const SOURCES: [&str; 5] = ["Cargo.lock", "Cargo.toml", "build.rs", "platform", "src"];
/// Length of the identity in hexadecimal digits.
const ID_DIGITS: usize = 12;

fn main() {
    for source in SOURCES {
        println!("cargo::rerun-if-changed={source}");
    }
    // The build goes on without an identity.
    let id = source_id().unwrap_or_else(|e| {
        println!("cargo::warning=the sources can't be identified: {e}");
        "unknown".to_owned()
    });
    println!("cargo::rustc-env=SOURCE_ID={id}");
}

fn source_id() -> io::Result<String> {
    let mut files = Vec::new();
    for source in SOURCES {
        collect_files(Path::new(source), &mut files)?;
    }
    let mut names: Vec<String> = files.iter().map(|f| f.display().to_string()).collect();
    names.sort();
    let mut list = String::new();
    for name in names {
        let hash = hash(&fs::read(&name)?);
        list.push_str(&format!("{hash}  {name}\n"));
    }
    Ok(hash(list.as_bytes())[..ID_DIGITS].to_owned())
}

fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect_files(&entry?.path(), files)?;
    }
    Ok(())
}

fn hash(bytes: &[u8]) -> String {
    let mut hex = String::new();
    for byte in Sha1::digest(bytes) {
        // Writing to a `String` cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
