//! Runs one case of the second review: `review-2 CASE FOLDER`. With `TROUBLE=0` the disruption is left
//! out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use record::Record;
use std::{path::Path, process::exit, sync::Arc};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt: {e}");
            exit(2);
        }
    };
    record.say(&format!("case {case}, {}", if has_trouble { "with the disruption" } else { "without the disruption" }));
    let end = cases::run(case, has_trouble, &record);
    let status = match &end {
        Ok(broken) if broken.is_empty() => {
            record.say("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                record.say(&format!("BROKEN {line}"));
            }
            1
        }
        Err(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    exit(status);
}
