//! One document as sections of text, so that an edit of one keeps the comments of all.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Document;
use crate::error::{Invalid, Result};

/// The sections of a document, in the order in which they are written.
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
    /// TOML with its comments.
    pub text: String,
}

impl Sections {
    /// Splits a checked document at its top-level headers. Comments go with the header below them.
    ///
    /// # Errors
    ///
    /// Returns the mistake when the document is invalid, or when text of one section stands where it
    /// would be lost by editing that section alone.
    pub fn split(text: &str, origin: &str) -> Result<Self> {
        Document::parse(text, origin)?;
        let mut parts: BTreeMap<String, Section> = BTreeMap::new();
        let mut pending = String::new();
        let mut current: Option<String> = None;
        for line in text.lines() {
            let trimmed = line.trim();
            if let Some(name) = header(trimmed) {
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
        sections.same_as(text, origin)?;
        Ok(sections)
    }

    /// The section called `name`, if the document has it.
    pub fn get(&self, name: &str) -> Option<&Section> {
        self.parts.get(name)
    }

    /// The names and sections in writing order.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, &Section)> {
        SECTIONS.iter().filter_map(|name| Some((*name, self.parts.get(*name)?)))
    }

    /// Replaces one section's text and notes the version that did it.
    pub fn replace(&mut self, name: &str, text: &str, revision: u64) {
        let section = Section { revision, text: text.to_owned() };
        self.parts.insert(name.to_owned(), section);
    }

    /// The whole document.
    pub fn join(&self) -> String {
        self.iter().map(|(_, section)| section.text.as_str()).collect()
    }

    fn same_as(&self, text: &str, origin: &str) -> Result<()> {
        let whole: Option<toml::Table> = text.parse().ok();
        let joined: Option<toml::Table> = self.join().parse().ok();
        if whole == joined {
            return Ok(());
        }
        let invalid = Invalid {
            origin: origin.to_owned(),
            line: None,
            key: String::new(),
            problem: "the document cannot be cut into sections".to_owned(),
            remedy: "write every entry under a header such as [customers.NAME], and no header \
                     inside a multi-line string"
                .to_owned(),
        };
        Err(invalid.into())
    }
}

/// The section that a header line such as `[customers.acme]` opens.
fn header(line: &str) -> Option<&str> {
    let inner = line.strip_prefix('[')?;
    let end = inner.find(['.', ']'])?;
    let name = inner[..end].trim().trim_matches('"');
    SECTIONS.contains(&name).then_some(name)
}

/// The lines that differ between two texts: `-` is only in `old`, `+` only in `new`.
pub fn difference(old: &str, new: &str) -> String {
    let count = |text: &str| {
        let mut lines = BTreeMap::new();
        for line in text.lines() {
            *lines.entry(line.to_owned()).or_insert(0_i64) += 1;
        }
        lines
    };
    let (mut left, mut right) = (count(new), count(old));
    let only = |text: &str, other: &mut BTreeMap<String, i64>, mark: char| {
        let mut out = String::new();
        for line in text.lines() {
            let seen = other.entry(line.to_owned()).or_insert(0);
            *seen -= 1;
            if *seen < 0 {
                out.push_str(&format!("{mark} {line}\n"));
            }
        }
        out
    };
    only(old, &mut left, '-') + &only(new, &mut right, '+')
}
