//! `lapisdrum check`: settings or catalogue files, all faults at once.

use super::{Exit, Failure};
use crate::{
    core::catalogue::{CatalogueFile, Entry, RawEntry},
    settings::Settings,
};
use std::{fs, path::Path};

/// Checks a file and says what it is.
pub fn check(file: &Path) -> Result<String, Failure> {
    let name = file.display().to_string();
    let text = read(file)?;
    let looks_like_catalogue = text
        .parse::<toml::Table>()
        .is_ok_and(|t| t.contains_key("entry"));
    if looks_like_catalogue {
        let entries = parse_catalogue(&name, &text)?;
        return Ok(format!(
            "{name}: a catalogue of {} entries without faults",
            entries.len()
        ));
    }
    Settings::parse(&name, &text).map_err(|e| Failure::new(Exit::WrongInput, e))?;
    Ok(format!("{name}: settings without faults"))
}

/// Reads and checks a catalogue file.
pub fn load_catalogue(file: &Path) -> Result<Vec<RawEntry>, Failure> {
    parse_catalogue(&file.display().to_string(), &read(file)?)
}

fn read(file: &Path) -> Result<String, Failure> {
    let read = fs::read_to_string(file);
    read.map_err(|e| Failure::new(Exit::WrongInput, format!("{}: {e}", file.display())))
}

fn parse_catalogue(name: &str, text: &str) -> Result<Vec<RawEntry>, Failure> {
    let wrong = |what: String| Failure::new(Exit::WrongInput, what);
    let file: CatalogueFile = toml::from_str(text).map_err(|e| wrong(format!("{name}: {e}")))?;
    let faults: Vec<String> = file
        .entry
        .iter()
        .filter_map(|raw| Entry::try_from(raw.clone()).err())
        .map(|e| format!("{name}: {e}"))
        .collect();
    if faults.is_empty() {
        return Ok(file.entry);
    }
    Err(wrong(faults.join("\n")))
}
