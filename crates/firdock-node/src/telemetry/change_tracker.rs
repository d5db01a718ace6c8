//! What was last seen of the rows of a table, so that a look costs what changed since the one before.
//!
//! An instance knows thousands of endpoints, of which few change between two looks: to build their list
//! anew at each look costs more than all else that it does when calm.

use std::collections::BTreeMap;

/// What was last seen of each row, by the row's number.
#[derive(Debug)]
pub struct ChangeTracker<W> {
    rows: Vec<Option<Row<W>>>,
    /// Number of the present look.
    look: u64,
    /// What changed at this look, by the row's name.
    changes: BTreeMap<String, Change<W>>,
}

#[derive(Debug)]
struct Row<W> {
    name: String,
    word: W,
    look: u64,
}

/// How what is seen of a row differs from the look before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change<W> {
    /// What was seen before; `None` for a new row.
    pub before: Option<W>,
    /// What is seen now; `None` for a row that is gone.
    pub is: Option<W>,
}

impl<W> Default for ChangeTracker<W> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            look: 0,
            changes: BTreeMap::new(),
        }
    }
}

impl<W: Copy + PartialEq> ChangeTracker<W> {
    /// Looks at all rows, which are given with their numbers, names and what is to be seen of each;
    /// gives what changed, by name.
    pub fn look<'a>(
        &mut self,
        rows: impl Iterator<Item = (usize, &'a str, W)>,
    ) -> BTreeMap<String, Change<W>> {
        self.look += 1;
        for (at, name, word) in rows {
            self.see(at, name, word);
        }
        self.drop_unseen();
        let changes = std::mem::take(&mut self.changes);
        let differs = |c: &Change<W>| c.before != c.is;
        changes.into_iter().filter(|(_, c)| differs(c)).collect()
    }

    fn see(&mut self, at: usize, name: &str, word: W) {
        if self.rows.len() <= at {
            self.rows.resize_with(at + 1, || None);
        }
        let look = self.look;
        if let Some(row) = &mut self.rows[at]
            && row.name == name
        {
            let before = std::mem::replace(&mut row.word, word);
            row.look = look;
            if before != word {
                self.note(name, Some(before), Some(word));
            }
            return;
        }
        let name = name.to_owned();
        self.note(&name, None, Some(word));
        // A number is used again by another row once its own is gone.
        if let Some(gone) = self.rows[at].replace(Row { name, word, look }) {
            self.note(&gone.name, Some(gone.word), None);
        }
    }

    fn drop_unseen(&mut self) {
        let look = self.look;
        let mut gone = Vec::new();
        for slot in &mut self.rows {
            if slot.as_ref().is_some_and(|row| row.look != look) {
                gone.extend(slot.take());
            }
        }
        for row in gone {
            self.note(&row.name, Some(row.word), None);
        }
    }

    /// Notes a change; a name that goes with one row and comes with another changes once.
    fn note(&mut self, name: &str, before: Option<W>, is: Option<W>) {
        let change = self.changes.entry(name.to_owned()).or_insert(Change {
            before: None,
            is: None,
        });
        change.before = change.before.or(before);
        change.is = change.is.or(is);
    }
}
