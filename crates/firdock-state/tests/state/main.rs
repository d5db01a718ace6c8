//! Tests of decoding records, folding and following the log, spoilt answers of it, and the directory of endpoints.

mod decode;
mod directory;
mod follow;
mod random;
