//! The request path, judged by what callers receive and what workers log.

mod claims;
mod embedded;
mod floors;
mod outcomes;
mod overload;
mod shares;
mod spill;
