//! Computes the identity of the sources that the binary is built from, so that a running daemon tells which code it is.
//!
//! A commit would not do: a checkout need not have one, and its files may differ from it. The identity is the checksum
//! that POSIX's `cksum` gives of its list of the sources; `.ci/source-id` computes the same of a checkout.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Files and folders that the binary is built from.
const SOURCES: [&str; 5] = ["Cargo.lock", "Cargo.toml", "build.rs", "platform", "src"];
/// Polynomial of the checksum, as POSIX defines it for `cksum`.
const POLYNOMIAL: u32 = 0x04c1_1db7;

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
        let bytes = fs::read(&name)?;
        list.push_str(&format!("{} {} {name}\n", checksum(&bytes), bytes.len()));
    }
    Ok(format!("{:08x}", checksum(list.as_bytes())))
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

/// The checksum of `cksum`: a cyclic redundancy check of the bytes and their number.
fn checksum(bytes: &[u8]) -> u32 {
    let length = bytes.len().to_le_bytes();
    let used = length
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |at| at + 1);
    let mut sum = 0_u32;
    for byte in bytes.iter().chain(&length[..used]) {
        sum ^= u32::from(*byte) << 24;
        for _ in 0..8 {
            let carry = sum >> 31;
            sum = (sum << 1) ^ (carry * POLYNOMIAL);
        }
    }
    !sum
}
