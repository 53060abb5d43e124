//! Guards against requests that take a wrong route or service.

use std::time::Duration;

use lagoonyard_node::config::{Config, Kind, Limits, Route};

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(400),
        max_attempts: 2,
        priority: 0,
        services: services.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        job_deadline: Duration::ZERO,
        item_ttl: Duration::ZERO,
        single_version: false,
        public: false,
    }
}

fn limits() -> Limits {
    Limits { header_bytes: 1, body_bytes: 1, idle_timeout: Duration::from_secs(1) }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "h", "/a/", &[("s", 1)]),
        route("long", "h", "/a/b/", &[("s", 1)]),
        route("other", "g", "/a/b/c/", &[("s", 1)]),
    ];
    let config = Config::new(1, routes, Vec::new(), limits());
    let name = |host, path| config.route(host, path).map(|route| &*route.name);
    assert_eq!(name("h", "/a/x"), Some("short"));
    assert_eq!(name("h", "/a/b/c/d"), Some("long"));
    assert_eq!(name("h", "/b/"), None);
    assert_eq!(name("x", "/a/b/"), None);
}

#[test]
fn a_split_follows_its_weights_and_keeps_a_request_on_its_service() {
    let route = route("r", "h", "/", &[("a", 90), ("b", 10)]);
    let ids: Vec<String> = (0..2_000).map(|id| format!("request-{id}")).collect();
    let on_b =
        ids.iter().filter(|id| route.service(id).is_some_and(|service| &**service == "b")).count();
    assert!(
        (120..280).contains(&on_b),
        "{on_b} of 2000 requests went to a service with a tenth of the weight"
    );
    assert!(ids.iter().all(|id| route.service(id) == route.service(id)));
}

#[test]
fn services_without_weight_receive_no_requests() {
    let route = route("r", "h", "/", &[("a", 0), ("b", 3)]);
    assert!(
        (0..100).all(|id| route.service(&id.to_string()).is_some_and(|service| &**service == "b"))
    );
}
