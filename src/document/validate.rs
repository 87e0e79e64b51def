//! The rules that hold for a document in every format.

use std::collections::BTreeMap;

use super::{Customer, RateLimit, Route, UnresolvedPolicy};
use crate::error::Invalid;
use crate::key::Digest;

/// A problem and its remedy.
type Problem = (String, &'static str);

impl UnresolvedPolicy {
    /// Checks what no format can express in its types: that references lead somewhere, that each key
    /// belongs to one customer, and that each route can serve its requests. `origin` names the document in
    /// the error.
    ///
    /// A latency objective may exceed the deadline; requests then end at the deadline.
    ///
    /// # Errors
    ///
    /// Returns the first entry that breaks a rule. Its line is not known here.
    pub fn validate(&self, origin: &str) -> Result<(), Invalid> {
        let customers = self.customers.iter().map(|(customer, _)| {
            (format!("customers.{}", customer.name), check_customer(customer))
        });
        let routes = self.routes.iter().map(|(route, targets)| {
            let checked = check_route(route).and_then(|()| self.check_targets(targets));
            (format!("routes.{}", route.name), checked)
        });
        let keys = self.check_keys().map_err(|(name, problem)| (name, Err(problem))).err();
        for (key, checked) in customers.chain(keys).chain(routes) {
            if let Err((problem, remedy)) = checked {
                let (origin, remedy) = (origin.to_owned(), remedy.to_owned());
                return Err(Invalid { origin, line: None, key, problem, remedy });
            }
        }
        Ok(())
    }

    fn check_targets(&self, targets: &[(String, u32)]) -> Result<(), Problem> {
        let is_declared = |name: &String| self.services.iter().any(|service| service.name == *name);
        if let Some((name, _)) = targets.iter().find(|(name, _)| !is_declared(name)) {
            let problem = format!("service {name:?} is not in [services]");
            return Err((problem, "add the service or correct the name"));
        }
        let total = targets.iter().try_fold(0_u32, |sum, (_, weight)| sum.checked_add(*weight));
        match total {
            _ if targets.is_empty() => Err(("it has no service".to_owned(), "name one")),
            Some(0) => Err(("all weights are 0".to_owned(), "set one above 0")),
            Some(_) => Ok(()),
            None => Err(("the sum of the weights is too large".to_owned(), "set smaller ones")),
        }
    }

    fn check_keys(&self) -> Result<(), (String, Problem)> {
        let mut owners: BTreeMap<&Digest, &str> = BTreeMap::new();
        for (customer, digests) in &self.customers {
            for digest in digests {
                let owner = *owners.entry(digest).or_insert(&customer.name);
                if owner != customer.name {
                    let problem = format!("customer {owner} has the same key");
                    let remedy = "grant each key to one customer only";
                    return Err((format!("customers.{}.keys", customer.name), (problem, remedy)));
                }
            }
        }
        Ok(())
    }
}

fn check_customer(customer: &Customer) -> Result<(), Problem> {
    let Some(RateLimit { rate, burst }) = customer.limit else { return Ok(()) };
    if !(rate > 0.0 && rate.is_finite()) {
        return Err((format!("rate is {rate}"), "set requests a second above 0"));
    }
    if !(burst >= 1.0 && burst.is_finite()) {
        return Err((format!("burst is {burst}"), "set it to 1 or more"));
    }
    Ok(())
}

fn check_route(route: &Route) -> Result<(), Problem> {
    if route.host.as_ref().is_some_and(String::is_empty) {
        return Err(("its host is empty".to_owned(), "name the host that it matches"));
    }
    if !route.path.starts_with('/') {
        let problem = format!("path {:?} does not start with /", route.path);
        return Err((problem, "write the path from the root"));
    }
    if route.deadline.is_zero() {
        return Err(("its deadline is 0".to_owned(), "allow 1 ms or more"));
    }
    if route.attempts == 0 {
        return Err((
            "its requests may be sent to no instance".to_owned(),
            "allow 1 attempt or more",
        ));
    }
    Ok(())
}
