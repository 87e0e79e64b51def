//! The checks that a document must pass before any of it is used.

use toml::Spanned;

use super::{Document, SECTIONS};
use crate::error::Invalid;
use crate::key;

/// The longest deadline that a route may set, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 600_000;

/// The most retries that a route may allow.
const MOST_RETRIES: u32 = 16;

/// The largest body that daemons buffer, in bytes.
const LARGEST_BODY: u64 = 64 << 20;

pub(super) fn parse(text: &str, origin: &str) -> Result<Document, Invalid> {
    let document = toml::from_str(text).map_err(|error| syntax(text, origin, &error))?;
    let check = Check { text, origin, document: &document };
    check.owners()?;
    check.failure_domains()?;
    check.services()?;
    check.customers()?;
    check.routes()?;
    check.limits()?;
    Ok(document)
}

fn syntax(text: &str, origin: &str, error: &toml::de::Error) -> Invalid {
    let line = error.span().map(|span| line_at(text, span.start));
    Invalid {
        origin: origin.to_owned(),
        line,
        key: String::new(),
        problem: error.message().trim().replace('\n', " "),
        remedy: "correct that line; docs/OPERATIONS.md lists every key".to_owned(),
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&byte| byte == b'\n').count() + 1
}

struct Check<'a> {
    text: &'a str,
    origin: &'a str,
    document: &'a Document,
}

impl Check<'_> {
    fn fail<T>(&self, at: &Spanned<T>, key: String, problem: String, remedy: &str) -> Invalid {
        Invalid {
            origin: self.origin.to_owned(),
            line: Some(line_at(self.text, at.span().start)),
            key,
            problem,
            remedy: remedy.to_owned(),
        }
    }

    fn fail_limit(&self, key: &str, problem: String, remedy: &str) -> Invalid {
        let line = self.text.lines().position(|line| line.trim_start().starts_with(key));
        Invalid {
            origin: self.origin.to_owned(),
            line: line.map(|line| line + 1),
            key: format!("limits.{key}"),
            problem,
            remedy: remedy.to_owned(),
        }
    }

    fn owners(&self) -> Result<(), Invalid> {
        for (section, owner) in &self.document.owners {
            if !SECTIONS.contains(&section.as_str()) {
                let problem = "there is no such section".to_owned();
                let remedy = format!("use one of {}", SECTIONS.join(", "));
                return Err(self.fail(owner, format!("owners.{section}"), problem, &remedy));
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

    fn failure_domains(&self) -> Result<(), Invalid> {
        for (name, domain) in &self.document.failure_domains {
            let key = format!("failure_domains.{name}");
            self.name(name, domain, &key)?;
            if domain.get_ref().region.is_empty() {
                let problem = "region is empty".to_owned();
                return Err(self.fail(domain, key, problem, "name the region"));
            }
        }
        Ok(())
    }

    fn services(&self) -> Result<(), Invalid> {
        for (name, service) in &self.document.services {
            let key = format!("services.{name}");
            self.name(name, service, &key)?;
            let ratio = service.get_ref().retry_ratio;
            if !(0.0..=1.0).contains(&ratio) {
                let problem = format!("retry_ratio is {ratio}");
                return Err(self.fail(service, key, problem, "set it between 0 and 1"));
            }
        }
        Ok(())
    }

    fn customers(&self) -> Result<(), Invalid> {
        let mut seen = std::collections::BTreeMap::new();
        for (name, customer) in &self.document.customers {
            let key = format!("customers.{name}");
            self.name(name, customer, &key)?;
            let spec = customer.get_ref();
            if !(spec.rate > 0.0 && spec.rate.is_finite()) {
                let problem = format!("rate is {}", spec.rate);
                return Err(self.fail(customer, key, problem, "set requests a second above 0"));
            }
            if !(spec.burst >= 1.0 && spec.burst.is_finite()) {
                let problem = format!("burst is {}", spec.burst);
                return Err(self.fail(customer, key, problem, "set it to 1 or more"));
            }
            if !(1..=64).contains(&spec.weight) {
                let problem = format!("weight is {}", spec.weight);
                return Err(self.fail(customer, key, problem, "set it between 1 and 64"));
            }
            for digest in &spec.keys {
                if key::Digest::parse(digest.get_ref()).is_none() {
                    let problem = "this is not a key digest".to_owned();
                    let remedy = "write the output of `gypsumtack digest`, never the key itself";
                    return Err(self.fail(digest, format!("{key}.keys"), problem, remedy));
                }
                if let Some(other) = seen.insert(digest.get_ref().clone(), name.clone()) {
                    let problem = format!("customer {other} has the same key");
                    let remedy = "grant each key to one customer only";
                    return Err(self.fail(digest, format!("{key}.keys"), problem, remedy));
                }
            }
        }
        Ok(())
    }

    fn routes(&self) -> Result<(), Invalid> {
        let mut seen = std::collections::BTreeMap::new();
        for (name, route) in &self.document.routes {
            let key = format!("routes.{name}");
            self.name(name, route, &key)?;
            let spec = route.get_ref();
            if !spec.path.starts_with('/') {
                let problem = format!("path {:?} does not start with /", spec.path);
                return Err(self.fail(route, key, problem, "write the path from the root"));
            }
            if !self.document.services.contains_key(&spec.service) {
                let problem = format!("service {:?} is not in [services]", spec.service);
                return Err(self.fail(route, key, problem, "add the service or correct the name"));
            }
            if !(1..=LONGEST_DEADLINE_MS).contains(&spec.deadline_ms) {
                let problem = format!("deadline_ms is {}", spec.deadline_ms);
                let remedy = format!("set it between 1 and {LONGEST_DEADLINE_MS}");
                return Err(self.fail(route, key, problem, &remedy));
            }
            if spec.objective_ms.is_some_and(|ms| !(1..=spec.deadline_ms).contains(&ms)) {
                let problem = "objective_ms is 0 or above deadline_ms".to_owned();
                return Err(self.fail(route, key, problem, "set it between 1 and deadline_ms"));
            }
            if spec.retries > MOST_RETRIES {
                let problem = format!("retries is {}", spec.retries);
                let remedy = format!("set it to {MOST_RETRIES} or less");
                return Err(self.fail(route, key, problem, &remedy));
            }
            if let Some(method) = spec.methods.iter().find(|method| !is_method(method)) {
                let problem = format!("method {method:?} is not an HTTP method");
                return Err(self.fail(route, key, problem, "write it like GET or POST"));
            }
            let methods: Vec<_> = match spec.methods.is_empty() {
                true => vec![String::new()],
                false => spec.methods.clone(),
            };
            for method in methods {
                if let Some(other) = seen.insert((spec.path.clone(), method), name.clone()) {
                    let problem = format!("route {other} has the same path and method");
                    return Err(self.fail(route, key, problem, "keep one of them"));
                }
            }
        }
        Ok(())
    }

    fn limits(&self) -> Result<(), Invalid> {
        let limits = &self.document.limits;
        if limits.queue_ms == 0 {
            let problem = "queue_ms is 0".to_owned();
            return Err(self.fail_limit("queue_ms", problem, "set it to 1 or more"));
        }
        for (key, value) in
            [("request_bytes", limits.request_bytes), ("answer_bytes", limits.answer_bytes)]
        {
            if !(1..=LARGEST_BODY).contains(&value) {
                let remedy = format!("set it between 1 and {LARGEST_BODY}");
                return Err(self.fail_limit(key, format!("{key} is {value}"), &remedy));
            }
        }
        if !(limits.waiting_share > 0.0 && limits.waiting_share <= 1.0) {
            let problem = format!("waiting_share is {}", limits.waiting_share);
            return Err(self.fail_limit("waiting_share", problem, "set it above 0 and up to 1"));
        }
        Ok(())
    }

    fn name<T>(&self, name: &str, at: &Spanned<T>, key: &str) -> Result<(), Invalid> {
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if !name.is_empty() && name.len() <= 64 && name.chars().all(fits) {
            return Ok(());
        }
        let problem = format!("the name {name:?} is not usable");
        let remedy = "use up to 64 letters, digits, - and _";
        Err(self.fail(at, key.to_owned(), problem, remedy))
    }
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase())
}
