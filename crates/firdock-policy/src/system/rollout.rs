//! Roll-outs: the version that a request may go to, the evidence that its answer provides, and when
//! traffic moves forward or back (`docs/design/rollouts.md`).

mod decide;
mod evidence;
mod versions;

pub use decide::{apply_record, apply_status, run, set_decides};
pub use evidence::{
    merge_group_evidence, merge_peer_evidence, record_answer, record_failure, record_lost,
    record_sent, report,
};
pub use versions::{admits, admits_grant, apply, continues, is_new, trial_endpoint};
