//! Documents and settings from files, each with the message that it must get in its first line.

use std::path::Path;

use gypsumtack::document::Sections;
use gypsumtack::{Document, Result, Settings};

fn check(path: &Path, parse: impl Fn(&str, &str) -> Result<()>) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let origin = path.file_name().unwrap_or_default().to_string_lossy();
    let first = text.lines().next().unwrap_or_default();
    let result = parse(&text, &origin);
    let Some(wanted) = first.strip_prefix("# error: ") else {
        return result.map_err(|error| error.to_string().into());
    };
    let Err(error) = result else { return Err("it was accepted".into()) };
    let error = error.to_string();
    if !error.contains(wanted) {
        return Err(format!("wanted {wanted:?} in {error:?}").into());
    }
    if !error.starts_with(&*origin) || !error.contains(';') {
        return Err(format!("no file or no remedy in {error:?}").into());
    }
    Ok(())
}

fn document(path: &Path) -> datatest_stable::Result<()> {
    check(path, |text, origin| Document::parse(text, origin).map(drop))
}

fn settings(path: &Path) -> datatest_stable::Result<()> {
    check(path, |text, origin| Settings::parse(text, origin).map(drop))
}

fn example(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let sections = Sections::split(&text, "example")?;
    if sections.join() != text {
        return Err("cutting it into sections lost a line".into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = document, root = "tests/documents", pattern = r"\.toml$" },
    { test = settings, root = "tests/settings", pattern = r"\.toml$" },
    { test = example, root = "examples/documents", pattern = r"\.toml$" },
}
