//! Scenarios of the review. `review-standin SCENARIO RECORD`: exits with 1 if the rule was broken, 0 if
//! it held, 2 if the scenario couldn't run. `TROUBLE=0` leaves the disruption out.

mod caller;
mod clock_back;
mod daemons;
mod ends;
mod handover;
mod large_job;
mod late_pointer;
mod pending;
mod schedule;
mod traffic;
mod record;
mod site;
mod store;
mod worker;

use record::Record;
use std::{path::PathBuf, process::ExitCode, rc::Rc};

/// How a scenario ended.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(scenario), Some(path)) = (args.next(), args.next()) else {
        eprintln!("review-standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let Ok(record) = Record::create(&PathBuf::from(path)) else {
        return ExitCode::from(2);
    };
    if std::fs::create_dir_all(&dir).is_err() {
        return ExitCode::from(2);
    }
    let record = Rc::new(record);
    record.say(&format!("scenario {scenario}, TROUBLE={trouble}"));
    let run = async {
        match scenario.as_str() {
            "late-pointer" => late_pointer::run(&dir, &record, &trouble).await,
            "handover" => handover::run(&dir, &record, &trouble).await,
            "ends" => ends::run(&dir, &record, &trouble).await,
            "pending" => pending::run(&dir, &record, &trouble).await,
            "clock-back" => clock_back::run(&dir, &record, &trouble).await,
            "schedule" => schedule::run(&dir, &record, &trouble).await,
            "large-job" => large_job::run(&dir, &record, &trouble).await,
            _ => Verdict::CouldNotRun("no such scenario".to_owned()),
        }
    };
    let verdict = actix_rt::System::new().block_on(run);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::CouldNotRun(why) => {
            record.say(&format!("the scenario couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
