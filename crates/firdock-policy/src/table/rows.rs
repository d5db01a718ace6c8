//! A table whose rows have a name and a number that stays the same while the row lives.

use std::collections::HashMap;

/// Rows with names; numbers of removed rows are used again.
#[derive(Debug)]
pub struct Rows<R> {
    slots: Vec<Option<R>>,
    free: Vec<usize>,
    by_name: HashMap<String, usize>,
}

impl<R> Default for Rows<R> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            by_name: HashMap::new(),
        }
    }
}

impl<R> Rows<R> {
    /// Finds a row's number by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Gives a row that is known to live.
    ///
    /// # Panics
    ///
    /// Panics if the row was removed, which only happens to rows that nothing refers to.
    #[must_use]
    pub fn get(&self, row: usize) -> &R {
        self.slots[row]
            .as_ref()
            .expect("a row that is referred to is never removed")
    }

    /// Gives a row that is known to live, to change it.
    ///
    /// # Panics
    ///
    /// Panics if the row was removed, which only happens to rows that nothing refers to.
    pub fn get_mut(&mut self, row: usize) -> &mut R {
        self.slots[row]
            .as_mut()
            .expect("a row that is referred to is never removed")
    }

    /// Finds a row by name, or adds the one that `make` gives.
    pub fn find_or_add(&mut self, name: &str, make: impl FnOnce() -> R) -> usize {
        if let Some(row) = self.find(name) {
            return row;
        }
        let row = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[row] = Some(make());
        self.by_name.insert(name.to_owned(), row);
        row
    }

    /// Takes a row's name away, so that another row may have it; the row lives on under its number.
    pub fn detach(&mut self, name: &str) -> Option<usize> {
        self.by_name.remove(name)
    }

    /// Removes the rows for which `drop` says so.
    pub fn remove_if(&mut self, mut drop: impl FnMut(&R) -> bool) {
        let before = self.free.len();
        for (row, slot) in self.slots.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(&mut drop) {
                *slot = None;
                self.free.push(row);
            }
        }
        if self.free.len() == before {
            return;
        }
        let slots = &self.slots;
        self.by_name.retain(|_, row| slots[*row].is_some());
    }

    /// Goes over the living rows with their numbers, in the order of the numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &R)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, r)| Some((i, r.as_ref()?)))
    }

    /// Goes over the living rows, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut R)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(i, r)| Some((i, r.as_mut()?)))
    }

    /// Counts the living rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Tells whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
