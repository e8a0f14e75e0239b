//! Settings that change while the daemon runs.
//!
//! The file may change with a signal or without one, so it is read every few seconds. A file with a
//! mistake changes nothing: the daemon goes on with what it has.

use std::{
    fs,
    path::{Path, PathBuf},
};

use borageswitch_settings::problems::Problems;

use crate::settings::{self, Settings};

/// What a changed file means for a running daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The settings as the file has them now.
    pub settings: Settings,
    /// Fields that have changed and take effect at once.
    pub applied: Vec<&'static str>,
    /// Fields that have changed and take effect at the next start.
    pub deferred: Vec<&'static str>,
}

impl Change {
    /// Compares two versions of a daemon's settings.
    pub fn between(old: &Settings, new: Settings) -> Self {
        let changed = |fields: &[(&'static str, bool)]| {
            fields.iter().filter(|(_, changed)| *changed).map(|(field, _)| *field).collect()
        };
        let applied = changed(&[
            ("platform", old.platform != new.platform),
            ("log_level", old.log_level != new.log_level),
        ]);
        let deferred = changed(&[
            ("name", old.name != new.name),
            ("data_centre", old.data_centre != new.data_centre),
            ("cores", old.cores != new.cores),
            ("listen", old.listen != new.listen),
            ("promises", old.promises != new.promises),
        ]);
        Self { settings: new, applied, deferred }
    }
}

/// Follows a settings file.
#[derive(Debug)]
pub struct Follower {
    path: PathBuf,
    text: String,
    settings: Settings,
}

impl Follower {
    /// Follows the file from which `settings` were read.
    pub fn new(path: &Path, settings: Settings) -> Self {
        Self { path: path.to_owned(), text: String::new(), settings }
    }

    /// Reads the file again. Nothing if it has not changed since the last time.
    ///
    /// # Errors
    ///
    /// Every problem of the file; the settings stay as they were.
    pub fn poll(&mut self) -> Result<Option<Change>, Problems> {
        // A file that is being replaced may be missing for a moment; it is read again soon.
        let Ok(text) = fs::read_to_string(&self.path) else { return Ok(None) };
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        let new = settings::parse(&self.path, &self.text)?;
        if new == self.settings {
            return Ok(None);
        }
        let change = Change::between(&self.settings, new);
        self.settings = change.settings.clone();
        Ok(Some(change))
    }
}

#[cfg(test)]
mod tests;
