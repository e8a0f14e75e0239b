//! What is wrong with a settings file.

use std::{fmt, path::PathBuf};

/// One wrong field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The way to the field, such as `services.payroll.limits.queue_len`; empty for the whole file.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Everything that is wrong with a file; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    /// The file.
    pub file: PathBuf,
    /// What is wrong, in the order of the file's checks.
    pub list: Vec<Problem>,
}

impl Problems {
    /// A file that is wrong as a whole.
    pub fn whole<T>(file: PathBuf, reason: T) -> Self
    where
        T: Into<String>,
    {
        Self { file, list: vec![Problem { field: String::new(), reason: reason.into() }] }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.list.iter().enumerate() {
            let line_end = if i + 1 == self.list.len() { "" } else { "\n" };
            let file = self.file.display();
            match problem.field.as_str() {
                "" => write!(f, "{file}: {}{line_end}", problem.reason)?,
                field => write!(f, "{file}: {field}: {}{line_end}", problem.reason)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
