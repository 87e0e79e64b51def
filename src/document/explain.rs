//! What a document makes the system do, in plain sentences.

use super::Document;

/// Says in plain sentences, one a line, what the document makes the system do.
pub fn explain(document: &Document) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(document.routes.iter().map(|(name, route)| {
        let route = route.get_ref();
        let who = if route.open { "anyone" } else { "a customer with a key" };
        let once = match route.idempotent {
            true => format!("it may be retried {} times over its whole call tree", route.retries),
            false => "it needs an idempotency key and runs at most once".to_owned(),
        };
        format!(
            "Route {name}: {who} may call {} on service {}; its importance is {}; it has {} ms; \
             {once}.",
            route.path, route.service, route.importance, route.deadline_ms
        )
    }));
    lines.extend(document.customers.iter().map(|(name, customer)| {
        let customer = customer.get_ref();
        let isolated = match customer.refuse_isolated {
            true => " It is refused at once where a failure domain is cut off.",
            false => "",
        };
        format!(
            "Customer {name}: {} keys; at most {} requests a second and {} at once over all VMs \
             together; weight {} when a queue forms.{isolated}",
            customer.keys.len(),
            customer.rate,
            customer.burst,
            customer.weight
        )
    }));
    lines.extend(document.services.iter().map(|(name, service)| {
        let service = service.get_ref();
        let retired = match service.retired.is_empty() {
            true => "no VM is retired".to_owned(),
            false => format!("no new work goes to {}", service.retired.join(", ")),
        };
        format!(
            "Service {name}: retries add at most {:.0}% to its successes; a new instance reaches \
             its whole share after {} s; {retired}.",
            service.retry_ratio * 100.0,
            service.ramp_s
        )
    }));
    let limits = &document.limits;
    lines.push(format!(
        "Everywhere: no request waits longer than {} ms in a queue; a failure domain without \
         contact serves keyed requests for {} s; calls that wait on one service hold at most \
         {:.0}% of a backend server's slots.",
        limits.queue_ms,
        limits.isolation_s,
        limits.waiting_share * 100.0
    ));
    lines
}
