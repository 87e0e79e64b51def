//! Publishes edits of the document. An edit and its audit row are written in one transaction.
//!
//! The head row names the version in force; the bodies of versions are immutable objects. An edit
//! replaces one section. Concurrent edits are serialized by a conditional write of the head row: an
//! edit that loses the race is rebased if the other one changed another section, and refused with the
//! difference if it changed the same section. docs/DESIGN.md, "Document", gives the argument.

use serde::{Deserialize, Serialize};

use crate::document::{Document, SECTIONS, Sections, difference};
use crate::envelope::Token;
use crate::era;
use crate::error::{Error, Invalid, Result, StoreError};
use crate::store::{Client, Commit, Row, Transaction};

/// The key of the head row, which names the version in force.
pub const HEAD_KEY: &str = "document/head";

/// The prefix of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// Maximum number of attempts to commit one edit, counting those after a lost answer or a race.
const MOST_TRIES: usize = 20;

/// The value of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version in force.
    pub version: u64,
    /// The name of the object that holds the [`Body`] of the version.
    pub object: String,
}

/// A version of the document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// The version number.
    pub version: u64,
    /// The sections of this version.
    pub sections: Sections,
}

/// The audit row of an accepted edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The version that the edit created.
    pub version: u64,
    /// Unique id of the edit. After a lost answer it shows whether the edit was committed.
    pub change: Token,
    /// The person who made the edit.
    pub who: String,
    /// The team of that person.
    pub team: String,
    /// The time of the edit, in seconds since 1970.
    pub time: u64,
    /// The names of the sections that the edit replaced.
    pub sections: Vec<String>,
    /// The changed lines, each with `-` or `+` before it.
    pub difference: String,
}

/// An edit to publish.
#[derive(Debug, Clone)]
pub struct Edit {
    /// The person who makes the edit.
    pub who: String,
    /// The team of that person.
    pub team: String,
    /// The time of the edit, in seconds since 1970.
    pub time: u64,
    /// What the edit replaces.
    pub scope: Scope,
    /// The new text.
    pub text: String,
    /// Unique id of the edit.
    pub change: Token,
}

/// What an edit replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The whole document, allowed only for the first version.
    Whole,
    /// One section.
    Section {
        /// The name of the section.
        name: String,
        /// The revision of the section that the edit is based on.
        expect: u64,
    },
}

/// A checked edit: the new body and the transaction that puts it in force.
#[derive(Debug, Clone)]
pub struct PreparedEdit {
    /// The body of the new version.
    pub body: Body,
    /// The name of the object for the body, which must be stored before the transaction is committed.
    pub object: String,
    /// The conditional write of the head row and the audit row.
    pub transaction: Transaction,
}

impl Edit {
    /// Checks the edit against the version in force and builds the transaction for it, without I/O.
    ///
    /// # Errors
    ///
    /// Returns an error if the resulting document is invalid, another team owns the section, or the
    /// section has been changed since the revision that the edit is based on.
    pub fn prepare(&self, head: Option<&Row>, current: Option<&Body>) -> Result<PreparedEdit> {
        self.prepare_in(0, head, current)
    }

    /// Prepares the edit as [`Self::prepare`] does, for a store in this [era]. Its version is higher than
    /// any of an earlier era: daemons may serve a version that the store has lost.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::prepare`].
    pub fn prepare_in(
        &self,
        era: u64,
        head: Option<&Row>,
        current: Option<&Body>,
    ) -> Result<PreparedEdit> {
        let version = era::next_version(current.map_or(0, |body| body.version), era);
        let mut sections = current.map(|body| body.sections.clone()).unwrap_or_default();
        let changed = match &self.scope {
            Scope::Whole => self.replace_whole(&mut sections, version)?,
            Scope::Section { name, expect } => {
                self.replace_section(&mut sections, name, *expect, version)?
            }
        };
        let before = current.map(|body| body.sections.join()).unwrap_or_default();
        let after = sections.join();
        Document::parse(&after, "the document with this edit")?;
        let object = format!("document-{version}-{}", self.change);
        let audit = Audit {
            version,
            change: self.change,
            who: self.who.clone(),
            team: self.team.clone(),
            time: self.time,
            sections: changed,
            difference: difference(&before, &after),
        };
        let head_version = head.map_or(0, |row| row.version);
        let audit_key = audit_key(version);
        let transaction = Transaction::default()
            .check(HEAD_KEY, head_version)
            .check(&audit_key, 0)
            .put(HEAD_KEY, &Head { version, object: object.clone() })
            .put(&audit_key, &audit);
        Ok(PreparedEdit { body: Body { version, sections }, object, transaction })
    }

    fn replace_whole(&self, sections: &mut Sections, version: u64) -> Result<Vec<String>> {
        if let Some((name, _)) = sections.iter().next() {
            let remedy = "apply one section with `--section NAME --expect REVISION`";
            return Err(self.invalid(name, "a document is in force already", remedy));
        }
        *sections = Sections::split(&self.text, "the document")?;
        let names: Vec<String> = sections.iter().map(|(name, _)| name.to_owned()).collect();
        for name in &names {
            let text = sections.get(name).map(|s| s.text.clone()).unwrap_or_default();
            sections.replace(name, &text, version);
        }
        Ok(names)
    }

    fn replace_section(
        &self,
        sections: &mut Sections,
        name: &str,
        expect: u64,
        version: u64,
    ) -> Result<Vec<String>> {
        if !SECTIONS.contains(&name) {
            let remedy = format!("use one of {}", SECTIONS.join(", "));
            return Err(self.invalid(name, "there is no such section", &remedy));
        }
        let Some(section) = sections.get(name) else {
            let remedy = "apply a whole document first, without --section";
            return Err(self.invalid(name, "no document is in force", remedy));
        };
        let document = Document::parse(&sections.join(), "the document in force")?;
        let owner = document.owners.get(name).map(|owner| owner.get_ref().clone());
        let owner = owner.unwrap_or_default();
        if owner != self.team {
            let (section, team) = (name.to_owned(), self.team.clone());
            return Err(Error::NotOwner { section, owner, team });
        }
        if section.revision != expect {
            return Err(Error::Conflict {
                section: name.to_owned(),
                expected: expect,
                found: section.revision,
                difference: difference(&section.text, &self.text),
            });
        }
        self.check_single_section(name)?;
        sections.replace(name, &self.text, version);
        Ok(vec![name.to_owned()])
    }

    /// Returns an error if the text contains entries of other sections.
    fn check_single_section(&self, name: &str) -> Result<()> {
        let table: toml::Table = self.text.parse().map_err(|error: toml::de::Error| {
            let problem = error.message().trim().replace('\n', " ");
            self.invalid(name, &problem, "correct the TOML")
        })?;
        match table.keys().find(|key| *key != name) {
            None => Ok(()),
            Some(other) => {
                let problem = format!("the text has entries of {other}");
                let remedy = format!("keep only entries below [{name}]");
                Err(self.invalid(name, &problem, &remedy))
            }
        }
    }

    fn invalid(&self, key: &str, problem: &str, remedy: &str) -> Error {
        Error::Invalid(Invalid {
            origin: "the edit".to_owned(),
            line: None,
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        })
    }
}

/// Publishes an edit and returns the version that it created.
///
/// # Errors
///
/// Returns the errors of [`Edit::prepare`], and a platform error if the platform cannot be reached.
/// After a lost answer the audit rows are read back, so an error means that the edit is not in force,
/// unless the error says that this is unknown.
pub async fn apply(platform: &Client, edit: &Edit) -> Result<u64> {
    let mut lost: Option<StoreError> = None;
    let mut base = None;
    for _ in 0..MOST_TRIES {
        let (head, current) = match read(platform).await {
            Ok(pair) => pair,
            Err(error) if lost.is_none() => return Err(error),
            Err(_) => {
                pause_before_retry().await;
                continue;
            }
        };
        let version = current.as_ref().map_or(0, |body| body.version);
        let base_version = *base.get_or_insert(version);
        if lost.is_some()
            && let Some(made) =
                find_version(platform, edit.change, base_version + 1, version).await?
        {
            return Ok(made);
        }
        let era = platform.era().number;
        let prepared = edit.prepare_in(era, head.as_ref(), current.as_ref())?;
        let body = serde_json::to_vec(&prepared.body).unwrap_or_default();
        platform.put_object(&prepared.object, &body.into()).await?;
        match platform.commit(&prepared.transaction).await {
            Ok(Commit::Done(_)) => return Ok(prepared.body.version),
            Ok(Commit::Conflict(_)) => {}
            Err(error @ StoreError::AnswerLost(_)) => {
                lost = Some(error);
                pause_before_retry().await;
            }
            Err(error) if lost.is_none() => return Err(error.into()),
            Err(_) => pause_before_retry().await,
        }
    }
    let too_many_races =
        StoreError::Refused("another edit was committed first in every attempt".to_owned());
    Err(lost.unwrap_or(too_many_races).into())
}

/// Reads the head row and the body that it names. Both are `None` before the first version.
///
/// # Errors
///
/// Returns a platform error if either cannot be read.
pub async fn read(platform: &Client) -> Result<(Option<Row>, Option<Body>)> {
    let Some(row) = platform.row(HEAD_KEY).await? else { return Ok((None, None)) };
    let head: Option<Head> = row.decode();
    let head =
        head.ok_or_else(|| StoreError::Refused("the head row cannot be decoded".to_owned()))?;
    let body = fetch(platform, &head).await?;
    Ok((Some(row), Some(body)))
}

/// Fetches the body that a head row names.
///
/// # Errors
///
/// Returns a platform error if the body cannot be read.
pub async fn fetch(platform: &Client, head: &Head) -> Result<Body> {
    let damaged =
        || StoreError::Refused(format!("object {} is missing or cannot be decoded", head.object));
    let object = platform.object(&head.object).await?.ok_or_else(damaged)?;
    Ok(serde_json::from_slice(&object).map_err(|_| damaged())?)
}

/// Returns the version from `first` to `last` that the edit with the id `change` created, or `None` if it
/// was not committed. Each attempt creates the version after the newest, so where a new era has begun in
/// between, only the first versions of either era have to be read.
async fn find_version(
    platform: &Client,
    change: Token,
    first: u64,
    last: u64,
) -> Result<Option<u64>> {
    let era_start = era::next_version(0, era::of_version(last)).max(first);
    let keys = (era_start..=last).chain(std::iter::once(first)).map(audit_key);
    let rows = platform.rows(&keys.collect::<Vec<_>>()).await?;
    let audits = rows.iter().filter_map(Row::decode::<Audit>);
    Ok(audits.into_iter().find(|audit| audit.change == change).map(|audit| audit.version))
}

fn audit_key(version: u64) -> String {
    format!("{AUDIT_PREFIX}{version:010}")
}

async fn pause_before_retry() {
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
}
