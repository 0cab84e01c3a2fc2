//! `lapisdrum check`: validates a settings or catalogue file and reports all errors at once.

use super::{Exit, Failure};
use crate::{
    core::catalogue::RawEntry,
    settings::{Settings, entries},
};
use std::{fmt, fs, path::Path};

data! {
    /// Kind of a valid file.
    #[serde(rename_all = "kebab-case")]
    pub enum Content {
        /// Settings of a daemon.
        Settings,
        /// Entries of the catalogue.
        Catalogue {
            /// Number of entries in the file.
            entries: usize,
        },
    }

    /// Result for a valid file.
    pub struct CheckReport {
        /// Path as given on the command line.
        pub file: String,
        /// Kind of the file.
        pub content: Content,
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.content {
            Content::Settings => write!(f, "{}: settings without faults", self.file),
            Content::Catalogue { entries } => write!(
                f,
                "{}: a catalogue of {entries} entries without faults",
                self.file
            ),
        }
    }
}

/// Validates a file. A TOML file with an `entry` key is read as a catalogue, any other as settings.
pub fn check(file: &Path) -> Result<CheckReport, Failure> {
    let name = file.display().to_string();
    let text = read(file)?;
    let is_catalogue = text
        .parse::<toml::Table>()
        .is_ok_and(|t| t.contains_key("entry"));
    let content = if is_catalogue {
        let entries = entries::parse(&name, &text).map_err(invalid_input)?.len();
        Content::Catalogue { entries }
    } else {
        Settings::parse(&name, &text).map_err(invalid_input)?;
        Content::Settings
    };
    Ok(CheckReport {
        file: name,
        content,
    })
}

/// Reads and validates a catalogue file.
pub fn load_catalogue(file: &Path) -> Result<Vec<RawEntry>, Failure> {
    let text = read(file)?;
    entries::parse(&file.display().to_string(), &text).map_err(invalid_input)
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|e| invalid_input(format!("{}: {e}", file.display())))
}

fn invalid_input(message: impl fmt::Display) -> Failure {
    Failure::new(Exit::WrongInput, message)
}
