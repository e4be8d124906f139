//! Sticky versions when rollout updates are repeated. After a reconnect, the platform repeats the newest rollout state that it
//! knows; during a network partition, this state may be outdated.

use crate::support::*;

#[test]
fn a_repeated_rollback_update_keeps_keys_pinned_to_a_later_build() {
    let trace = Trace::default();
    let (platform, line_sender) = start_platform(&trace, &[], Some("{}"));
    let (one, two) = (
        endpoint("one", &trace, &[EndpointBehavior::Succeed]),
        endpoint("two", &trace, &[EndpointBehavior::Succeed]),
    );
    let members = [
        endpoint_record("s-1", one, "ready", 41),
        endpoint_record("s-2", two, "ready", 43),
    ];
    let mut config = gateway_configuration(unresponsive_server(), &members);
    config["rollouts"] = json!({"address": platform});
    config["settings"]["family_info"]["one_way"] = true.into();
    config["settings"]["family_info"]["spare_tries"] = 100.0.into();
    let gateway = start_gateway(&config);
    let withdrawn = json!({"type": "news", "object": rollout_update(42, 0, "withdrawn")});
    trace.wait_for("platform: events", 1);
    line_sender.send(withdrawn.to_string()).unwrap();
    gateway.wait_for_log_line("RolledBack");
    let mut client = gateway.client();
    let mut ids = (0..).map(|n| format!("a{n}"));
    // The one affinity key of these requests is served by build 43, which has no rollout update yet.
    let mut request = || client.request(client_request("lodge", &ids.next().unwrap(), 9000));
    while !request().contains("two settled") {}
    // The stream is closed; the reopened one repeats the rollback.
    line_sender.send("close".into()).unwrap();
    trace.wait_for("platform: events", 2);
    line_sender.send(withdrawn.to_string()).unwrap();
    gateway.wait_for_log_line("RolledBack");
    let later = (0..20)
        .filter(|_| request().contains("two settled"))
        .count();
    assert_eq!(
        later, 20,
        "of 20 requests with the key, served by the build that served it before"
    );
}
