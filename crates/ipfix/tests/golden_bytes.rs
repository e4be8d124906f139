//! Compares encoded IPFIX and NetFlow v9 messages, and files of IPFIX messages, with golden bytes, and decodes them.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;

use golden::{check, Case};
use harrierdock_ipfix::*;

const EXPORT_TIME_S: u32 = 1_764_600_000;
const DOMAIN: u32 = 0x0102_0304;

/// A writer's settings, and its inputs in order. `sequence_number` is that of the first message.
struct Export {
    sequence_number: u32,
    max_message_octets: usize,
    inputs: Vec<Input>,
}

/// One call of the writer.
enum Input {
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

const OCTETS: InformationElement = element(None, 1, DataType::Unsigned64);
const PROTOCOL: InformationElement = element(None, 4, DataType::Unsigned8);
const PORT: InformationElement = element(None, 7, DataType::Unsigned16);
const INTERFACE: InformationElement = element(None, 10, DataType::Unsigned32);
const START: InformationElement = element(None, 152, DataType::DateTimeMilliseconds);
const NAME: InformationElement = element(None, 82, DataType::String);
const ENTERPRISE_ELEMENT: InformationElement =
    element(Some(ENTERPRISE_NUMBER), 1, DataType::Unsigned32);
const ENTERPRISE_TEXT: InformationElement = element(Some(ENTERPRISE_NUMBER), 2, DataType::String);

fn template(id: u16, scope_field_count: u16, fields: &[InformationElement]) -> Template {
    Template {
        id,
        scope_field_count,
        fields: fields.to_vec(),
    }
}

fn text_template(id: u16) -> Template {
    template(id, 0, &[NAME])
}

fn numbers(numbers: &[u64]) -> Vec<Value> {
    numbers
        .iter()
        .map(|number| Value::Number(*number))
        .collect()
}

fn texts(texts: &[&str]) -> Vec<Value> {
    texts.iter().map(|text| Value::from(*text)).collect()
}

/// A decoded record of `template`, with the octets of its fields in template order.
fn decoded(template: &Template, format: WireFormat, octets: &[&[u8]]) -> DataRecord {
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

fn message(format: WireFormat, sequence_number: u32, records: Vec<DataRecord>) -> Message {
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

fn encode(format: WireFormat, export: &Export) -> Vec<Vec<u8>> {
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
fn case(
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
fn shared_cases(format: WireFormat) -> Vec<Case<Export, Vec<Message>>> {
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

#[test]
fn ipfix_messages_and_files_have_the_golden_bytes() {
    let format = WireFormat::Ipfix;
    let mut cases = shared_cases(format);
    // The length takes one octet up to 254, and three octets from 255 on.
    let (text_254, text_255, text_300) = ("x".repeat(254), "y".repeat(255), "z".repeat(300));
    for (name, value) in [
        ("empty", ""),
        ("short", "lodge"),
        ("utf8", "Zürich"),
        ("254", &text_254),
        ("255", &text_255),
        ("300", &text_300),
    ] {
        let inputs = vec![
            Input::Template(text_template(300)),
            Input::Record(text_template(300), texts(&[value])),
        ];
        cases.push(case(
            format,
            &format!("text_{name}"),
            inputs,
            vec![decoded(&text_template(300), format, &[value.as_bytes()])],
        ));
    }
    let mixed = template(301, 1, &[ENTERPRISE_TEXT, PORT, NAME]);
    let values = vec![Value::from("a"), Value::from(2), Value::from("bc")];
    let inputs = vec![
        Input::Template(mixed.clone()),
        Input::Record(mixed.clone(), values),
        Input::Record(mixed.clone(), numbers(&[3; 3])),
    ];
    let records = vec![
        decoded(&mixed, format, &[b"a", &[0, 2], b"bc"]),
        decoded(&mixed, format, &[b"", &[0, 3], b""]),
    ];
    cases.push(case(format, "texts_in_options", inputs, records));
    // Files whose messages are ended by a flush, and by the size limit. The sequence number counts records and wraps.
    let record = |value: &str| Input::Record(text_template(300), texts(&[value]));
    let inputs = vec![
        Input::Template(text_template(300)),
        Input::Flush,
        record("a"),
        record("b"),
        Input::Flush,
        Input::Flush,
        record("c"),
    ];
    let wrapped = Export {
        sequence_number: u32::MAX,
        max_message_octets: 1400,
        inputs,
    };
    let decoded = |value: &str| decoded(&text_template(300), format, &[value.as_bytes()]);
    let messages = vec![
        message(format, u32::MAX, vec![]),
        message(format, u32::MAX, vec![decoded("a"), decoded("b")]),
        message(format, 1, vec![decoded("c")]),
    ];
    cases.push(("file_ended_by_hand".into(), wrapped, messages));
    let inputs = vec![
        Input::Template(text_template(300)),
        record(&text_300),
        record(&text_254),
        record(&text_255),
        record("d"),
    ];
    let messages = vec![
        message(format, 0, vec![decoded(&text_300)]),
        message(format, 1, vec![decoded(&text_254)]),
        message(format, 2, vec![decoded(&text_255), decoded("d")]),
    ];
    cases.push((
        "file_ended_by_size".into(),
        Export {
            sequence_number: 0,
            max_message_octets: 512,
            inputs,
        },
        messages,
    ));
    let decode = |file: &[u8]| {
        let mut reader = MessageReader::default();
        let file = split_file(file).expect("a file of messages");
        assert_eq!(file.end, FileEnd::Complete);
        file.messages
            .iter()
            .map(|message| reader.read(message).expect("a message"))
            .collect()
    };
    check(
        include_str!("golden/ipfix.txt"),
        &cases,
        |export| encode(format, export).concat(),
        decode,
    );
}

#[test]
fn netflow_v9_messages_have_the_golden_bytes() {
    let format = WireFormat::NetflowV9;
    let mut cases = shared_cases(format);
    // Text takes 32 octets; longer text is truncated at a character boundary.
    let (text_32, text_33, split_character) =
        ("x".repeat(32), "y".repeat(33), "z".repeat(31) + "ü");
    let mut padded = [0; 32];
    padded[..5].copy_from_slice(b"lodge");
    let mut truncated = [b'z'; 32];
    truncated[31] = 0;
    let values: [(&str, &str, [u8; 32]); 5] = [
        ("empty", "", [0; 32]),
        ("short", "lodge", padded),
        ("32", &text_32, [b'x'; 32]),
        ("33", &text_33, [b'y'; 32]),
        ("cut", &split_character, truncated),
    ];
    for (name, value, octets) in values {
        let inputs = vec![
            Input::Template(text_template(300)),
            Input::Record(text_template(300), texts(&[value])),
        ];
        cases.push(case(
            format,
            &format!("text_{name}"),
            inputs,
            vec![decoded(&text_template(300), format, &[&octets])],
        ));
    }
    let own = template(301, 1, &[NAME, ENTERPRISE_TEXT]);
    let inputs = vec![
        Input::Template(own.clone()),
        Input::Record(own.clone(), texts(&["lodge", ""])),
    ];
    cases.push(case(
        format,
        "texts_in_options",
        inputs,
        vec![decoded(&own, format, &[&padded, &[0; 32]])],
    ));
    let decode = |bytes: &[u8]| vec![MessageReader::default().read(bytes).expect("a message")];
    let encode_one = |export: &Export| {
        let messages = encode(format, export);
        assert_eq!(messages.len(), 1);
        messages.concat()
    };
    check(
        include_str!("golden/netflow_v9.txt"),
        &cases,
        encode_one,
        decode,
    );
}
