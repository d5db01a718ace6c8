//! A table whose rows have a name and a number that is stable during the row's lifetime.

use std::collections::HashMap;

/// Named rows; the numbers of removed rows are reused.
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

    /// Returns whether a number denotes a row.
    #[must_use]
    pub fn contains(&self, row: usize) -> bool {
        self.slots.get(row).is_some_and(Option::is_some)
    }

    /// Returns an existing row.
    ///
    /// # Panics
    ///
    /// Panics if the row was removed; rows that are referred to never are.
    #[must_use]
    pub fn get(&self, row: usize) -> &R {
        self.slots[row]
            .as_ref()
            .expect("a referenced row must not be removed")
    }

    /// Returns an existing row for changes.
    ///
    /// # Panics
    ///
    /// Panics if the row was removed; rows that are referred to never are.
    pub fn get_mut(&mut self, row: usize) -> &mut R {
        self.slots[row]
            .as_mut()
            .expect("a referenced row must not be removed")
    }

    /// Finds a row by name, or adds the one that `make` returns.
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

    /// Releases a row's name for use by another row; the row remains under its number.
    pub fn detach(&mut self, name: &str) -> Option<usize> {
        self.by_name.remove(name)
    }

    /// Removes the rows for which `drop`, given the number and the row, returns true.
    pub fn remove_if(&mut self, mut drop: impl FnMut(usize, &R) -> bool) {
        let before = self.free.len();
        for (row, slot) in self.slots.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(|kept| drop(row, kept)) {
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

    /// Iterates over the rows with their numbers, in the order of the numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &R)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, r)| Some((i, r.as_ref()?)))
    }

    /// Iterates over the rows for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut R)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(i, r)| Some((i, r.as_mut()?)))
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
