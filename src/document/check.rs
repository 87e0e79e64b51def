//! Validation of a document before any of it is used.

use toml::Spanned;

use super::{Document, SECTIONS, UnresolvedPolicy};
use crate::error::Invalid;
use crate::key;

/// Maximum deadline of a route.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum retry budget of a route.
const MAX_RETRIES: u32 = 16;

/// Maximum body size that a document may allow, since daemons buffer whole bodies.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Parses and validates a whole document; `origin` names it in errors.
pub(super) fn parse(text: &str, origin: &str) -> Result<Document, Invalid> {
    let document = toml::from_str(text).map_err(|error| syntax_error(text, origin, &error))?;
    let validator = Validator { text, origin, document: &document };
    validator.check_owners()?;
    validator.check_failure_domains()?;
    validator.check_services()?;
    validator.check_customers()?;
    validator.check_routes()?;
    validator.check_limits()?;
    validator.check_references()?;
    Ok(document)
}

/// Converts a TOML error, which has no key path, to an [`Invalid`].
fn syntax_error(text: &str, origin: &str, error: &toml::de::Error) -> Invalid {
    let line = error.span().map(|span| line_at(text, span.start));
    Invalid {
        origin: origin.to_owned(),
        line,
        key: String::new(),
        problem: error.message().trim().replace('\n', " "),
        remedy: "correct that line; docs/OPERATIONS.md lists every key".to_owned(),
    }
}

/// Returns the number of the line that contains a byte offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&byte| byte == b'\n').count() + 1
}

/// A parsed document and its text, from which errors take their line numbers.
struct Validator<'a> {
    text: &'a str,
    origin: &'a str,
    document: &'a Document,
}

impl Validator<'_> {
    /// Creates an error for a value that carries its position in the text.
    fn error<T>(&self, at: &Spanned<T>, key: String, problem: String, remedy: &str) -> Invalid {
        Invalid {
            origin: self.origin.to_owned(),
            line: Some(line_at(self.text, at.span().start)),
            key,
            problem,
            remedy: remedy.to_owned(),
        }
    }

    /// Creates an error for a key of `limits`. Its values carry no positions, so that the line is the
    /// first one of the text that starts with the key.
    fn limit_error(&self, key: &str, problem: String, remedy: &str) -> Invalid {
        let line = self.text.lines().position(|line| line.trim_start().starts_with(key));
        Invalid {
            origin: self.origin.to_owned(),
            line: line.map(|line| line + 1),
            key: format!("limits.{key}"),
            problem,
            remedy: remedy.to_owned(),
        }
    }

    fn check_owners(&self) -> Result<(), Invalid> {
        for (section, owner) in &self.document.owners {
            if !SECTIONS.contains(&section.as_str()) {
                let problem = "there is no such section".to_owned();
                let remedy = format!("use one of {}", SECTIONS.join(", "));
                return Err(self.error(owner, format!("owners.{section}"), problem, &remedy));
            }
        }
        let missing = SECTIONS.iter().find(|section| !self.document.owners.contains_key(**section));
        let Some(section) = missing else { return Ok(()) };
        Err(Invalid {
            origin: self.origin.to_owned(),
            line: None,
            key: format!("owners.{section}"),
            problem: "the section has no owner".to_owned(),
            remedy: format!("add `{section} = \"TEAM\"` under [owners]"),
        })
    }

    fn check_failure_domains(&self) -> Result<(), Invalid> {
        for (name, domain) in &self.document.failure_domains {
            let key = format!("failure_domains.{name}");
            self.check_name(name, domain, &key)?;
            if domain.get_ref().region.is_empty() {
                let problem = "region is empty".to_owned();
                return Err(self.error(domain, key, problem, "name the region"));
            }
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), Invalid> {
        for (name, service) in &self.document.services {
            let key = format!("services.{name}");
            self.check_name(name, service, &key)?;
            let ratio = service.get_ref().retry_ratio;
            if !(0.0..=1.0).contains(&ratio) {
                let problem = format!("retry_ratio is {ratio}");
                return Err(self.error(service, key, problem, "set it between 0 and 1"));
            }
        }
        Ok(())
    }

    fn check_customers(&self) -> Result<(), Invalid> {
        for (name, customer) in &self.document.customers {
            let key = format!("customers.{name}");
            self.check_name(name, customer, &key)?;
            let spec = customer.get_ref();
            if !(1..=64).contains(&spec.weight) {
                let problem = format!("weight is {}", spec.weight);
                return Err(self.error(customer, key, problem, "set it between 1 and 64"));
            }
            for digest in &spec.keys {
                if key::Digest::parse(digest.get_ref()).is_none() {
                    let problem = "this is not a key digest".to_owned();
                    let remedy = "write the output of `gypsumtack digest`, never the key itself";
                    return Err(self.error(digest, format!("{key}.keys"), problem, remedy));
                }
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), Invalid> {
        let mut seen = std::collections::BTreeMap::new();
        for (name, route) in &self.document.routes {
            let key = format!("routes.{name}");
            self.check_name(name, route, &key)?;
            let spec = route.get_ref();
            if !(1..=MAX_DEADLINE_MS).contains(&spec.deadline_ms) {
                let problem = format!("deadline_ms is {}", spec.deadline_ms);
                let remedy = format!("set it between 1 and {MAX_DEADLINE_MS}");
                return Err(self.error(route, key, problem, &remedy));
            }
            if spec.objective_ms.is_some_and(|ms| !(1..=spec.deadline_ms).contains(&ms)) {
                let problem = "objective_ms is 0 or above deadline_ms".to_owned();
                return Err(self.error(route, key, problem, "set it between 1 and deadline_ms"));
            }
            if spec.retries > MAX_RETRIES {
                let problem = format!("retries is {}", spec.retries);
                let remedy = format!("set it to {MAX_RETRIES} or less");
                return Err(self.error(route, key, problem, &remedy));
            }
            if let Some(method) = spec.methods.iter().find(|method| !is_method(method)) {
                let problem = format!("method {method:?} is not an HTTP method");
                return Err(self.error(route, key, problem, "write it like GET or POST"));
            }
            let methods: Vec<_> = match spec.methods.is_empty() {
                true => vec![String::new()],
                false => spec.methods.clone(),
            };
            for method in methods {
                if let Some(other) = seen.insert((spec.path.clone(), method), name.clone()) {
                    let problem = format!("route {other} has the same path and method");
                    return Err(self.error(route, key, problem, "keep one of them"));
                }
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), Invalid> {
        let limits = &self.document.limits;
        if limits.queue_ms == 0 {
            let problem = "queue_ms is 0".to_owned();
            return Err(self.limit_error("queue_ms", problem, "set it to 1 or more"));
        }
        for (key, value) in
            [("request_bytes", limits.request_bytes), ("answer_bytes", limits.answer_bytes)]
        {
            if !(1..=MAX_BODY_BYTES).contains(&value) {
                let remedy = format!("set it between 1 and {MAX_BODY_BYTES}");
                return Err(self.limit_error(key, format!("{key} is {value}"), &remedy));
            }
        }
        if !(limits.waiting_share > 0.0 && limits.waiting_share <= 1.0) {
            let problem = format!("waiting_share is {}", limits.waiting_share);
            return Err(self.limit_error("waiting_share", problem, "set it above 0 and up to 1"));
        }
        Ok(())
    }

    /// Checks the rules that hold for every format.
    fn check_references(&self) -> Result<(), Invalid> {
        let checked = UnresolvedPolicy::from(self.document).validate(self.origin);
        checked.map_err(|invalid| Invalid { line: self.line_of(&invalid.key), ..invalid })
    }

    /// Returns the line at which the entry of a key such as `routes.front` begins.
    fn line_of(&self, key: &str) -> Option<usize> {
        let mut parts = key.split('.');
        let (section, name) = (parts.next()?, parts.next()?);
        let span = match section {
            "customers" => self.document.customers.get(name)?.span(),
            "routes" => self.document.routes.get(name)?.span(),
            _ => return None,
        };
        Some(line_at(self.text, span.start))
    }

    /// Checks that a name has 1 to 64 characters out of those that are allowed.
    fn check_name<T>(&self, name: &str, at: &Spanned<T>, key: &str) -> Result<(), Invalid> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
            return Ok(());
        }
        let problem = format!("the name {name:?} is not usable");
        let remedy = "use up to 64 letters, digits, - and _";
        Err(self.error(at, key.to_owned(), problem, remedy))
    }
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase())
}
