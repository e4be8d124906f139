//! Batches that are odd but legal pass; malformed ones are named in one line.

use expect_test::expect;
use harrierdock_simulator_adapter::serve;

const OPTIONS: &str = r#"{"az":"h","azs":["h"],"balancers":1,"ordinal":0,"classes":[{"name":"draft","aim":500000,"give_up":1500000,"idempotency":"safe"}],"odd":1}"#;

/// The replies to these lines, and the error that ended them, if one did.
fn replies(lines: &[String]) -> String {
    let mut out = Vec::new();
    let end = serve(lines.join("\n").as_bytes(), &mut out);
    let mut text = String::from_utf8_lossy(&out).into_owned();
    if let Err(e) = end {
        text.push_str(&format!("! {e}\n"));
    }
    text
}

/// A batch that starts an instance with one endpoint.
fn start_batch() -> String {
    let roster = r#"["ROSTER",0,[[7,"10.0.0.1:5000","h","m",0,"Running",1,null]]]"#;
    let events = format!(r#"["BOOT",4,9,{OPTIONS}],{roster},["TARGETS",4,"Persisted",1,0]"#);
    format!(r#"{{"ts":1000000,"input":[{events}]}}"#)
}

#[test]
fn odd_but_legal_batches_pass_and_identifiers_come_back_unaltered() {
    let request = r#"["WORK_ITEM",4,"00000000000000ab",null,false,"draft",900000,null,false,null]"#;
    let lines = [
        r#"{"ts":1,"input":[]}"#.to_string(),
        start_batch(),
        format!(r#"{{"ts":1005000,"input":[{request}]}}"#),
        r#"{"ts":1015000,"input":[["CLOSED_ATTEMPT",4,"00000000000000ab",10000,true,0,"ok","10.0.0.1:5000",{"odd":2}]]}"#.into(),
        r#"{"ts":1016000,"input":[["ABANDONED",4,"00000000000000ab"],["DESTROY",4]]}"#.into(),
        start_batch().replace("1000000,", "1017000,").replace("\"input\":[", "\"input\":[[\"DESTROY\",4],"),
    ];
    let first = replies(&lines[..5]);
    expect![[r#"
        {"cmds":[]}
        {"cmds":[["SET_ALARM",4,"due",50000]]}
        {"cmds":[["ROUTE",4,"00000000000000ab","10.0.0.1:5000",0]]}
        {"cmds":[]}
        {"cmds":[]}
    "#]]
    .assert_eq(&first);
    assert_eq!(first, replies(&lines[..5]), "same events, same actions");
    assert!(replies(&lines).ends_with("! line 6: event 1 (DESTROY): no instance 4 runs\n"));
}

#[test]
fn malformed_batches_are_named_in_one_line() {
    let bad = [
        "{",
        r#"{"ts":2}"#,
        r#"{"ts":2,"input":[["NEWS",4]]}"#,
        r#"{"ts":2,"input":[["ABANDONED",9,"00000000000000ab"]]}"#,
        r#"{"ts":2,"input":[["ABANDONED",4,"AB"]]}"#,
        r#"{"ts":2,"input":[["TARGETS",4,"Complete",1,5]]}"#,
        r#"{"ts":2,"input":[["WORK_ITEM",4,"00000000000000ab",null,false,"lodge",1,null,false,null]]}"#,
        r#"{"ts":2,"input":[["BOOT",5,1,{"classes":7}]]}"#,
    ];
    let told: String = bad
        .iter()
        .map(|b| replies(&[start_batch(), b.to_string()]))
        .collect();
    let told: String = told
        .lines()
        .filter(|l| l.starts_with('!'))
        .map(|l| format!("{l}\n"))
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
    .assert_eq(&told);
}
