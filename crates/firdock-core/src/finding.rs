//! Findings about invalid input, collected with their location and reported together.
//!
//! An operator who corrects a file wants to see all errors at once, so checks add findings here
//! instead of stopping at the first (see `docs/design/style.md`).

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// One error in a settings file, a resource file or a request to the resource API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line in the source, counted from 1; `None` if the input has no lines (JSON bodies).
    pub line: Option<usize>,
    /// Path of the field, such as `limits.max_held`; empty for the input as a whole.
    pub path: String,
    /// Description of the error and of the expected value.
    pub message: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// A list of findings, filled by checks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding at `path`, with its line if the input has lines.
    pub fn add(&mut self, line: Option<usize>, path: impl Into<String>, msg: impl Into<String>) {
        self.0.push(Finding {
            line,
            path: path.into(),
            message: msg.into(),
        });
    }

    /// Adds all findings of another check.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Sets the line of each finding that has none, looked up by its path.
    pub fn locate(&mut self, line_of: impl Fn(&str) -> Option<usize>) {
        for finding in self.0.iter_mut().filter(|f| f.line.is_none()) {
            finding.line = line_of(&finding.path);
        }
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it has at least one finding.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(finding, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
