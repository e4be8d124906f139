//! Decodes both wire formats with this package and with an independent library, and rejects malformed input.

use harrierdock_ipfix::*;
use nanorand::{Rng, WyRand};
use netflow_parser::NetflowParser;

const fn enterprise_element(
    id: u16,
    name: &'static str,
    data_type: DataType,
) -> InformationElement {
    InformationElement {
        enterprise: Some(ENTERPRISE_NUMBER),
        id,
        name,
        data_type,
        semantics: Semantics::Default,
        units: 0,
    }
}

const OCTETS: InformationElement = InformationElement {
    enterprise: None,
    id: 1,
    name: "octetDeltaCount",
    data_type: DataType::Unsigned64,
    semantics: Semantics::DeltaCounter,
    units: 2,
};
const PORT: InformationElement = InformationElement {
    enterprise: None,
    id: 7,
    name: "sourceTransportPort",
    data_type: DataType::Unsigned16,
    semantics: Semantics::Identifier,
    units: 0,
};

fn template(format: WireFormat) -> Template {
    let text = enterprise_element(2, "product", DataType::String);
    let fields = match format {
        WireFormat::Ipfix => vec![
            OCTETS,
            PORT,
            enterprise_element(1, "build", DataType::Unsigned32),
            text,
        ],
        WireFormat::NetflowV9 => vec![OCTETS, PORT],
    };
    Template {
        id: 256,
        scope_field_count: 0,
        fields,
    }
}

fn nth_values(n: u64, text: &str) -> Vec<Value> {
    vec![
        Value::Number(n * 1_000_003),
        Value::Number(n % 60_000),
        Value::Number(n),
        Value::Text(text.into()),
    ]
}

fn encode(format: WireFormat, record_count: u64, max_message_octets: usize) -> Vec<EncodedMessage> {
    let mut writer = MessageWriter::new(format, 7, max_message_octets);
    let template = template(format);
    writer.add_template(&template).unwrap();
    for n in 0..record_count {
        writer
            .add_record(&template, &nth_values(n, "lodge"))
            .unwrap();
    }
    writer.flush();
    writer.take_messages(1_764_600_000, 5_000)
}

#[test]
fn decoded_records_equal_the_encoded_ones_and_sequence_numbers_follow_the_wire_format() {
    for format in [WireFormat::Ipfix, WireFormat::NetflowV9] {
        let (mut reader, mut next_sequence_number, mut records) =
            (MessageReader::default(), 0, Vec::new());
        for EncodedMessage {
            octets: message,
            record_count,
        } in encode(format, 500, 1400)
        {
            assert!(message.len() <= 1400);
            let read = reader.read(&message).unwrap();
            assert_eq!(
                (
                    read.export_time_s,
                    read.observation_domain,
                    read.sequence_number
                ),
                (1_764_600_000, 7, next_sequence_number)
            );
            assert_eq!(
                (read.records.len() as u32, read.unknown_set_count),
                (record_count, 0)
            );
            next_sequence_number += if format == WireFormat::Ipfix {
                record_count
            } else {
                1
            };
            records.extend(read.records);
        }
        let octet_sum: u64 = records
            .iter()
            .filter_map(|record| record.number(0, 1))
            .sum();
        assert_eq!(
            (records.len(), octet_sum),
            (500, (0..500).map(|n| n * 1_000_003).sum())
        );
        if format == WireFormat::Ipfix {
            assert!(records
                .iter()
                .all(|record| record.text(ENTERPRISE_NUMBER, 2).as_deref() == Some("lodge")));
        }
    }
}

#[test]
fn netflow_v9_records_shorter_than_their_padding_are_read_without_it() {
    let field = |data_type| InformationElement { data_type, ..PORT };
    for (data_type, octets) in [(DataType::Unsigned8, 1), (DataType::Unsigned16, 2)] {
        for count in 1..9 {
            let template = Template {
                id: 256,
                scope_field_count: 0,
                fields: vec![field(data_type)],
            };
            let mut writer = MessageWriter::new(WireFormat::NetflowV9, 7, 1400);
            writer.add_template(&template).unwrap();
            for _ in 0..count {
                writer.add_record(&template, &[Value::Number(0)]).unwrap();
            }
            writer.flush();
            let messages = writer.take_messages(1_764_600_000, 5_000);
            let read = MessageReader::default().read(&messages[0].octets).unwrap();
            assert_eq!(read.records.len(), count, "records of {octets} octets");
        }
    }
}

#[test]
fn an_independent_library_decodes_the_same_records() {
    for format in [WireFormat::Ipfix, WireFormat::NetflowV9] {
        let mut parser = NetflowParser::default();
        let (mut count, mut text) = (0, String::new());
        for EncodedMessage {
            octets: message, ..
        } in encode(format, 500, 1400)
        {
            let parsed = format!("{:?}", parser.parse_bytes(&message));
            assert!(!parsed.contains("Error"), "{format:?}: {parsed}");
            count += parsed.matches("OctetDeltaCount").count() + parsed.matches("InBytes").count();
            text += &parsed;
        }
        // The element name occurs once in each record, and in the template.
        assert!(
            (500..=502).contains(&count),
            "{format:?}: {count} records in {}",
            &text[..text.len().min(3000)]
        );
        let last = (499 * 1_000_003_u64).to_string();
        assert!(
            text.contains(&last),
            "{format:?}: the last value {last} is missing"
        );
    }
}

#[test]
fn a_message_fills_the_size_limit_exactly_and_one_more_octet_starts_another() {
    let template = Template {
        id: 300,
        scope_field_count: 0,
        fields: vec![enterprise_element(2, "text", DataType::String)],
    };
    // Besides the text: 16 octets of message header, 4 of set header and 3 of length.
    let text = |octets: usize| vec![Value::Text("x".repeat(octets))];
    let mut writer = MessageWriter::new(WireFormat::Ipfix, 1, 1400);
    writer.add_record(&template, &text(1400 - 23)).unwrap();
    writer.flush();
    assert_eq!(writer.take_messages(0, 0)[0].octets.len(), 1400);
    assert_eq!(
        writer.add_record(&template, &text(1400 - 22)),
        Err(RecordTooLarge)
    );
    writer.add_record(&template, &text(600)).unwrap();
    writer
        .add_record(&template, &text(1400 - 23 - 603))
        .unwrap();
    writer.add_record(&template, &text(1)).unwrap();
    writer.flush();
    let sizes: Vec<usize> = writer
        .take_messages(0, 0)
        .iter()
        .map(|message| message.octets.len())
        .collect();
    assert_eq!(sizes, [1400, 22]);
}

#[test]
fn options_templates_keep_their_scope_and_only_sequence_numbers_wrap() {
    let options = Template {
        id: 400,
        scope_field_count: 1,
        fields: vec![PORT, OCTETS],
    };
    for format in [WireFormat::Ipfix, WireFormat::NetflowV9] {
        let mut writer = MessageWriter::new(format, 1, 1400);
        writer.set_sequence_number(u32::MAX);
        writer.add_template(&options).unwrap();
        writer
            .add_record(&options, &[Value::Number(70_000), Value::Number(u64::MAX)])
            .unwrap();
        writer.flush();
        assert_eq!(writer.sequence_number(), 0);
        let message = MessageReader::default()
            .read(&writer.take_messages(0, 0)[0].octets)
            .unwrap();
        let record = &message.records[0];
        assert_eq!(
            (message.sequence_number, record.scope_field_count),
            (u32::MAX, 1)
        );
        let octet_count = record.number(0, 1);
        assert_eq!(
            (record.fields[0].octets.clone(), octet_count),
            (vec![0xff, 0xff], Some(u64::MAX)),
            "{format:?}"
        );
    }
}

#[test]
fn records_without_a_template_are_reported_until_the_template_is_received_again() {
    let messages = encode(WireFormat::Ipfix, 200, 600);
    let mut reader = MessageReader::default();
    reader.read(&messages[0].octets).unwrap();
    reader.clear_templates();
    let skipped = reader.read(&messages[1].octets).unwrap();
    assert_eq!((skipped.records.len(), skipped.unknown_set_count), (0, 1));
    reader.read(&messages[0].octets).unwrap();
    assert_eq!(
        reader.read(&messages[1].octets).unwrap().records.len() as u32,
        messages[1].record_count
    );
}

#[test]
fn a_truncated_file_yields_its_complete_messages() {
    let file: Vec<u8> = encode(WireFormat::Ipfix, 100, 600)
        .into_iter()
        .flat_map(|message| message.octets)
        .collect();
    let complete = split_file(&file).unwrap();
    assert_eq!(complete.end, FileEnd::Complete);
    let mut ends = vec![0];
    complete
        .messages
        .iter()
        .for_each(|message| ends.push(ends[ends.len() - 1] + message.len()));
    for length in 0..file.len() {
        let split = split_file(&file[..length]).unwrap();
        let end = *ends.iter().rev().find(|end| **end <= length).unwrap();
        let expected = if end == length {
            FileEnd::Complete
        } else {
            FileEnd::TruncatedAt(end)
        };
        assert_eq!(
            (
                split
                    .messages
                    .iter()
                    .map(|message| message.len())
                    .sum::<usize>(),
                split.end
            ),
            (end, expected)
        );
    }
    assert_eq!(
        split_file(b"not a file of messages"),
        Err(FileError {
            offset: 0,
            source: DecodeError::UnsupportedVersion(u16::from_be_bytes(*b"no"))
        })
    );
}

#[test]
fn any_input_decodes_to_a_message_or_an_error_and_the_template_store_is_bounded() {
    let mut rng = WyRand::new_seed(11);
    let mut reader = MessageReader::default();
    for format in [WireFormat::Ipfix, WireFormat::NetflowV9] {
        let messages = encode(format, 30, 1400);
        for EncodedMessage {
            octets: message, ..
        } in &messages
        {
            for length in 0..message.len() {
                let _ = reader.read(&message[..length]);
            }
            for bit in 0..message.len() * 8 {
                let mut corrupted = message.clone();
                corrupted[bit / 8] ^= 1 << (bit % 8);
                let _ = reader.read(&corrupted);
            }
        }
    }
    for _ in 0..5000 {
        let mut noise = vec![0; rng.generate_range(0..300_usize)];
        rng.fill_bytes(&mut noise);
        if noise.len() > 4 {
            noise[0] = 0;
            noise[1] = if noise[4] & 1 == 0 { 10 } else { 9 };
            let length = (noise.len() as u16).to_be_bytes();
            noise[2..4].copy_from_slice(&length);
        }
        let _ = reader.read(&noise);
    }
    // A message with more templates than the limit is rejected.
    let mut writer = MessageWriter::new(WireFormat::Ipfix, 99, 65_000);
    for id in 256..1256 {
        writer
            .add_template(&Template {
                id,
                scope_field_count: 0,
                fields: vec![PORT],
            })
            .unwrap();
    }
    writer.flush();
    assert_eq!(
        reader.read(&writer.take_messages(0, 0)[0].octets),
        Err(DecodeError::LimitExceeded)
    );
}
