//! The commands of the pages, run as printed.
