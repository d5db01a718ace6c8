//! Detection of changed rows in a table, at a cost that depends on the number of changes.
//!
//! An instance has thousands of endpoints, of which few change between two scans. Rebuilding their list
//! on each scan costs more than everything else that an idle instance does.

use std::collections::BTreeMap;

/// Last seen values of rows, indexed by row number.
#[derive(Debug)]
pub struct ChangeTracker<W> {
    rows: Vec<Option<Row<W>>>,
    /// Number of the current scan.
    scan: u64,
    /// Changes found by this scan, by row name.
    changes: BTreeMap<String, Change<W>>,
}

#[derive(Debug)]
struct Row<W> {
    name: String,
    value: W,
    scan: u64,
}

/// Difference of a row's value from the scan before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change<W> {
    /// Value before; `None` for a new row.
    pub before: Option<W>,
    /// Value now; `None` for a removed row.
    pub is: Option<W>,
}

impl<W> Default for ChangeTracker<W> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            scan: 0,
            changes: BTreeMap::new(),
        }
    }
}

impl<W: Copy + PartialEq> ChangeTracker<W> {
    /// Scans all rows, given as number, name and value, and returns the changes by name.
    pub fn update<'a>(
        &mut self,
        rows: impl Iterator<Item = (usize, &'a str, W)>,
    ) -> BTreeMap<String, Change<W>> {
        self.scan += 1;
        for (at, name, value) in rows {
            self.update_row(at, name, value);
        }
        self.remove_unseen();
        let changes = std::mem::take(&mut self.changes);
        let differs = |c: &Change<W>| c.before != c.is;
        changes.into_iter().filter(|(_, c)| differs(c)).collect()
    }

    fn update_row(&mut self, at: usize, name: &str, value: W) {
        if self.rows.len() <= at {
            self.rows.resize_with(at + 1, || None);
        }
        let scan = self.scan;
        if let Some(row) = &mut self.rows[at]
            && row.name == name
        {
            let before = std::mem::replace(&mut row.value, value);
            row.scan = scan;
            if before != value {
                self.record(name, Some(before), Some(value));
            }
            return;
        }
        let name = name.to_owned();
        self.record(&name, None, Some(value));
        // The table reuses the number of a removed row for another row.
        if let Some(gone) = self.rows[at].replace(Row { name, value, scan }) {
            self.record(&gone.name, Some(gone.value), None);
        }
    }

    fn remove_unseen(&mut self) {
        let scan = self.scan;
        let mut gone = Vec::new();
        for slot in &mut self.rows {
            if slot.as_ref().is_some_and(|row| row.scan != scan) {
                gone.extend(slot.take());
            }
        }
        for row in gone {
            self.record(&row.name, Some(row.value), None);
        }
    }

    /// Records a change. A name that moves from one row to another counts as one change.
    fn record(&mut self, name: &str, before: Option<W>, is: Option<W>) {
        let change = self.changes.entry(name.to_owned()).or_insert(Change {
            before: None,
            is: None,
        });
        change.before = change.before.or(before);
        change.is = change.is.or(is);
    }
}
