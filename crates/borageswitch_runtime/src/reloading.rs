//! Reloads the settings while the daemon runs.
//!
//! The file may change without a signal, so it is read every few seconds. A file with errors has no
//! effect: the daemon keeps its current settings.

use std::{
    fs,
    path::{Path, PathBuf},
};

use borageswitch_settings::problems::Problems;

use crate::settings::{self, Settings};

/// A change of the settings of a running daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The new settings.
    pub settings: Settings,
    /// Changed fields that take effect at once.
    pub applied: Vec<&'static str>,
    /// Changed fields that take effect at the next start.
    pub deferred: Vec<&'static str>,
}

impl SettingsChange {
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

/// Watches a settings file for changes.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    text: String,
    settings: Settings,
}

impl SettingsWatcher {
    /// Watches the file from which `settings` were read.
    pub fn new(path: &Path, settings: Settings) -> Self {
        Self { path: path.to_owned(), text: String::new(), settings }
    }

    /// Reads the file again. Gives `None` if the settings have not changed since the last time.
    ///
    /// # Errors
    ///
    /// Every problem of the file; the settings stay as they were.
    pub fn poll(&mut self) -> Result<Option<SettingsChange>, Problems> {
        // A file that is being replaced may be missing for a moment; the next poll reads it.
        let Ok(text) = fs::read_to_string(&self.path) else { return Ok(None) };
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        let new = settings::parse(&self.path, &self.text)?;
        if new == self.settings {
            return Ok(None);
        }
        let change = SettingsChange::between(&self.settings, new);
        self.settings = change.settings.clone();
        Ok(Some(change))
    }
}

#[cfg(test)]
mod tests;
