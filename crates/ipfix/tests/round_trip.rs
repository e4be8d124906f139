//! Both forms, read back by our own reader and by an independent one; and what cannot be read.

use harrierdock_ipfix::*;
use nanorand::{Rng, WyRand};
use netflow_parser::NetflowParser;

const fn own(id: u16, name: &'static str, kind: Kind) -> Element {
    Element {
        enterprise: Some(ENTERPRISE),
        id,
        name,
        kind,
        semantics: Semantics::Default,
        units: 0,
    }
}

const OCTETS: Element = Element {
    enterprise: None,
    id: 1,
    name: "octetDeltaCount",
    kind: Kind::Unsigned64,
    semantics: Semantics::DeltaCounter,
    units: 2,
};
const PORT: Element = Element {
    enterprise: None,
    id: 7,
    name: "sourceTransportPort",
    kind: Kind::Unsigned16,
    semantics: Semantics::Identifier,
    units: 0,
};

fn template(form: Form) -> Template {
    let text = own(2, "product", Kind::Text);
    let fields = match form {
        Form::Ipfix => vec![OCTETS, PORT, own(1, "build", Kind::Unsigned32), text],
        Form::V9 => vec![OCTETS, PORT],
    };
    Template {
        id: 256,
        scope: 0,
        fields,
    }
}

fn values(n: u64, text: &str) -> Vec<Value> {
    vec![
        Value::Number(n * 1_000_003),
        Value::Number(n % 60_000),
        Value::Number(n),
        Value::Text(text.into()),
    ]
}

fn written(form: Form, records: u64, most: usize) -> Vec<(Vec<u8>, u32)> {
    let mut writer = Writer::new(form, 7, most);
    let template = template(form);
    writer.template(&template).unwrap();
    for n in 0..records {
        writer.record(&template, &values(n, "lodge")).unwrap();
    }
    writer.flush();
    writer.take(1_764_600_000, 5_000)
}

#[test]
fn what_is_written_comes_back_and_sequence_numbers_count_what_each_form_counts() {
    for form in [Form::Ipfix, Form::V9] {
        let (mut reader, mut next, mut all) = (Reader::default(), 0, Vec::new());
        for (message, records) in written(form, 500, 1400) {
            assert!(message.len() <= 1400);
            let read = reader.read(&message).unwrap();
            assert_eq!(
                (read.time, read.domain, read.sequence),
                (1_764_600_000, 7, next)
            );
            assert_eq!((read.records.len() as u32, read.unknown_sets), (records, 0));
            next += if form == Form::Ipfix { records } else { 1 };
            all.extend(read.records);
        }
        let sums: u64 = all.iter().filter_map(|r| r.number(0, 1)).sum();
        assert_eq!(
            (all.len(), sums),
            (500, (0..500).map(|n| n * 1_000_003).sum())
        );
        if form == Form::Ipfix {
            assert!(all
                .iter()
                .all(|r| r.text(ENTERPRISE, 2).as_deref() == Some("lodge")));
        }
    }
}

#[test]
fn an_independent_reader_finds_the_same() {
    for form in [Form::Ipfix, Form::V9] {
        let mut parser = NetflowParser::default();
        let (mut count, mut text) = (0, String::new());
        for (message, _) in written(form, 500, 1400) {
            let parsed = format!("{:?}", parser.parse_bytes(&message));
            assert!(!parsed.contains("Error"), "{form:?}: {parsed}");
            count += parsed.matches("OctetDeltaCount").count() + parsed.matches("InBytes").count();
            text += &parsed;
        }
        // Each record names the element once, and the template does.
        assert!(
            (500..=502).contains(&count),
            "{form:?}: {count} records in {}",
            &text[..text.len().min(3000)]
        );
        let last = (499 * 1_000_003_u64).to_string();
        assert!(
            text.contains(&last),
            "{form:?}: the last value {last} is not there"
        );
    }
}

#[test]
fn a_message_at_the_limit_fills_it_to_the_octet_and_one_more_octet_starts_another() {
    let template = Template {
        id: 300,
        scope: 0,
        fields: vec![own(2, "text", Kind::Text)],
    };
    // A head of 16, a set's of 4, a length of 3 and the text.
    let text = |octets: usize| vec![Value::Text("x".repeat(octets))];
    let mut writer = Writer::new(Form::Ipfix, 1, 1400);
    writer.record(&template, &text(1400 - 23)).unwrap();
    writer.flush();
    assert_eq!(writer.take(0, 0)[0].0.len(), 1400);
    assert_eq!(writer.record(&template, &text(1400 - 22)), Err(Full));
    writer.record(&template, &text(600)).unwrap();
    writer.record(&template, &text(1400 - 23 - 603)).unwrap();
    writer.record(&template, &text(1)).unwrap();
    writer.flush();
    let sizes: Vec<usize> = writer.take(0, 0).iter().map(|m| m.0.len()).collect();
    assert_eq!(sizes, [1400, 22]);
}

#[test]
fn options_templates_tell_their_scope_and_numbers_wrap_only_as_the_sequence_does() {
    let options = Template {
        id: 400,
        scope: 1,
        fields: vec![PORT, OCTETS],
    };
    for form in [Form::Ipfix, Form::V9] {
        let mut writer = Writer::new(form, 1, 1400);
        writer.go_on(u32::MAX);
        writer.template(&options).unwrap();
        writer
            .record(&options, &[Value::Number(70_000), Value::Number(u64::MAX)])
            .unwrap();
        writer.flush();
        assert_eq!(writer.sequence(), 0);
        let message = Reader::default().read(&writer.take(0, 0)[0].0).unwrap();
        let record = &message.records[0];
        assert_eq!((message.sequence, record.scope), (u32::MAX, 1));
        let wide = record.number(0, 1);
        assert_eq!(
            (record.fields[0].2.clone(), wide),
            (vec![0xff, 0xff], Some(u64::MAX)),
            "{form:?}"
        );
    }
}

#[test]
fn a_reader_that_has_lost_its_templates_says_so_until_they_come_again() {
    let messages = written(Form::Ipfix, 200, 600);
    let mut reader = Reader::default();
    reader.read(&messages[0].0).unwrap();
    reader.forget();
    let lost = reader.read(&messages[1].0).unwrap();
    assert_eq!((lost.records.len(), lost.unknown_sets), (0, 1));
    reader.read(&messages[0].0).unwrap();
    assert_eq!(
        reader.read(&messages[1].0).unwrap().records.len() as u32,
        messages[1].1
    );
}

#[test]
fn a_file_that_is_torn_gives_back_what_is_whole() {
    let file: Vec<u8> = written(Form::Ipfix, 100, 600)
        .into_iter()
        .flat_map(|m| m.0)
        .collect();
    let (whole, torn) = split_file(&file).unwrap();
    assert_eq!(torn, Torn::Whole);
    let mut ends = vec![0];
    whole
        .iter()
        .for_each(|m| ends.push(ends[ends.len() - 1] + m.len()));
    for cut in 0..file.len() {
        let (messages, torn) = split_file(&file[..cut]).unwrap();
        let end = *ends.iter().rev().find(|e| **e <= cut).unwrap();
        let expected = if end == cut {
            Torn::Whole
        } else {
            Torn::At(end)
        };
        assert_eq!(
            (messages.iter().map(|m| m.len()).sum::<usize>(), torn),
            (end, expected)
        );
    }
    assert_eq!(
        split_file(b"not a file of messages"),
        Err((0, Fault::Version(u16::from_be_bytes(*b"no"))))
    );
}

#[test]
fn whatever_comes_in_ends_in_a_message_or_a_fault_and_what_is_kept_is_bounded() {
    let mut chance = WyRand::new_seed(11);
    let mut reader = Reader::default();
    for form in [Form::Ipfix, Form::V9] {
        let messages = written(form, 30, 1400);
        for (message, _) in &messages {
            for cut in 0..message.len() {
                let _ = reader.read(&message[..cut]);
            }
            for bit in 0..message.len() * 8 {
                let mut odd = message.clone();
                odd[bit / 8] ^= 1 << (bit % 8);
                let _ = reader.read(&odd);
            }
        }
    }
    for _ in 0..5000 {
        let mut noise = vec![0; chance.generate_range(0..300_usize)];
        chance.fill_bytes(&mut noise);
        if noise.len() > 4 {
            noise[0] = 0;
            noise[1] = if noise[4] & 1 == 0 { 10 } else { 9 };
            let length = (noise.len() as u16).to_be_bytes();
            noise[2..4].copy_from_slice(&length);
        }
        let _ = reader.read(&noise);
    }
    // Templates without end are refused, and empty ones do not make endless records.
    let mut writer = Writer::new(Form::Ipfix, 99, 65_000);
    for id in 256..1256 {
        writer
            .template(&Template {
                id,
                scope: 0,
                fields: vec![PORT],
            })
            .unwrap();
    }
    writer.flush();
    assert_eq!(reader.read(&writer.take(0, 0)[0].0), Err(Fault::TooMany));
}
