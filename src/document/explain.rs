//! A summary of a document in plain sentences, for operators.

use super::Document;

/// Describes the effects of a document in plain sentences, one per line.
pub fn explain(document: &Document) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(document.routes.iter().map(|(name, route)| {
        let route = route.get_ref();
        let callers = if route.open { "anyone" } else { "a customer with a key" };
        let retries = match route.idempotent {
            true => format!("it may be retried {} times in its whole call tree", route.retries),
            false => "it needs an idempotency key and runs at most once".to_owned(),
        };
        format!(
            "Route {name}: {callers} may call {} on service {}; its importance is {}; its deadline is \
             {} ms; {retries}.",
            route.path, route.service, route.importance, route.deadline_ms
        )
    }));
    lines.extend(document.customers.iter().map(|(name, customer)| {
        let customer = customer.get_ref();
        let isolated = match customer.refuse_isolated {
            true => " A failure domain without contact to the others refuses it immediately.",
            false => "",
        };
        format!(
            "Customer {name}: {} keys; at most {} requests per second and {} at once over all VMs \
             together; weight {} while requests are queued.{isolated}",
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
            false => format!("no new requests go to {}", service.retired.join(", ")),
        };
        format!(
            "Service {name}: retries add at most {:.0}% to the requests sent to it; a new instance \
             reaches its full share after {} s; {retired}.",
            service.retry_ratio * 100.0,
            service.ramp_s
        )
    }));
    let limits = &document.limits;
    lines.push(format!(
        "All VMs: no request waits longer than {} ms in a queue; a failure domain without contact \
         to the others serves requests with a key for {} s; requests that wait for downstream calls \
         to one service hold at most {:.0}% of a backend server's slots.",
        limits.queue_ms,
        limits.isolation_s,
        limits.waiting_share * 100.0
    ));
    lines
}
