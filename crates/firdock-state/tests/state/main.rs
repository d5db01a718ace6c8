//! Tests of the fold and of following the log.

mod decode;
mod directory;
mod random;
