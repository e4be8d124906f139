//! The bench's wire: batches in, replies out. The wire's names end here.

use std::collections::BTreeMap;

use harrierdock_policy::Gateway;
use harrierdock_types::gossip as mail;
use harrierdock_types::interface::*;
use harrierdock_types::time::{Point, Span};
use serde_json::{json, Value};

use harrierdock_config::{self as terms, mark, Names};

const ALARM: &str = "due";

/// The instances of this process, with nothing shared between them but the parsed lists.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<i64, (Gateway, Names)>,
    rosters: BTreeMap<i64, Vec<Value>>,
}

type Told<T> = Result<T, String>;

fn field(row: &[Value], at: usize) -> &Value {
    row.get(at).unwrap_or(&Value::Null)
}

fn int(row: &[Value], at: usize) -> Told<i64> {
    field(row, at).as_i64().ok_or_else(|| format!("value {at} is not a whole number"))
}

fn count(row: &[Value], at: usize) -> Told<usize> {
    field(row, at).as_u64().map(|n| n as usize).ok_or_else(|| format!("value {at} is not a count"))
}

fn flag(row: &[Value], at: usize) -> Told<bool> {
    field(row, at).as_bool().ok_or_else(|| format!("value {at} is not true or false"))
}

fn text(row: &[Value], at: usize) -> Told<&str> {
    field(row, at).as_str().ok_or_else(|| format!("value {at} is not text"))
}

fn hex(row: &[Value], at: usize) -> Told<u64> {
    let digits = text(row, at)?;
    let plain = digits.len() == 16 && digits.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let wrong = || format!("value {at} is not 16 hex digits");
    plain.then(|| u64::from_str_radix(digits, 16).ok()).flatten().ok_or_else(wrong)
}

fn outcome(word: &str) -> Told<Outcome> {
    Ok(match word {
        "ok" => Outcome::Served,
        "error" => Outcome::Errored,
        "full" => Outcome::Full,
        "timeout" => Outcome::TimedOut,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Recalled,
        "moot" => Outcome::Moot,
        odd => return Err(format!("unknown outcome '{odd}'")),
    })
}

fn load(value: &Value) -> Load {
    let part = |name| value.get(name).and_then(Value::as_f64);
    Load { inflight: part("rif"), busy: part("busy") }
}

fn known(names: &Names, row: &[Value], at: usize) -> Told<ServerIx> {
    let id = text(row, at)?;
    names.servers.get(id).ok_or_else(|| format!("server {id} was on no list"))
}

fn product(names: &Names, row: &[Value], at: usize) -> Told<ProductIx> {
    let name = text(row, at)?;
    names.products.get_index_of(name).ok_or_else(|| format!("unknown class '{name}'"))
}

fn listed(line: &Value, names: &mut Names, now: i64) -> Told<Listed> {
    let row = line.as_array().ok_or("a list line is not an array")?;
    let since = field(row, 7).as_i64().unwrap_or(0);
    Ok(Listed {
        build: int(row, 0)?.try_into().map_err(|_| "value 0 is no build")?,
        server: names.servers.number(text(row, 1)?),
        zone: names.zones.insert_full(text(row, 2)?.to_string()).0,
        model: names.models.insert_full(text(row, 3)?.to_string()).0,
        cell: field(row, 4).as_u64().unwrap_or(0),
        lifecycle: match text(row, 5)? {
            "Running" => Lifecycle::Ready,
            "Stopping" => Lifecycle::Draining,
            "Deleted" => Lifecycle::Gone,
            odd => return Err(format!("unknown lifecycle '{odd}'")),
        },
        weight: field(row, 6).as_f64().unwrap_or(1.0),
        age: (since > 0).then(|| Span((now - since).max(0))),
        mark: mark(text(row, 1)?),
    })
}

fn stage(row: &[Value]) -> Told<Event> {
    let word = match text(row, 5)? {
        "ok" => Word::Valid,
        "moot" => Word::Moot,
        "full" => Word::Full,
        "error" => Word::Errored,
        "timeout" => Word::TimedOut,
        odd => return Err(format!("unknown word '{odd}'")),
    };
    let phase = match field(row, 4).as_i64() {
        Some(1) => Phase::GoingBack,
        Some(2) => Phase::Released,
        Some(3) => Phase::Withdrawn,
        _ => Phase::Trial,
    };
    Ok(Event::Stage(StageNews {
        cap: field(row, 2).as_f64().unwrap_or(0.0),
        stage: field(row, 3).as_u64().unwrap_or(0) as usize,
        phase,
        word,
        build: field(row, 6).as_u64().unwrap_or(0) as Build,
        answers_vote: field(row, 7).as_i64() == Some(1),
        age: Span(field(row, 8).as_i64().unwrap_or(0)),
    }))
}

impl Host {
    /// One batch in, one reply line out.
    pub fn batch(&mut self, line: &str) -> Told<String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = batch["ts"].as_i64().ok_or("the batch has no clock 'ts'")?;
        let events = batch["input"].as_array().ok_or("the batch has no array 'input'")?;
        let mut commands = Vec::new();
        for (at, event) in events.iter().enumerate() {
            let row = event.as_array().ok_or_else(|| format!("event {}: not an array", at + 1))?;
            let name = text(row, 0).map_err(|e| format!("event {}: {e}", at + 1))?;
            self.event(name, row, now, &mut commands)
                .map_err(|e| format!("event {} ({name}): {e}", at + 1))?;
        }
        Ok(json!({ "cmds": commands }).to_string() + "\n")
    }

    fn event(&mut self, name: &str, row: &[Value], now: i64, commands: &mut Vec<Value>) -> Told<()> {
        if name == "ROSTER" {
            let lines = field(row, 2).as_array().ok_or("value 2 is not a list")?;
            self.rosters.insert(int(row, 1)?, lines.clone());
            return Ok(());
        }
        let who = int(row, 1)?;
        if name == "BOOT" {
            let seed = field(row, 2);
            let seed = seed.as_u64().or(seed.as_i64().map(|s| s as u64)).ok_or("value 2 is no seed")?;
            let (told, names) = terms::read(field(row, 3)).map_err(|e| format!("options: {e}"))?;
            self.instances.insert(who, (Gateway::new(told, seed), names));
            return Ok(());
        }
        if name == "DESTROY" {
            return self.instances.remove(&who).map(|_| ()).ok_or(format!("no instance {who} runs"));
        }
        let (gateway, names) = self.instances.get_mut(&who).ok_or(format!("no instance {who} runs"))?;
        let event = match name {
            "TARGETS" => {
                let scope = match text(row, 2)? {
                    "Partial" => Scope::Changes,
                    "Complete" => Scope::Whole,
                    "Persisted" => Scope::Kept,
                    "Error" => Scope::Failed,
                    odd => return Err(format!("unknown scope '{odd}'")),
                };
                let mut lines = Vec::new();
                if scope != Scope::Failed {
                    let list = int(row, 4)?;
                    let held = self.rosters.get(&list).ok_or_else(|| format!("no list {list} was sent"))?;
                    for line in held {
                        lines.push(listed(line, names, now)?);
                    }
                }
                Event::Roster { scope, lines }
            }
            "WORK_ITEM" => Event::Txn {
                id: TxnId(hex(row, 2)?),
                cost: field(row, 3).as_i64().map(Span),
                product: product(names, row, 5)?,
                left: Span(int(row, 6)?),
                again: flag(row, 4)?,
                key: if field(row, 7).is_null() { None } else { Some(Key(hex(row, 7)?)) },
                tenant: field(row, 9).as_str().and_then(|t| names.tenants.get_index_of(t)),
            },
            "ABANDONED" => Event::Left { id: TxnId(hex(row, 2)?) },
            "STREAMING" => Event::Streaming { id: TxnId(hex(row, 2)?), attempt: count(row, 3)? },
            "CLOSED_ATTEMPT" => Event::Closed {
                id: TxnId(hex(row, 2)?),
                took: Span(int(row, 3)?),
                ended: flag(row, 4)?,
                attempt: count(row, 5)?,
                outcome: outcome(text(row, 6)?)?,
                server: known(names, row, 7)?,
                load: load(field(row, 8)),
            },
            "PING_RESULT" => Event::Probed {
                outcome: outcome(text(row, 2)?)?,
                server: known(names, row, 3)?,
                load: load(field(row, 5)),
            },
            "STAGE" => stage(row)?,
            "PLATFORM_SAW" => Event::Tally {
                build: int(row, 2)? as Build,
                seen: count(row, 3)? as u64,
                failed: count(row, 4)? as u64,
                mean: Span(field(row, 5).as_i64().unwrap_or(0)),
                product: product(names, row, 7)?,
            },
            "BAD_ANSWER" => Event::Complaint {
                product: product(names, row, 2)?,
                age: Span(int(row, 3)?),
                server: known(names, row, 4)?,
            },
            "MAIL" => {
                let (from, said) = (count(row, 2)?, text(row, 3)?);
                let Some(message) = mail::read(said) else { return Ok(()) };
                Event::Mail { from, message }
            }
            "WAKEUP" => Event::Wake,
            _ => return Err("unknown event".into()),
        };
        for action in gateway.take(Point(now), event) {
            commands.push(command(who, names, action));
        }
        Ok(())
    }
}

fn command(who: i64, names: &Names, action: Action) -> Value {
    let ticket = |id: TxnId| format!("{:016x}", id.0);
    let server = |ix: ServerIx| names.servers.name(ix).unwrap_or_default().to_string();
    match action {
        Action::Submit { id, server: to, timeout } => {
            json!(["ROUTE", who, ticket(id), server(to), timeout.0])
        }
        Action::Recall { id, attempt } => json!(["RECALL", who, ticket(id), attempt]),
        Action::Decline { id, retry_after } => json!(["NOT_NOW", who, ticket(id), retry_after.map(|s| s.0)]),
        Action::Void { id } => json!(["RESPOND_ERROR", who, ticket(id)]),
        Action::Vote { build, stage, verdict } => {
            let how = match verdict {
                Verdict::Withdraw => 0,
                Verdict::On => 1,
                Verdict::Hold => 2,
                Verdict::Back => 3,
            };
            json!(["BALLOT", who, build, stage, how])
        }
        Action::Tell { to: Some(peer), message } => json!(["TELL", who, peer, mail::write(&message)]),
        Action::Tell { to: None, message } => json!(["TELL", who, "all", mail::write(&message)]),
        Action::Probe { server: to } => json!(["ASK_LOAD", who, server(to)]),
        Action::Listen => json!(["LISTEN", who, true]),
        Action::Wake { after } => json!(["SET_ALARM", who, ALARM, after.0]),
    }
}
