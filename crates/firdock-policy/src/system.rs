//! The systems that run over the tables, one file a job.

pub mod admit;
pub mod backoff;
pub mod check;
pub mod config;
pub mod coordinate;
pub mod demand;
pub mod drain;
pub mod early;
pub mod end;
pub mod expire;
pub mod fair;
pub mod fit;
pub mod handover;
pub mod health;
pub mod key;
pub mod limit;
pub mod look;
pub mod news;
pub mod notice;
pub mod paced;
pub mod place;
pub mod restart;
pub mod rollout;
pub mod share;
pub mod shed;
pub mod tries;
