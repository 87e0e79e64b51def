//! History check of the document: editors race and answers are lost. Versions only grow, each
//! accepted edit is in force and in the audit trail once, and no edit undoes another unseen.

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

struct World {
    table: Table,
    bodies: std::collections::BTreeMap<String, Body>,
    rng: SmallRng,
}

impl World {
    fn new() -> Self {
        let rng = SmallRng::seed_from_u64(3);
        let mut world = Self { table: Table::default(), bodies: Default::default(), rng };
        let whole = format!("[limits]\nqueue_ms = 1\n{DOCUMENT}");
        let edit = world.edit(&whole, Scope::Whole);
        world.commit(&world.prepare(&edit).unwrap());
        world
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

fn edit_of(world: &mut World, section: &str, value: u64) -> Edit {
    let text = if section == "limits" { limits(value) } else { domains(value) };
    let expect = world.sections().get(section).unwrap().revision;
    world.edit(&text, Scope::Section { name: section.to_owned(), expect })
}

#[test]
fn another_sections_edit_is_rebased_and_the_same_sections_is_refused() {
    let mut world = World::new();
    let first = edit_of(&mut world, "limits", 2);
    let same = edit_of(&mut world, "limits", 3);
    let other = edit_of(&mut world, "failure_domains", 4);
    let (stale, late) = (world.prepare(&other).unwrap(), world.prepare(&same).unwrap());
    let step = world.prepare(&first).unwrap();
    assert!(world.commit(&step));
    assert!(!world.commit(&stale), "the head has moved");
    assert!(!world.commit(&late), "the head has moved");
    let rebased = world.prepare(&other).unwrap();
    assert!(world.commit(&rebased));
    let Err(Error::Conflict { found, difference, .. }) = world.prepare(&same) else {
        panic!("the second edit of one section passed");
    };
    assert_eq!(found, 2);
    assert_eq!(difference, "- queue_ms = 2\n+ queue_ms = 3\n");
    let text = world.sections().join();
    assert!(text.contains("queue_ms = 2") && text.contains("r4"), "{text}");
}

#[test]
fn only_the_owner_may_change_a_section() {
    let mut world = World::new();
    let edit = Edit { team: "another".to_owned(), ..edit_of(&mut world, "limits", 2) };
    assert!(matches!(world.prepare(&edit), Err(Error::NotOwner { .. })));
    let invalid = edit_of(&mut world, "limits", 0);
    assert!(matches!(world.prepare(&invalid), Err(Error::Invalid(_))));
    assert_eq!(world.audits().len(), 1);
}

/// One editor's move: begin an edit of a section, or try to commit what it prepared.
#[derive(Debug, Clone)]
enum Move {
    Begin(usize, bool),
    Commit(usize),
}

#[test]
fn racing_editors_lose_no_edit_and_no_version() {
    let moves = prop_oneof![
        (0..3_usize, any::<bool>()).prop_map(|(at, limits)| Move::Begin(at, limits)),
        (0..3_usize).prop_map(Move::Commit),
    ];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(moves, 1..40), |moves| {
        let mut world = World::new();
        let mut prepared: [Option<PreparedEdit>; 3] = [None, None, None];
        let (mut accepted, mut value) = (vec![1_u64], 10);
        for step in moves {
            match step {
                Move::Begin(at, limits) => {
                    value += 1;
                    let section = if limits { "limits" } else { "failure_domains" };
                    let edit = edit_of(&mut world, section, value);
                    prepared[at] = world.prepare(&edit).ok();
                }
                Move::Commit(at) => {
                    let Some(step) = prepared[at].take() else { continue };
                    let before = world.sections();
                    if !world.commit(&step) {
                        prop_assert_eq!(&world.sections(), &before);
                        continue;
                    }
                    let last = accepted[accepted.len() - 1];
                    prop_assert_eq!(step.body.version, last + 1);
                    accepted.push(step.body.version);
                    // The same write a second time, as after a lost answer, changes nothing.
                    let again = world.commit(&step);
                    prop_assert!(!again);
                }
            }
        }
        let audited: Vec<u64> = world.audits().iter().map(|audit| audit.version).collect();
        prop_assert_eq!(audited, accepted);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
