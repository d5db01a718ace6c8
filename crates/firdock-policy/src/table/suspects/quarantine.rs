//! Which suspects are in quarantine, by the exits recorded against them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use firdock_core::{ContentId, StartId};

use super::{Exit, Suspect};
use crate::suspect::SuspectKind;
use crate::time::Time;

/// Exits that put a request or segment into quarantine. One or two may be chance, as a server that
/// exits for another reason takes all its requests with it.
pub const EXITS_TO_QUARANTINE: usize = 3;
/// The same for a segment that may only have been blamed along with another one: answers on it were
/// under way before, or another one explains the same exits.
const EXITS_OF_DOUBTFUL_SEGMENT: usize = 5;
/// Exits that two segments share if one of them may explain those of the other. Requests on board of
/// one endpoint share its exit by chance.
const SHARED_EXITS: usize = 2;

/// Returns which suspects of an account are in quarantine, and since when.
///
/// Requests share segments, so that each exit is recorded against sound ones as well. Of the
/// segments with enough exits, the one on which the fewest answers were under way before is held
/// first; its exits then no longer count against the others.
pub(super) fn derive<'a>(
    of_account: impl Iterator<Item = &'a Suspect>,
) -> BTreeMap<ContentId, Time> {
    let (requests, segments): (Vec<&Suspect>, Vec<&Suspect>) =
        of_account.partition(|s| s.kind == SuspectKind::Request);
    let mut held = BTreeMap::new();
    for request in requests {
        if let Some(exit) = request.counted().get(EXITS_TO_QUARANTINE - 1) {
            held.insert(request.content.id, exit.at);
        }
    }
    let mut open = segments;
    let mut explained: Vec<&StartId> = Vec::new();
    loop {
        let enough = open.iter().filter_map(|segment| {
            let since = enough_exits(segment, &open, &explained)?;
            Some((*segment, since))
        });
        let Some((first, since)) = enough.min_by_key(|(s, _)| s.hold_order()) else {
            return held;
        };
        held.insert(first.content.id, since);
        let exits = first.exits.iter().filter(|e| !e.void);
        explained.extend(exits.map(|e| &e.start));
        open.retain(|s| s.content.id != first.content.id);
    }
}

/// Returns when a segment had enough exits to be in quarantine, without those that are `explained`;
/// `open` are the segments of its account that are not in quarantine.
fn enough_exits(segment: &Suspect, open: &[&Suspect], explained: &[&StartId]) -> Option<Time> {
    let counted = segment.unexplained(explained);
    let third = counted.get(EXITS_TO_QUARANTINE - 1)?;
    let mut others = open.iter().filter(|s| s.content.id != segment.content.id);
    let is_doubtful = segment.was_sound() || others.any(|other| other.may_explain(segment));
    let last = if is_doubtful {
        counted.get(EXITS_OF_DOUBTFUL_SEGMENT - 1)?
    } else {
        third
    };
    Some(last.at)
}

impl Suspect {
    /// Returns the exits that count without those that are explained.
    fn unexplained(&self, explained: &[&StartId]) -> Vec<&Exit> {
        self.counted_if(|exit| !explained.contains(&&exit.start))
    }

    /// Returns whether it may explain the exits of another segment: it shares several of them, and was
    /// not known to be sound before.
    fn may_explain(&self, other: &Self) -> bool {
        let is_shared = |exit: &&Exit| {
            let mut others = other.exits.iter();
            others.any(|e| !e.void && e.start == exit.start)
        };
        let open = self.exits.iter().filter(|e| !e.void);
        !self.was_sound() && open.filter(is_shared).count() >= SHARED_EXITS
    }

    /// Returns whether answers on a segment were under way before.
    fn was_sound(&self) -> bool {
        matches!(self.kind, SuspectKind::Segment { answers, .. } if answers > 0)
    }

    /// Returns the order in which segments are held that explain the same exits: first the one with
    /// the fewest answers before, and of those the one farthest from the start of the prompt, which
    /// the fewest requests share.
    fn hold_order(&self) -> impl Ord {
        let (answers, position) = match self.kind {
            SuspectKind::Request => (0, 0),
            SuspectKind::Segment { answers, position } => (answers, position),
        };
        (answers, Reverse(position), self.content.id)
    }
}
