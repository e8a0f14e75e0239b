//! What operators declare of a site: pools, services, racks of hosts, teams, power.
//!
//! [`read`] takes a file apart; [`write`](mod@write) makes one from a configuration.

mod read;
mod write;

use std::{io, path::Path};

use borageswitch_types::fleet::SiteConfig;

use crate::{problems::Problems, reader};

/// Reads and checks a site's settings.
///
/// # Errors
///
/// Every problem of the file.
pub fn load(path: &Path) -> Result<SiteConfig, Problems> {
    reader::read_file(path, read::read_site)
}

/// Reads and checks a site's settings from a text.
///
/// # Errors
///
/// Every problem of the text; `file` names it.
pub fn parse(file: &Path, text: &str) -> Result<SiteConfig, Problems> {
    reader::read_text(file, text, read::read_site)
}

/// Writes a site's settings so that [`load`] reads the same again.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write(path: &Path, config: &SiteConfig) -> io::Result<()> {
    std::fs::write(path, write::to_text(config))
}

/// A site's settings as the text that [`parse`] reads again.
pub fn to_text(config: &SiteConfig) -> String {
    write::to_text(config)
}
