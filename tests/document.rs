//! Concurrent edits of the document and lost answers: versions only grow, each accepted edit is applied
//! and audited exactly once, and no edit silently overwrites another.

use gypsumtack::document::Sections;
use gypsumtack::envelope::Token;
use gypsumtack::error::Error;
use gypsumtack::publish::{AUDIT_PREFIX, Audit, Body, Edit, HEAD_KEY, Head, PreparedEdit, Scope};
use gypsumtack::store::{Commit, Row};
use gypsumtack_standin::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DOCUMENT: &str = include_str!("documents/whole.toml");

struct Publisher {
    table: Table,
    bodies: std::collections::BTreeMap<String, Body>,
    rng: SmallRng,
}

impl Publisher {
    fn new() -> Self {
        let rng = SmallRng::seed_from_u64(3);
        let mut publisher = Self { table: Table::default(), bodies: Default::default(), rng };
        let whole = format!("[limits]\nqueue_ms = 1\n{DOCUMENT}");
        let edit = publisher.edit(&whole, Scope::Whole);
        publisher.commit(&publisher.prepare(&edit).unwrap());
        publisher
    }

    fn edit(&mut self, text: &str, scope: Scope) -> Edit {
        let change = Token::random(&mut self.rng);
        let (who, team, text) = ("amal".to_owned(), "ops".to_owned(), text.to_owned());
        Edit { who, team, time: 0, scope, text, change }
    }

    fn current(&self) -> (Option<Row>, Option<Body>) {
        let row = self.table.row(HEAD_KEY).cloned();
        let head: Option<Head> = row.as_ref().and_then(Row::decode);
        (row, head.and_then(|head| self.bodies.get(&head.object).cloned()))
    }

    fn prepare(&self, edit: &Edit) -> Result<PreparedEdit, Error> {
        let (row, body) = self.current();
        edit.prepare(row.as_ref(), body.as_ref())
    }

    fn commit(&mut self, step: &PreparedEdit) -> bool {
        self.bodies.insert(step.object.clone(), step.body.clone());
        matches!(self.table.commit(&step.transaction), Commit::Done(_))
    }

    fn sections(&self) -> Sections {
        self.current().1.unwrap().sections
    }

    fn audits(&self) -> Vec<Audit> {
        self.table.scan(AUDIT_PREFIX).filter_map(Row::decode).collect()
    }
}

fn limits(value: u64) -> String {
    format!("[limits]\nqueue_ms = {value}\n")
}

fn domains(value: u64) -> String {
    format!("[failure_domains.a]\nregion = \"r{value}\"\n")
}

fn edit_section(publisher: &mut Publisher, section: &str, value: u64) -> Edit {
    let text = if section == "limits" { limits(value) } else { domains(value) };
    let expect = publisher.sections().get(section).unwrap().revision;
    publisher.edit(&text, Scope::Section { name: section.to_owned(), expect })
}

#[test]
fn an_edit_of_another_section_is_rebased_and_one_of_the_same_section_is_refused() {
    let mut publisher = Publisher::new();
    let first = edit_section(&mut publisher, "limits", 2);
    let same_section = edit_section(&mut publisher, "limits", 3);
    let other_section = edit_section(&mut publisher, "failure_domains", 4);
    let (stale, late) =
        (publisher.prepare(&other_section).unwrap(), publisher.prepare(&same_section).unwrap());
    let step = publisher.prepare(&first).unwrap();
    assert!(publisher.commit(&step));
    assert!(!publisher.commit(&stale), "the head row has changed since the edit was prepared");
    assert!(!publisher.commit(&late), "the head row has changed since the edit was prepared");
    let rebased = publisher.prepare(&other_section).unwrap();
    assert!(publisher.commit(&rebased));
    let Err(Error::Conflict { found, difference, .. }) = publisher.prepare(&same_section) else {
        panic!("the second edit of the same section was accepted");
    };
    assert_eq!(found, 2);
    assert_eq!(difference, "- queue_ms = 2\n+ queue_ms = 3\n");
    let text = publisher.sections().join();
    assert!(text.contains("queue_ms = 2") && text.contains("r4"), "{text}");
}

#[test]
fn only_the_owner_may_change_a_section() {
    let mut publisher = Publisher::new();
    let edit = Edit { team: "another".to_owned(), ..edit_section(&mut publisher, "limits", 2) };
    assert!(matches!(publisher.prepare(&edit), Err(Error::NotOwner { .. })));
    let invalid = edit_section(&mut publisher, "limits", 0);
    assert!(matches!(publisher.prepare(&invalid), Err(Error::Invalid(_))));
    assert_eq!(publisher.audits().len(), 1);
}

/// An action of one editor: prepare an edit of a section (of `limits` if true, of `failure_domains`
/// otherwise), or try to commit the edit that it prepared.
#[derive(Debug, Clone)]
enum Action {
    Prepare(usize, bool),
    Commit(usize),
}

#[test]
fn racing_editors_lose_no_edit_and_no_version() {
    let actions = prop_oneof![
        (0..3_usize, any::<bool>()).prop_map(|(editor, limits)| Action::Prepare(editor, limits)),
        (0..3_usize).prop_map(Action::Commit),
    ];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(actions, 1..40), |actions| {
        let mut publisher = Publisher::new();
        let mut prepared: [Option<PreparedEdit>; 3] = [None, None, None];
        let (mut accepted, mut value) = (vec![1_u64], 10);
        for action in actions {
            match action {
                Action::Prepare(editor, limits) => {
                    value += 1;
                    let section = if limits { "limits" } else { "failure_domains" };
                    let edit = edit_section(&mut publisher, section, value);
                    prepared[editor] = publisher.prepare(&edit).ok();
                }
                Action::Commit(editor) => {
                    let Some(edit) = prepared[editor].take() else { continue };
                    let before = publisher.sections();
                    if !publisher.commit(&edit) {
                        prop_assert_eq!(&publisher.sections(), &before);
                        continue;
                    }
                    let last = accepted[accepted.len() - 1];
                    prop_assert_eq!(edit.body.version, last + 1);
                    accepted.push(edit.body.version);
                    // Committing the same transaction again, as after a lost answer, changes nothing.
                    let again = publisher.commit(&edit);
                    prop_assert!(!again);
                }
            }
        }
        let audited: Vec<u64> = publisher.audits().iter().map(|audit| audit.version).collect();
        prop_assert_eq!(audited, accepted);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
