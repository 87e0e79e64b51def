//! Parses the documents and settings in files. A first line `# error: TEXT` gives a part of the error
//! message that the file must produce; files without it must be accepted. Every message has to start
//! with the file's name and to contain a remedy, which follows a semicolon.

use std::path::Path;

use gypsumtack::document::Sections;
use gypsumtack::{Document, Result, Settings};

fn check_file(
    path: &Path,
    parse: impl Fn(&str, &str) -> Result<()>,
) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let origin = path.file_name().unwrap_or_default().to_string_lossy();
    let first_line = text.lines().next().unwrap_or_default();
    let result = parse(&text, &origin);
    let Some(expected) = first_line.strip_prefix("# error: ") else {
        return result.map_err(|error| error.to_string().into());
    };
    let Err(error) = result else { return Err("accepted, but should be rejected".into()) };
    let error = error.to_string();
    if !error.contains(expected) {
        return Err(format!("expected {expected:?} in the error {error:?}").into());
    }
    if !error.starts_with(&*origin) || !error.contains(';') {
        return Err(format!(
            "the error {error:?} does not start with the file name or has no remedy"
        )
        .into());
    }
    Ok(())
}

fn document(path: &Path) -> datatest_stable::Result<()> {
    check_file(path, |text, origin| Document::parse(text, origin).map(drop))
}

fn settings(path: &Path) -> datatest_stable::Result<()> {
    check_file(path, |text, origin| Settings::parse(text, origin).map(drop))
}

fn example(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let sections = Sections::split(&text, "example")?;
    if sections.join() != text {
        return Err("the joined sections differ from the original text".into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = document, root = "tests/documents", pattern = r"\.toml$" },
    { test = settings, root = "tests/settings", pattern = r"\.toml$" },
    { test = example, root = "examples/documents", pattern = r"\.toml$" },
}
