//! Valid batches with unusual content are accepted. Malformed batches are rejected with a one-line error.

use expect_test::expect;
use harrierdock_simulator_adapter::serve;

const OPTIONS: &str = r#"{"az":"h","azs":["h"],"balancers":1,"ordinal":0,"classes":[{"name":"draft","aim":500000,"give_up":1500000,"idempotency":"safe"}],"odd":1}"#;

/// The replies to these lines. If the adapter fails, the error follows in a line that begins with `!`.
fn reply_text(lines: &[String]) -> String {
    let mut output = Vec::new();
    let result = serve(lines.join("\n").as_bytes(), &mut output);
    let mut text = String::from_utf8_lossy(&output).into_owned();
    if let Err(error) = result {
        text.push_str(&format!("! {error}\n"));
    }
    text
}

/// A batch that starts an instance with one endpoint.
fn start_batch() -> String {
    let endpoint_list = r#"["ROSTER",0,[[7,"10.0.0.1:5000","h","m",0,"Running",1,null]]]"#;
    let events = format!(r#"["BOOT",4,9,{OPTIONS}],{endpoint_list},["TARGETS",4,"Persisted",1,0]"#);
    format!(r#"{{"ts":1000000,"input":[{events}]}}"#)
}

#[test]
fn unusual_batches_are_accepted_and_identifiers_are_returned_unchanged() {
    let request = r#"["WORK_ITEM",4,"00000000000000ab",null,false,"draft",900000,null,false,null]"#;
    let lines = [
        r#"{"ts":1,"input":[]}"#.to_string(),
        start_batch(),
        format!(r#"{{"ts":1005000,"input":[{request}]}}"#),
        r#"{"ts":1015000,"input":[["CLOSED_ATTEMPT",4,"00000000000000ab",10000,true,0,"ok","10.0.0.1:5000",{"odd":2}]]}"#.into(),
        r#"{"ts":1016000,"input":[["ABANDONED",4,"00000000000000ab"],["DESTROY",4]]}"#.into(),
        start_batch().replace("1000000,", "1017000,").replace("\"input\":[", "\"input\":[[\"DESTROY\",4],"),
    ];
    let replies = reply_text(&lines[..5]);
    expect![[r#"
        {"cmds":[]}
        {"cmds":[["SET_ALARM",4,"due",50000]]}
        {"cmds":[["ROUTE",4,"00000000000000ab","10.0.0.1:5000",0]]}
        {"cmds":[]}
        {"cmds":[]}
    "#]]
    .assert_eq(&replies);
    assert_eq!(
        replies,
        reply_text(&lines[..5]),
        "the same events gave other replies"
    );
    assert!(reply_text(&lines).ends_with("! line 6: event 1 (DESTROY): no instance 4 runs\n"));
}

#[test]
fn malformed_batches_are_rejected_with_one_line() {
    let malformed = [
        "{",
        r#"{"ts":2}"#,
        r#"{"ts":2,"input":[["NEWS",4]]}"#,
        r#"{"ts":2,"input":[["ABANDONED",9,"00000000000000ab"]]}"#,
        r#"{"ts":2,"input":[["ABANDONED",4,"AB"]]}"#,
        r#"{"ts":2,"input":[["TARGETS",4,"Complete",1,5]]}"#,
        r#"{"ts":2,"input":[["WORK_ITEM",4,"00000000000000ab",null,false,"lodge",1,null,false,null]]}"#,
        r#"{"ts":2,"input":[["BOOT",5,1,{"classes":7}]]}"#,
    ];
    let replies: String = malformed
        .iter()
        .map(|batch| reply_text(&[start_batch(), batch.to_string()]))
        .collect();
    let errors: String = replies
        .lines()
        .filter(|line| line.starts_with('!'))
        .map(|line| format!("{line}\n"))
        .collect();
    expect![[r#"
        ! line 2: not JSON: EOF while parsing an object at line 1 column 1
        ! line 2: the batch has no array 'input'
        ! line 2: event 1 (NEWS): unknown event
        ! line 2: event 1 (ABANDONED): no instance 9 runs
        ! line 2: event 1 (ABANDONED): value 2 is not 16 hex digits
        ! line 2: event 1 (TARGETS): no list 5 was sent
        ! line 2: event 1 (WORK_ITEM): unknown class 'lodge'
        ! line 2: event 1 (BOOT): options: classes: invalid type: integer `7`, expected a sequence
    "#]]
    .assert_eq(&errors);
}
