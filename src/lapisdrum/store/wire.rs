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

/// Field of a row's value that holds the timeline stamp of its writer.
const STAMP_FIELD: &str = "stamp";

data! {
    /// Precondition of a transaction.
    pub struct Compare {
        /// Key of the row.
        pub key: String,
        /// Expected version; 0 if the row must not exist.
        pub version: u64,
    }

    /// A row to write in a transaction.
    pub struct Put {
        /// Key of the row.
        pub key: String,
        /// The value to write.
        pub value: Value,
    }

    /// `POST /v1/table/txn`: an atomic transaction.
    #[derive(Default)]
    pub struct Txn {
        /// Preconditions; if one fails, nothing is written.
        #[serde(default)]
        pub compare: Vec<Compare>,
        /// Rows to write.
        #[serde(default)]
        pub put: Vec<Put>,
        /// Keys of the rows to delete.
        #[serde(default)]
        pub delete: Vec<String>,
    }

    /// Response to a transaction that took effect.
    pub struct TxnDone {
        /// The new version of each written row, in the order of the transaction's `put`.
        pub versions: Vec<u64>,
    }

    /// Response to a transaction with a failed precondition.
    pub struct TxnConflict {
        /// Key of the row whose precondition failed.
        pub key: String,
        /// The row's present version.
        pub version: u64,
    }

    /// A row as read from the table.
    pub struct Row {
        /// Key, unique in the table.
        pub key: String,
        /// Value, with the writer's stamp if it is an object.
        pub value: Value,
        /// Version, increased by every write.
        pub version: u64,
    }

    /// A host in the membership list, unchecked.
    pub struct HostWire {
        /// Name of the host.
        pub host: String,
        /// IP address and port of the host's worker.
        pub address: String,
        /// Name of the data centre.
        pub data_centre: String,
        /// Name of the rack.
        pub rack: String,
        /// `live` or `leaving`.
        pub state: String,
        /// Number of cores; 0 for an entry host, which takes no work.
        pub cores: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Number of whole accelerators.
        pub accelerators: u64,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of open connections.
        pub connections: u32,
    }

    /// A host with validated names.
    pub struct Host {
        /// Id of the host's worker.
        pub worker: WorkerId,
        /// IP address and port of the worker.
        pub address: String,
        /// The data centre of the host.
        pub data_centre: DataCentre,
        /// The rack of the host.
        pub rack: Rack,
        /// Whether the host is leaving and must get no new work.
        pub leaving: bool,
        /// Total resources of the host.
        pub capacity: Size,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of open connections.
        pub connections: u32,
    }
}

const MILLICORES_PER_CORE: u64 = 1_000;

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
                millicores: raw.cores * MILLICORES_PER_CORE,
                memory_mb: raw.memory_mb,
                accelerators: raw.accelerators,
            },
            slots: raw.slots,
            connections: raw.connections,
        })
    }
}

impl Txn {
    /// Adds a precondition on the version of a row; see [`Compare::version`].
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
    /// Adds the writer's stamp to every written value that is a JSON object; decoding into a typed
    /// row ignores it.
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
    /// The stamp of the row's writer, if the value has a valid one.
    pub fn stamp(&self) -> Option<Stamp> {
        Stamp::deserialize(self.value.get(STAMP_FIELD)?).ok()
    }

    /// Decodes the value; `None` if it does not match the type.
    pub fn parse<T: for<'de> Deserialize<'de>>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}
