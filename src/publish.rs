//! Edits of the document: accepted in one transaction with their audit row.
//!
//! The head row names the version in force; bodies are immutable objects. An edit replaces one section.
//! Races are settled by a conditional write on the head: another section's change is rebased, the same
//! section's is refused with the difference. docs/DESIGN.md, "Document", gives the argument.

use serde::{Deserialize, Serialize};

use crate::document::{Document, SECTIONS, Sections, difference};
use crate::envelope::Token;
use crate::error::{Error, Invalid, Result, StoreError};
use crate::store::{Client, Commit, Row, Transaction};

/// The row that names the version in force.
pub const HEAD_KEY: &str = "document/head";

/// The prefix of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// How often an edit is tried again after a lost answer or a race.
const MOST_TRIES: usize = 20;

/// The row that names the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: u64,
    /// The object that holds its [`Body`].
    pub object: String,
}

/// One version of the document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// The version.
    pub version: u64,
    /// Its sections.
    pub sections: Sections,
}

/// One accepted edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The version that the edit made.
    pub version: u64,
    /// Tells this edit from every other, so that a lost answer can be resolved.
    pub change: Token,
    /// Who made it.
    pub who: String,
    /// The team that made it.
    pub team: String,
    /// Seconds since 1970.
    pub time: u64,
    /// The sections that it replaced.
    pub sections: Vec<String>,
    /// The lines that it changed.
    pub difference: String,
}

/// An edit that is to be accepted.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Who makes it.
    pub who: String,
    /// The team that makes it.
    pub team: String,
    /// Seconds since 1970.
    pub time: u64,
    /// What it replaces.
    pub scope: Scope,
    /// The new text.
    pub text: String,
    /// Tells this edit from every other.
    pub change: Token,
}

/// What an edit replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The whole document, allowed only for the first version.
    Whole,
    /// One section.
    Section {
        /// Its name.
        name: String,
        /// The revision that the edit was made from.
        expect: u64,
    },
}

/// What a step of an edit leads to: a new body and the transaction that puts it in force.
#[derive(Debug, Clone)]
pub struct PreparedEdit {
    /// The new version.
    pub body: Body,
    /// The name of its object, which must be stored first.
    pub object: String,
    /// The transaction on head and audit rows.
    pub transaction: Transaction,
}

impl Edit {
    /// Decides about the edit on top of what is in force. It does no I/O.
    ///
    /// # Errors
    ///
    /// Returns an error when the result would be invalid, another team owns the section, or the same
    /// section was changed first.
    pub fn prepare(&self, head: Option<&Row>, current: Option<&Body>) -> Result<PreparedEdit> {
        let version = current.map_or(0, |body| body.version) + 1;
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
        self.only_section(name)?;
        sections.replace(name, &self.text, version);
        Ok(vec![name.to_owned()])
    }

    /// Refuses a text that would change other sections too.
    fn only_section(&self, name: &str) -> Result<()> {
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

/// Carries an edit to the platform and returns the version that it made.
///
/// # Errors
///
/// As [`Edit::step`], and a platform error when the platform cannot be reached. After a lost answer it
/// reads back, so an error means that the edit is not in force unless it says that this is unknown.
pub async fn apply(platform: &Client, edit: &Edit) -> Result<u64> {
    let mut lost: Option<StoreError> = None;
    let mut base = None;
    for _ in 0..MOST_TRIES {
        let (head, current) = match read(platform).await {
            Ok(pair) => pair,
            Err(error) if lost.is_none() => return Err(error),
            Err(_) => {
                pause().await;
                continue;
            }
        };
        let version = current.as_ref().map_or(0, |body| body.version);
        let first = *base.get_or_insert(version);
        if lost.is_some()
            && let Some(made) = find(platform, edit.change, first + 1..=version).await?
        {
            return Ok(made);
        }
        let step = edit.prepare(head.as_ref(), current.as_ref())?;
        let body = serde_json::to_vec(&step.body).unwrap_or_default();
        platform.put_object(&step.object, &body.into()).await?;
        match platform.commit(&step.transaction).await {
            Ok(Commit::Done(_)) => return Ok(step.body.version),
            Ok(Commit::Conflict(_)) => {}
            Err(error @ StoreError::AnswerLost(_)) => {
                lost = Some(error);
                pause().await;
            }
            Err(error) if lost.is_none() => return Err(error.into()),
            Err(_) => pause().await,
        }
    }
    let raced = StoreError::Refused("other edits kept coming first".to_owned());
    Err(lost.unwrap_or(raced).into())
}

/// Reads the head row and the body that it names.
///
/// # Errors
///
/// Returns a platform error when either cannot be read.
pub async fn read(platform: &Client) -> Result<(Option<Row>, Option<Body>)> {
    let Some(row) = platform.row(HEAD_KEY).await? else { return Ok((None, None)) };
    let head: Option<Head> = row.decode();
    let head = head.ok_or_else(|| StoreError::Refused("the head row is damaged".to_owned()))?;
    let body = fetch(platform, &head).await?;
    Ok((Some(row), Some(body)))
}

/// Fetches the body that a head row names.
///
/// # Errors
///
/// Returns a platform error when it cannot be read.
pub async fn fetch(platform: &Client, head: &Head) -> Result<Body> {
    let damaged = || StoreError::Refused(format!("object {} is missing or damaged", head.object));
    let object = platform.object(&head.object).await?.ok_or_else(damaged)?;
    Ok(serde_json::from_slice(&object).map_err(|_| damaged())?)
}

/// Finds the version that an edit made, if it took effect.
async fn find(
    platform: &Client,
    change: Token,
    versions: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>> {
    let rows = platform.rows(&versions.map(audit_key).collect::<Vec<_>>()).await?;
    let audits = rows.iter().filter_map(Row::decode::<Audit>);
    Ok(audits.into_iter().find(|audit| audit.change == change).map(|audit| audit.version))
}

fn audit_key(version: u64) -> String {
    format!("{AUDIT_PREFIX}{version:010}")
}

async fn pause() {
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
}
