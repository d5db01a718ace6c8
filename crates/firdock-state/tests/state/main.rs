//! Tests of decoding records, folding and following the log, and the directory of endpoints.

mod decode;
mod directory;
mod random;
