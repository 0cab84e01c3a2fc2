//! Line numbers of the keys of a TOML document, for error messages.

use indexmap::IndexMap;
use toml::de::{DeArray, DeTable, DeValue};

/// Line numbers, from 1, by dotted key. An element of an array of tables has its index, from 0, in
/// brackets, such as `entry[0].class`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyLines {
    lines: IndexMap<String, usize>,
}

impl KeyLines {
    /// Collects the line of every key of a document; there are none if the text is not valid TOML.
    pub fn new(text: &str) -> Self {
        let mut lines = IndexMap::new();
        if let Ok(table) = DeTable::parse(text) {
            note_table(text, "", table.get_ref(), &mut lines);
        }
        Self { lines }
    }

    /// The line of a key, or of the nearest enclosing table if the document lacks the key.
    pub fn line(&self, key: &str) -> Option<usize> {
        let mut key = key;
        loop {
            if let Some(line) = self.lines.get(key) {
                return Some(*line);
            }
            (key, _) = key.rsplit_once('.')?;
        }
    }
}

fn note_table(text: &str, prefix: &str, table: &DeTable<'_>, lines: &mut IndexMap<String, usize>) {
    for (name, value) in table {
        let key = match prefix {
            "" => name.get_ref().to_string(),
            _ => format!("{prefix}.{}", name.get_ref()),
        };
        lines.insert(key.clone(), line_at(text, name.span().start));
        match value.get_ref() {
            DeValue::Table(inner) => note_table(text, &key, inner, lines),
            DeValue::Array(items) => note_array(text, &key, items, lines),
            _ => {}
        }
    }
}

fn note_array(text: &str, key: &str, items: &DeArray<'_>, lines: &mut IndexMap<String, usize>) {
    for (i, item) in items.iter().enumerate() {
        if let DeValue::Table(table) = item.get_ref() {
            let key = format!("{key}[{i}]");
            lines.insert(key.clone(), line_at(text, item.span().start));
            note_table(text, &key, table, lines);
        }
    }
}

/// The line, from 1, that contains a byte offset.
pub fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}
