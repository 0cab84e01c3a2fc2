//! Shared by several test modules: processes, waiting, raw HTTP.

pub(crate) mod crowd;
pub(crate) mod gate;
pub(crate) mod http;
pub(crate) mod process;
pub(crate) mod relay;
pub(crate) mod wait;
