//! Runs one case of the review: `review-3 CASE FOLDER`. The result is the exit status: 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

mod capped;
mod http;
mod json;
mod lasting;
mod late;
mod muted;
mod pending;
mod record;
mod site;
mod store;
mod together;
mod worker;

use record::Record;
use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

/// What a case shows.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(&folder.join("record.txt")));
    record.say(&format!("case {case}, with the disruption: {has_trouble}"));
    // The daemons' logs, for whoever traces a failure.
    let logs = PathBuf::from("target/review-3/logs").join(case);
    let _ = std::fs::create_dir_all(&logs);
    let outcome = match case.as_str() {
        "capped" => capped::run(&record, has_trouble, &logs),
        "late" => late::run(&record, has_trouble, &logs),
        "muted" => muted::run(&record, has_trouble, &logs),
        "together" => together::run(&record, has_trouble, &logs),
        "pending" => pending::run(&record, has_trouble, &logs),
        _ => Outcome::NotRun,
    };
    let (status, word) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "THE RULE WAS BROKEN"),
        Outcome::NotRun => (2, "the case could not run"),
    };
    record.say(word);
    ExitCode::from(status)
}
