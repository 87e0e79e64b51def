//! Splits a document into the texts of its sections. Sections are stored as text, so that an edit of one
//! preserves the comments and the layout of all.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Document;
use crate::error::{Invalid, Result};

/// The names of the sections, in the order in which [`Sections::join`] writes them.
pub const SECTIONS: [&str; 6] =
    ["owners", "limits", "failure_domains", "services", "customers", "routes"];

/// The text and the revision of each section.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Sections {
    parts: BTreeMap<String, Section>,
}

/// The text of one section, and the document version that last changed it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// The version of the document that last changed this section.
    pub revision: u64,
    /// The TOML of the section, with its comments.
    pub text: String,
}

impl Sections {
    /// Validates a document and splits it at its table headers. Comments and blank lines belong to the
    /// section of the next line that is neither; those at the end of the text to the last section.
    ///
    /// # Errors
    ///
    /// Returns an error when the document is invalid, or when its sections, joined again, would not
    /// parse to the same values: editing one section alone could then lose text of another.
    pub fn split(text: &str, origin: &str) -> Result<Self> {
        Document::parse(text, origin)?;
        let mut parts: BTreeMap<String, Section> = BTreeMap::new();
        let mut pending = String::new();
        let mut current: Option<String> = None;
        for line in text.lines() {
            let trimmed = line.trim();
            if let Some(name) = section_of_header(trimmed) {
                current = Some(name.to_owned());
            }
            if trimmed.is_empty() || trimmed.starts_with('#') || current.is_none() {
                pending.push_str(line);
                pending.push('\n');
                continue;
            }
            let name = current.clone().unwrap_or_default();
            let part = &mut parts.entry(name).or_default().text;
            part.push_str(&std::mem::take(&mut pending));
            part.push_str(line);
            part.push('\n');
        }
        if let Some(part) = current.and_then(|name| parts.get_mut(&name)) {
            part.text.push_str(&pending);
        }
        let sections = Self { parts };
        sections.check_lossless(text, origin)?;
        Ok(sections)
    }

    /// Returns the section with this name, if the document contains it.
    pub fn get(&self, name: &str) -> Option<&Section> {
        self.parts.get(name)
    }

    /// Returns the sections and their names in the order of [`SECTIONS`].
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &Section)> {
        SECTIONS.iter().filter_map(|name| Some((*name, self.parts.get(*name)?)))
    }

    /// Replaces the text of one section; `revision` is the version of the document that changes it.
    pub fn replace(&mut self, name: &str, text: &str, revision: u64) {
        let section = Section { revision, text: text.to_owned() };
        self.parts.insert(name.to_owned(), section);
    }

    /// Returns the text of the whole document.
    pub fn join(&self) -> String {
        self.iter().map(|(_, section)| section.text.as_str()).collect()
    }

    /// Checks that the joined sections parse to the same values as the original `text`.
    fn check_lossless(&self, text: &str, origin: &str) -> Result<()> {
        let original: Option<toml::Table> = text.parse().ok();
        let joined: Option<toml::Table> = self.join().parse().ok();
        if original == joined {
            return Ok(());
        }
        let invalid = Invalid {
            origin: origin.to_owned(),
            line: None,
            key: String::new(),
            problem: "the document cannot be split into sections without loss".to_owned(),
            remedy: "write every entry under a header such as [customers.NAME], and no header \
                     inside a multi-line string"
                .to_owned(),
        };
        Err(invalid.into())
    }
}

/// Returns the name of the section to which a header line such as `[customers.acme]` belongs.
fn section_of_header(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    let end = inner.find(['.', ']'])?;
    let name = inner[..end].trim().trim_matches('"');
    SECTIONS.contains(&name).then_some(name)
}

/// Returns the lines that differ between two texts, regardless of their order: `-` marks lines that only
/// `old` contains, `+` those that only `new` contains.
pub fn difference(old: &str, new: &str) -> String {
    let count_lines = |text: &str| {
        let mut lines = BTreeMap::new();
        for line in text.lines() {
            *lines.entry(line.to_owned()).or_insert(0_i64) += 1;
        }
        lines
    };
    let (mut new_counts, mut old_counts) = (count_lines(new), count_lines(old));
    let lines_missing_in = |text: &str, counts: &mut BTreeMap<String, i64>, prefix: char| {
        let mut out = String::new();
        for line in text.lines() {
            let remaining = counts.entry(line.to_owned()).or_insert(0);
            *remaining -= 1;
            if *remaining < 0 {
                out.push_str(&format!("{prefix} {line}\n"));
            }
        }
        out
    };
    lines_missing_in(old, &mut new_counts, '-') + &lines_missing_in(new, &mut old_counts, '+')
}
