//! The simulated gateways of one process, called instances. They share only the endpoint lists that the simulator has sent.

use std::collections::BTreeMap;

use harrierdock_config::Names;
use harrierdock_policy::Policy;
use harrierdock_types::Timestamp;
use serde_json::{json, Value};

use crate::commands::encode_command;
use crate::error::{BatchError, EventError};
use crate::inputs::EventReader;
use crate::row::Row;

struct Instance {
    policy: Policy,
    names: Names,
}

/// All instances and endpoint lists, by the numbers that the simulator assigned to them.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<i64, Instance>,
    lists: BTreeMap<i64, Vec<Value>>,
}

impl Host {
    /// Handles one batch of events and returns the reply with the resulting commands.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<Value, BatchError> {
        let batch: Value = serde_json::from_str(line)?;
        let now = batch["ts"].as_i64().ok_or(BatchError::MissingTimestamp)?;
        let events = batch["input"].as_array().ok_or(BatchError::MissingEvents)?;
        let mut commands = Vec::new();
        for (index, event) in events.iter().enumerate() {
            let number = index + 1;
            let row = Row(event
                .as_array()
                .ok_or(BatchError::NotAnArray { event: number })?);
            let name = row.text(0).map_err(|source| BatchError::MissingName {
                event: number,
                source,
            })?;
            self.handle_event(name, row, now, &mut commands)
                .map_err(|source| BatchError::Event {
                    event: number,
                    name: name.into(),
                    source,
                })?;
        }
        Ok(json!({ "cmds": commands }))
    }

    fn handle_event(
        &mut self,
        name: &str,
        row: Row<'_>,
        now: i64,
        commands: &mut Vec<Value>,
    ) -> Result<(), EventError> {
        match name {
            "ROSTER" => self.store_list(row),
            "BOOT" => self.start_instance(row),
            "DESTROY" => self.stop_instance(row),
            _ => self.handle_instance_event(name, row, now, commands),
        }
    }

    fn store_list(&mut self, row: Row<'_>) -> Result<(), EventError> {
        let entries = row.value(2).as_array().ok_or(EventError::WrongValue {
            at: 2,
            expected: "a list",
        })?;
        self.lists.insert(row.integer(1)?, entries.clone());
        Ok(())
    }

    fn start_instance(&mut self, row: Row<'_>) -> Result<(), EventError> {
        let number = row.integer(1)?;
        let seed = row.value(2);
        let seed = seed
            .as_u64()
            .or_else(|| seed.as_i64().map(|seed| seed as u64));
        let seed = seed.ok_or(EventError::InvalidSeed { at: 2 })?;
        let (parameters, names) = harrierdock_config::read(row.value(3))?;
        self.instances.insert(
            number,
            Instance {
                policy: Policy::new(parameters, seed),
                names,
            },
        );
        Ok(())
    }

    fn stop_instance(&mut self, row: Row<'_>) -> Result<(), EventError> {
        let number = row.integer(1)?;
        match self.instances.remove(&number) {
            Some(_) => Ok(()),
            None => Err(EventError::UnknownInstance { instance: number }),
        }
    }

    fn handle_instance_event(
        &mut self,
        name: &str,
        row: Row<'_>,
        now: i64,
        commands: &mut Vec<Value>,
    ) -> Result<(), EventError> {
        let number = row.integer(1)?;
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or(EventError::UnknownInstance { instance: number })?;
        let lists = &self.lists;
        let find_list = |number| lists.get(&number).map(Vec::as_slice);
        let mut reader = EventReader {
            names: &mut instance.names,
            now,
        };
        let Some(event) = reader.read(name, row, find_list)? else {
            return Ok(());
        };
        for action in instance.policy.handle(Timestamp(now), event) {
            commands.push(encode_command(number, &instance.names, action));
        }
        Ok(())
    }
}
