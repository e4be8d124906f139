//! Cases for the golden tests: a writer's inputs, and the records decoded from its messages.

use crate::golden::Case;
use harrierdock_ipfix::*;

const EXPORT_TIME_S: u32 = 1_764_600_000;
const DOMAIN: u32 = 0x0102_0304;

/// A writer's settings, and its inputs in order. `sequence_number` is that of the first message.
pub struct Export {
    pub sequence_number: u32,
    pub max_message_octets: usize,
    pub inputs: Vec<Input>,
}

/// One call of the writer.
pub enum Input {
    Template(Template),
    Record(Template, Vec<Value>),
    /// Ends the current message.
    Flush,
}

const fn element(enterprise: Option<u32>, id: u16, data_type: DataType) -> InformationElement {
    InformationElement {
        enterprise,
        id,
        name: "",
        data_type,
        semantics: Semantics::Default,
        units: 0,
    }
}

pub const OCTETS: InformationElement = element(None, 1, DataType::Unsigned64);
const PROTOCOL: InformationElement = element(None, 4, DataType::Unsigned8);
pub const PORT: InformationElement = element(None, 7, DataType::Unsigned16);
const INTERFACE: InformationElement = element(None, 10, DataType::Unsigned32);
const START: InformationElement = element(None, 152, DataType::DateTimeMilliseconds);
pub const NAME: InformationElement = element(None, 82, DataType::String);
const ENTERPRISE_ELEMENT: InformationElement =
    element(Some(ENTERPRISE_NUMBER), 1, DataType::Unsigned32);
pub const ENTERPRISE_TEXT: InformationElement =
    element(Some(ENTERPRISE_NUMBER), 2, DataType::String);

pub fn template(id: u16, scope_field_count: u16, fields: &[InformationElement]) -> Template {
    Template {
        id,
        scope_field_count,
        fields: fields.to_vec(),
    }
}

pub fn text_template(id: u16) -> Template {
    template(id, 0, &[NAME])
}

pub fn numbers(numbers: &[u64]) -> Vec<Value> {
    numbers
        .iter()
        .map(|number| Value::Number(*number))
        .collect()
}

pub fn texts(texts: &[&str]) -> Vec<Value> {
    texts.iter().map(|text| Value::from(*text)).collect()
}

/// A decoded record of `template`, with the octets of its fields in template order.
pub fn decoded(template: &Template, format: WireFormat, octets: &[&[u8]]) -> DataRecord {
    let field = |(index, (element, octets)): (usize, (&InformationElement, &&[u8]))| {
        let is_scope = index < usize::from(template.scope_field_count);
        let (enterprise, id) = if is_scope && format == WireFormat::NetflowV9 {
            (NETFLOW_V9_SCOPE, 1)
        } else {
            (element.enterprise.unwrap_or(0), element.id)
        };
        FieldValue {
            enterprise,
            element_id: id,
            octets: octets.to_vec(),
        }
    };
    let fields = template
        .fields
        .iter()
        .zip(octets)
        .enumerate()
        .map(field)
        .collect();
    DataRecord {
        template_id: template.id,
        scope_field_count: template.scope_field_count,
        fields,
    }
}

pub fn message(format: WireFormat, sequence_number: u32, records: Vec<DataRecord>) -> Message {
    let version = if format == WireFormat::Ipfix { 10 } else { 9 };
    Message {
        version,
        export_time_s: EXPORT_TIME_S,
        sequence_number,
        observation_domain: DOMAIN,
        records,
        unknown_set_count: 0,
    }
}

pub fn encode(format: WireFormat, export: &Export) -> Vec<Vec<u8>> {
    let mut writer = MessageWriter::new(format, DOMAIN, export.max_message_octets);
    writer.set_sequence_number(export.sequence_number);
    for input in &export.inputs {
        match input {
            Input::Template(template) => writer.add_template(template).expect("the template fits"),
            Input::Record(template, values) => writer
                .add_record(template, values)
                .expect("the record fits"),
            Input::Flush => writer.flush(),
        }
    }
    writer.flush();
    writer
        .take_messages(EXPORT_TIME_S, 0x0a0b_0c0d)
        .into_iter()
        .map(|message| message.octets)
        .collect()
}

/// A case of one message.
pub fn case(
    format: WireFormat,
    name: &str,
    inputs: Vec<Input>,
    records: Vec<DataRecord>,
) -> Case<Export, Vec<Message>> {
    (
        name.into(),
        Export {
            sequence_number: 7,
            max_message_octets: 1400,
            inputs,
        },
        vec![message(format, 7, records)],
    )
}

/// Cases for both formats: the smallest and largest values of every type, values that are too large, missing or of the wrong
/// type, scope fields, and sets.
pub fn shared_cases(format: WireFormat) -> Vec<Case<Export, Vec<Message>>> {
    let all = template(
        256,
        0,
        &[OCTETS, PROTOCOL, PORT, INTERFACE, START, ENTERPRISE_ELEMENT],
    );
    let low: [&[u8]; 6] = [&[0; 8], &[0], &[0; 2], &[0; 4], &[0; 8], &[0; 4]];
    let high: [&[u8]; 6] = [
        &[255; 8],
        &[255],
        &[255; 2],
        &[255; 4],
        &[255; 8],
        &[255; 4],
    ];
    let order: [&[u8]; 6] = [
        &[1, 2, 3, 4, 5, 6, 7, 8],
        &[9],
        &[10, 11],
        &[12, 13, 14, 15],
        &[0, 0, 1, 0x9a, 0xda, 0x47, 0x76, 0],
        &[16, 17, 18, 19],
    ];
    let ordered = numbers(&[
        0x0102_0304_0506_0708,
        9,
        0x0a0b,
        0x0c0d_0e0f,
        0x0000_019a_da47_7600,
        0x1011_1213,
    ]);
    let record = |values| {
        vec![
            Input::Template(all.clone()),
            Input::Record(all.clone(), values),
        ]
    };
    let scoped = template(400, 1, &[PORT, OCTETS, ENTERPRISE_ELEMENT]);
    let scopes = template(401, 2, &[PORT, INTERFACE, PROTOCOL]);
    let options = vec![
        Input::Template(scoped.clone()),
        Input::Template(scopes.clone()),
        Input::Record(scoped.clone(), numbers(&[5, 6, 7])),
        Input::Record(scopes.clone(), numbers(&[8, 9, 10])),
    ];
    let decoded_options = vec![
        decoded(
            &scoped,
            format,
            &[&[0, 5], &[0, 0, 0, 0, 0, 0, 0, 6], &[0, 0, 0, 7]],
        ),
        decoded(&scopes, format, &[&[0, 8], &[0, 0, 0, 9], &[10]]),
    ];
    // No record is shorter than the padding of NetFlow v9, which could not be distinguished from a record.
    let (small, large) = (
        template(257, 0, &[PROTOCOL, PORT]),
        template(65_535, 0, &[INTERFACE]),
    );
    let mixed = vec![
        Input::Template(small.clone()),
        Input::Template(large.clone()),
        Input::Record(small.clone(), numbers(&[6, 443])),
        Input::Record(large.clone(), numbers(&[443])),
        Input::Record(small.clone(), numbers(&[17, 53])),
    ];
    let decoded_mixed = vec![
        decoded(&small, format, &[&[6], &[1, 187]]),
        decoded(&large, format, &[&[0, 0, 1, 187]]),
        decoded(&small, format, &[&[17], &[0, 53]]),
    ];
    let one_record = |octets| vec![decoded(&all, format, octets)];
    let mut cases = vec![
        case(
            format,
            "template",
            vec![Input::Template(all.clone())],
            vec![],
        ),
        case(format, "zeros", record(numbers(&[0; 6])), one_record(&low)),
        case(
            format,
            "largest",
            record(numbers(&[u64::MAX; 6])),
            one_record(&high),
        ),
        case(
            format,
            "too_large",
            record(numbers(&[
                u64::MAX,
                256,
                65_536,
                1 << 32,
                u64::MAX,
                1 << 40,
            ])),
            one_record(&high),
        ),
        case(format, "octet_order", record(ordered), one_record(&order)),
        case(format, "missing_values", record(vec![]), one_record(&low)),
        case(
            format,
            "wrong_kind",
            record(texts(&["a"; 6])),
            one_record(&low),
        ),
        case(format, "options", options, decoded_options),
        case(format, "sets_by_turns", mixed, decoded_mixed),
    ];
    let skipped = Message {
        unknown_set_count: 1,
        ..message(format, 7, vec![])
    };
    let export = Export {
        sequence_number: 7,
        max_message_octets: 1400,
        inputs: vec![Input::Record(all, numbers(&[1; 6]))],
    };
    cases.push(("no_template".into(), export, vec![skipped]));
    let last = Export {
        sequence_number: u32::MAX,
        max_message_octets: 1400,
        inputs: vec![Input::Template(small.clone())],
    };
    cases.push((
        "last_sequence".into(),
        last,
        vec![message(format, u32::MAX, vec![])],
    ));
    cases
}
