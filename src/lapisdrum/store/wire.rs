//! Wire types of the platform's services, JSON over HTTP/1.1.

use crate::{
    core::{
        id::{DataCentre, InvalidName, Rack, WorkerId},
        size::Size,
    },
    timeline::event::Stamp,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Field of a row with the stamp of its writer.
const STAMP_FIELD: &str = "stamp";

data! {
    /// Asserts a row's version; 0 asserts that there is none.
    pub struct Compare {
        /// The row's key.
        pub key: String,
        /// Its version.
        pub version: u64,
    }

    /// Writes a row.
    pub struct Put {
        /// The row's key.
        pub key: String,
        /// Its value.
        pub value: Value,
    }

    /// `POST /v1/table/txn`: all of it or nothing.
    #[derive(Default)]
    pub struct Txn {
        /// Versions that must hold.
        #[serde(default)]
        pub compare: Vec<Compare>,
        /// Rows to write.
        #[serde(default)]
        pub put: Vec<Put>,
        /// Rows to delete.
        #[serde(default)]
        pub delete: Vec<String>,
    }

    /// The answer to a transaction that took effect.
    pub struct TxnDone {
        /// The new version of each row put, in order.
        pub versions: Vec<u64>,
    }

    /// The answer to a transaction of which an assertion failed.
    pub struct TxnConflict {
        /// The row that failed.
        pub key: String,
        /// Its version.
        pub version: u64,
    }

    /// A row as read.
    pub struct Row {
        /// Its key.
        pub key: String,
        /// Its value.
        pub value: Value,
        /// Its version, raised by every write.
        pub version: u64,
    }

    /// One host of the membership list.
    pub struct HostWire {
        /// The host's name.
        pub host: String,
        /// Where it answers: IP number and port.
        pub address: String,
        /// Its data centre.
        pub data_centre: String,
        /// Its rack.
        pub rack: String,
        /// `live` or `leaving`.
        pub state: String,
        /// Processors; 0 for an entry host, which takes no work.
        pub cores: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Accelerators.
        pub accelerators: u64,
        /// Requests at once.
        pub slots: u32,
        /// Connections at once.
        pub connections: u32,
    }

    /// A checked host.
    pub struct Host {
        /// The worker's name.
        pub worker: WorkerId,
        /// Where it answers.
        pub address: String,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Its rack.
        pub rack: Rack,
        /// Whether it is on its way out and must get no new work.
        pub leaving: bool,
        /// What it has.
        pub capacity: Size,
        /// Requests at once.
        pub slots: u32,
        /// Connections at once.
        pub connections: u32,
    }
}

/// Millicores in a core.
const MILLICORES: u64 = 1_000;

impl TryFrom<HostWire> for Host {
    type Error = InvalidName;

    fn try_from(raw: HostWire) -> Result<Self, InvalidName> {
        Ok(Self {
            worker: WorkerId::try_from(raw.host)?,
            address: raw.address,
            data_centre: DataCentre::try_from(raw.data_centre)?,
            rack: Rack::try_from(raw.rack)?,
            leaving: raw.state != "live",
            capacity: Size {
                millicores: raw.cores * MILLICORES,
                memory_mb: raw.memory_mb,
                accelerators: raw.accelerators,
            },
            slots: raw.slots,
            connections: raw.connections,
        })
    }
}

impl Txn {
    /// Adds an assertion.
    #[must_use]
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compare.push(Compare {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.put.push(Put {
            key: key.into(),
            value,
        });
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.delete.push(key.into());
        self
    }
}

impl Txn {
    /// Adds the writer's stamp to every row that is an object; readers of a row's own fields pass
    /// over it.
    #[must_use]
    pub fn stamped(mut self, stamp: Stamp) -> Self {
        let stamp = serde_json::to_value(stamp).unwrap_or_default();
        for put in &mut self.put {
            if let Value::Object(fields) = &mut put.value {
                fields.insert(STAMP_FIELD.to_owned(), stamp.clone());
            }
        }
        self
    }
}

impl Row {
    /// The stamp of the row's writer.
    pub fn stamp(&self) -> Option<Stamp> {
        Stamp::deserialize(self.value.get(STAMP_FIELD)?).ok()
    }

    /// The value as a typed row; none when it has another form.
    pub fn parse<T: for<'de> Deserialize<'de>>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}
