//! Measures how many records per second one core encodes and decodes.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use harrierdock_ipfix::{
    DataType, EncodedMessage, InformationElement, MessageReader, MessageWriter, Semantics,
    Template, Value, WireFormat, ENTERPRISE_NUMBER,
};

const RECORDS: u64 = 1000;

fn own_element(id: u16, data_type: DataType) -> InformationElement {
    InformationElement {
        enterprise: Some(ENTERPRISE_NUMBER),
        id,
        name: "x",
        data_type,
        semantics: Semantics::Default,
        units: 0,
    }
}

fn encode(format: WireFormat, template: &Template, values: &[Value]) -> Vec<EncodedMessage> {
    let mut writer = MessageWriter::new(format, 1, 1400);
    writer.add_template(template).expect("a template fits");
    for _ in 0..RECORDS {
        writer.add_record(template, values).expect("a record fits");
    }
    writer.flush();
    writer.take_messages(1, 1)
}

fn encoding(criterion: &mut Criterion) {
    // Three texts and eighteen numbers, as in a flow of attempts.
    let texts = (1..4).map(|id| own_element(id, DataType::String));
    let numbers = (4..22).map(|id| own_element(id, DataType::Unsigned64));
    let template = Template {
        id: 256,
        scope_field_count: 0,
        fields: texts.chain(numbers).collect(),
    };
    let mut values: Vec<Value> = ["payment", "served", "here"].map(Value::from).into();
    values.extend((0..18).map(|n| Value::Number(n * 1_000_003)));
    let mut group = criterion.benchmark_group("records");
    group.throughput(Throughput::Elements(RECORDS));
    for format in [WireFormat::Ipfix, WireFormat::NetflowV9] {
        group.bench_function(format!("write {format:?}"), |b| {
            b.iter(|| black_box(encode(format, &template, &values)))
        });
        let messages = encode(format, &template, &values);
        group.bench_function(format!("read {format:?}"), |b| {
            b.iter(|| {
                let mut reader = MessageReader::default();
                messages
                    .iter()
                    .for_each(|message| drop(black_box(reader.read(&message.octets))));
            })
        });
    }
}

criterion_group!(benches, encoding);
criterion_main!(benches);
