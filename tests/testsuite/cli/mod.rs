//! The command line through the real binary.
