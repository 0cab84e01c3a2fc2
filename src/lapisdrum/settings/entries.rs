//! Reads a catalogue file and reports every fault with its line and key.
//!
//! serde stops at the first wrong key. Each key of an entry is therefore deserialised separately, in
//! an entry that is otherwise valid. This finds all unknown keys and wrong types without a second
//! list of the keys. The valid keys then go through the checks of [`Entry`].

use super::{
    lines::KeyLines,
    reader::{Fault, Faults},
};
use crate::core::catalogue::{Entry, RawEntry};
use indexmap::IndexSet;
use toml::{Table, Value};

/// Key of the array of tables that holds the entries.
const ENTRIES: &str = "entry";

/// Parses the text of a catalogue file; `file` is its name in error messages.
pub fn parse(file: &str, text: &str) -> Result<Vec<RawEntry>, Faults> {
    let document = text
        .parse::<Table>()
        .map_err(|e| Faults::not_toml(file, text, &e))?;
    let mut reader = EntryReader {
        lines: KeyLines::new(text),
        faults: Vec::new(),
    };
    let entries = reader.read(&document);
    match reader.faults.is_empty() {
        true => Ok(entries),
        false => Err(Faults::new(file, reader.faults)),
    }
}

struct EntryReader {
    lines: KeyLines,
    faults: Vec<Fault>,
}

impl EntryReader {
    fn read(&mut self, document: &Table) -> Vec<RawEntry> {
        for key in document.keys().filter(|key| *key != ENTRIES) {
            self.fault(key, "unknown key; a catalogue holds `[[entry]]` tables");
        }
        let Some(items) = document.get(ENTRIES).and_then(Value::as_array) else {
            self.fault(ENTRIES, "is missing; a catalogue holds `[[entry]]` tables");
            return Vec::new();
        };
        let mut names = IndexSet::new();
        let mut entries = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let at = format!("{ENTRIES}[{i}]");
            let Some(table) = item.as_table() else {
                self.fault(&at, "is not a table");
                continue;
            };
            let raw = self.read_entry(&at, table);
            if !names.insert(raw.name.clone()) {
                let what = format!("entry `{}` is defined twice in this file", raw.name);
                self.fault(&format!("{at}.name"), what);
            }
            entries.push(raw);
        }
        entries
    }

    fn read_entry(&mut self, at: &str, table: &Table) -> RawEntry {
        let base = minimal_entry();
        let mut complete = base.clone();
        for required in base.keys().filter(|key| !table.contains_key(*key)) {
            self.fault(&format!("{at}.{required}"), "is missing");
        }
        for (key, value) in table {
            let mut trial = base.clone();
            trial.insert(key.clone(), value.clone());
            match trial.try_into::<RawEntry>() {
                Ok(_) => {
                    complete.insert(key.clone(), value.clone());
                }
                Err(e) => {
                    let what = e.message().lines().next().unwrap_or_default().to_owned();
                    self.fault(&format!("{at}.{key}"), what);
                }
            }
        }
        let raw: RawEntry = complete
            .try_into()
            .unwrap_or_else(|e| unreachable!("each key was tried: {e}"));
        if let Err(faults) = Entry::try_from(raw.clone()) {
            for fault in faults.faults {
                self.fault(&format!("{at}.{}", fault.key), fault.what);
            }
        }
        raw
    }

    fn fault(&mut self, key: &str, what: impl ToString) {
        self.faults.push(Fault {
            line: self.lines.line(key),
            key: key.to_owned(),
            what: what.to_string(),
        });
    }
}

/// A valid entry that has only the required keys.
fn minimal_entry() -> Table {
    let text = |text: &str| Value::String(text.to_owned());
    Table::from_iter([
        ("name".to_owned(), text("name")),
        ("owner".to_owned(), text("owner")),
        ("class".to_owned(), text("batch")),
        ("millicores".to_owned(), Value::Integer(1)),
        ("memory_mb".to_owned(), Value::Integer(1)),
    ])
}
