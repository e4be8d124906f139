//! Invalid settings are rejected with a one-line error that names the field.

use expect_test::expect;
use harrierdock_config::read;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({"balancers": 2, "ordinal": 1, "tick": 5000, "discovery": "pushed",
        "classes": [
            {"name": "reading", "aim": 500, "give_up": 900, "idempotency": "keyed", "group": "all"},
            {"name": "cut-off", "aim": 500, "give_up": 900, "idempotency": "unsafe", "group": "all"}],
        "tenants": [{"name": "north", "share": 0.4, "quota_per_s": 9.0}, {"name": "south", "share": 0.6}],
        "report": {"via": "answers"}, "limits": {"connect_timeout": 250}, "safety": {"cold_from": 0.5},
        "family_info": {"counts": "per_lane", "decided_by": "single", "swap": "rolling", "exposure_caps": [0.1, 1.0]}})
}

#[test]
fn invalid_settings_are_rejected_with_their_field() {
    assert!(read(&settings()).is_ok());
    let replacements = [
        ("/classes/0/give_up", Value::Null),
        ("/classes/0/give_up", json!(0)),
        ("/classes/0/aim", json!(-1)),
        ("/classes/0/memory_span", json!(-1)),
        ("/classes/0/idempotency", json!("sometimes")),
        ("/classes/0/group", json!("rack")),
        ("/classes/0/group", Value::Null),
        ("/classes/1/name", json!("reading")),
        ("/classes/1/worth", json!(-2.0)),
        ("/classes/1/late_worth", json!(1.5)),
        ("/tenants/0/share", json!(1.01)),
        ("/tenants/0/quota_per_s", json!(-1.0)),
        ("/tenants/1/name", json!("north")),
        ("/ordinal", json!(2)),
        ("/tick", json!(-1)),
        ("/discovery", json!("by post")),
        ("/report/via", json!("post")),
        ("/limits/connect_timeout", json!(-250)),
        ("/limits/conn_idle", json!("long")),
        ("/safety/cold_from", json!(1.2)),
        ("/safety/fall", json!(-1)),
        ("/family_info/counts", json!("some")),
        ("/family_info/decided_by", json!("lot")),
        ("/family_info/exposure_caps/0", json!(1.2)),
        ("/family_info/counted_over", json!(-1)),
    ];
    let mut errors = String::new();
    for (pointer, value) in replacements {
        let mut settings = settings();
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        match settings.pointer_mut(parent).unwrap() {
            Value::Object(fields) if value.is_null() => drop(fields.remove(field)),
            Value::Object(fields) => drop(fields.insert(field.into(), value)),
            Value::Array(items) => items[field.parse::<usize>().unwrap()] = value,
            other => panic!("{parent} is neither an object nor an array: {other}"),
        }
        let error = read(&settings)
            .err()
            .map_or_else(|| "accepted".into(), |error| error.to_string());
        assert!(!error.contains('\n'));
        errors += &format!("{pointer}: {error}\n");
    }
    expect![[r#"
        /classes/0/give_up: classes[0]: missing field `give_up`
        /classes/0/give_up: classes: reading: give_up: 0 is not a positive duration
        /classes/0/aim: classes: reading: aim: -1 is not a positive duration
        /classes/0/memory_span: classes: reading: memory_span: -1 is negative
        /classes/0/idempotency: classes[0].idempotency: unknown variant `sometimes`, expected one of `safe`, `keyed`, `unsafe`
        /classes/0/group: classes[0].group: unknown variant `rack`, expected one of `all`, `zone`, `cell`
        /classes/0/group: classes: reading: group: missing, but required to know which servers drop a duplicate request
        /classes/1/name: classes: reading: duplicate name
        /classes/1/worth: classes: cut-off: worth: -2 is negative
        /classes/1/late_worth: classes: cut-off: late_worth: 1.5 is not between 0 and 1
        /tenants/0/share: tenants: north: share: 1.01 is not between 0 and 1
        /tenants/0/quota_per_s: tenants: north: quota_per_s: -1 is negative
        /tenants/1/name: tenants: north: duplicate name
        /ordinal: ordinal: 2 is not below balancers, 2
        /tick: tick: -1 is negative
        /discovery: discovery: unknown variant `by post`, expected `pushed` or `on_request`
        /report/via: report.via: unknown variant `post`, expected one of `none`, `answers`, `probe`
        /limits/connect_timeout: limits.connect_timeout: -250 is negative
        /limits/conn_idle: limits.conn_idle: invalid type: string "long", expected i64
        /safety/cold_from: safety.cold_from: 1.2 is not between 0 and 1
        /safety/fall: safety.fall: -1 is negative
        /family_info/counts: family_info.counts: unknown variant `some`, expected `all` or `per_lane`
        /family_info/decided_by: family_info.decided_by: unknown variant `lot`, expected one of `single`, `majority`, `clocked`
        /family_info/exposure_caps/0: family_info.exposure_caps: 1.2 is not between 0 and 1
        /family_info/counted_over: family_info.counted_over: -1 is negative
    "#]]
    .assert_eq(&errors);
}
