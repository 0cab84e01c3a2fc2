//! The commands in the documentation, run as printed.

use crate::support::process::{Site, examples_folder, lapisdrum_binary};
use lapisdrum_standins::site::{self, DaemonPlan};
use std::{
    env, fs,
    path::Path,
    process::{Command, Stdio},
};
use tempfile::TempDir;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// The commands of a page's `console` blocks, one per line, in the page's order.
fn commands(page: &str) -> String {
    let mut inside = false;
    let mut commands = String::new();
    for line in page.lines() {
        if let Some(kind) = line.strip_prefix("```") {
            inside = kind == "console";
        } else if inside && let Some(command) = line.strip_prefix("$ ") {
            commands.push_str(command);
            commands.push('\n');
        }
    }
    commands
}

/// Runs a script that stops at its first failing command, and ends the processes it left running.
fn run(script: &str, dir: &Path, variables: &[(&str, String)]) -> String {
    let bin = lapisdrum_binary();
    let bin = bin.parent().expect("a folder").display();
    let examples = examples_folder();
    let path = env::var("PATH").unwrap_or_default();
    let ended = Command::new("bash")
        .args(["-euxo", "pipefail", "-c"])
        .arg(format!("trap 'kill $(jobs -p) || true' EXIT\n{script}"))
        .current_dir(dir)
        .env("PATH", format!("{bin}:{}:{path}", examples.display()))
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .output()
        .expect("bash runs");
    let out = String::from_utf8_lossy(&ended.stdout).into_owned();
    let errors = String::from_utf8_lossy(&ended.stderr);
    assert!(ended.status.success(), "{}\n{out}\n{errors}", ended.status);
    out
}

/// The README's commands, run word for word, must lead to an answered request. Only the build, which
/// `cargo test` has done, is left out, and the ports, which may be in use, are replaced.
#[test]
fn the_readme_leads_to_an_answered_request() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let dir = TempDir::new().expect("a temporary folder");
    let [callers, peers, platform] = [(); 3].map(|()| site::free_address().to_string());
    let moved = |text: &str| -> String {
        text.replace("127.0.0.1:7000", &callers)
            .replace("127.0.0.1:7001", &peers)
            .replace("127.0.0.1:7900", &platform)
    };
    fs::create_dir(dir.path().join("examples")).expect("a folder");
    for file in ["local.toml", "catalogue.toml"] {
        let text = fs::read_to_string(root.join("examples").join(file)).expect("an example");
        let copy = dir.path().join("examples").join(file);
        fs::write(copy, moved(&text)).expect("a copy");
    }
    let script = commands(&page("README.md"));
    let built = |line: &&str| !line.starts_with("cargo build") && !line.starts_with("export PATH");
    let script: Vec<&str> = script.lines().filter(built).collect();
    let variables = [("LAPISDRUM_DAEMON", callers.clone())];
    let shown = run(&moved(&script.join("\n")), dir.path(), &variables);
    assert!(shown.contains("studio 14"), "{shown}");
    assert!(shown.contains("job-accepted"), "{shown}");
}

/// The commands of the operations page must do what the page says, on a site of two daemons of which
/// one is restarted on the way.
#[actix_rt::test]
async fn the_commands_of_the_operations_page_run() {
    let site = Site::start(1, 2).await;
    let asked = site.daemons[0].plan.callers;
    let dir = TempDir::new().expect("a temporary folder");
    let second = DaemonPlan::new("westlands-1", "westlands", site.platform.address);
    fs::write(dir.path().join("daemon.toml"), second.settings()).expect("settings");
    let catalogue = page("examples/catalogue.toml");
    fs::write(dir.path().join("catalogue.toml"), catalogue).expect("a catalogue");
    let script = format!(
        "lapisdrum run --config daemon.toml & DAEMON_PID=$!\n\
         curl -fsS --retry 30 --retry-connrefused --retry-delay 1 http://$DAEMON_CALLERS/readyz\n{}",
        commands(&page("docs/OPERATIONS.md"))
    );
    let variables = [
        ("LAPISDRUM_DAEMON", asked.to_string()),
        ("DAEMON_CALLERS", second.callers.to_string()),
    ];
    let shown = run(&script, dir.path(), &variables);
    assert!(shown.contains("catalogue-render: retired"), "{shown}");
    assert!(shown.contains("job-accepted"), "{shown}");
}
