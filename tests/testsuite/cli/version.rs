//! The identity of the build in `--version`.

use crate::support::process::lapisdrum_binary;
use std::process::Command;

fn output(command: &mut Command) -> String {
    let output = command.output().expect("the command runs");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Guards against a daemon of other sources than those of the checkout that can't be told from the current one: the
/// version names the sources.
#[test]
fn the_version_names_the_sources() {
    let root = env!("CARGO_MANIFEST_DIR");
    let sources = output(Command::new("bash").arg(format!("{root}/.ci/source-id")));
    let sources = sources.trim();
    assert_eq!(sources.len(), 8, "{sources}");
    let version = output(Command::new(lapisdrum_binary()).arg("--version"));
    let expected = format!(
        "lapisdrum {} (sources {sources})",
        env!("CARGO_PKG_VERSION")
    );
    assert_eq!(version.trim(), expected);
}
