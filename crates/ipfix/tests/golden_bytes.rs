//! Compares encoded IPFIX and NetFlow v9 messages, and files of IPFIX messages, with golden bytes, and decodes them.

#[path = "../../types/tests/golden/mod.rs"]
mod golden;
mod message_cases;

use golden::check;
use harrierdock_ipfix::*;
use message_cases::*;

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
