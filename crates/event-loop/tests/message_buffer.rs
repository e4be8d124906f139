//! Messages of a stream are the same however their bytes are split, and a message that is too long costs no others.

use harrierdock_event_loop::{AssembledMessage, MessageBuffer, MessageFraming};
use harrierdock_http::{MessageReader, Progress};

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The messages of a stream that arrives in pieces, and the length of the incomplete one at its end.
fn assemble(buffer: &mut MessageBuffer, pieces: &[&[u8]]) -> (Vec<String>, usize) {
    let messages = pieces
        .iter()
        .flat_map(|piece| buffer.push_lines(piece))
        .map(|message| match message {
            AssembledMessage::Complete(bytes) => text(&bytes),
            AssembledMessage::TooLong => "too long".into(),
        })
        .collect();
    (messages, buffer.partial_bytes())
}

fn assert_same_for_every_split(
    framing: MessageFraming,
    max: usize,
    stream: &str,
    expected: &[&str],
) {
    let bytes = stream.as_bytes();
    for cut in 0..=bytes.len() {
        let mut buffer = MessageBuffer::new(framing, max);
        let (messages, _) = assemble(&mut buffer, &[&bytes[..cut], &bytes[cut..]]);
        assert_eq!(messages, expected, "cut at {cut}");
    }
    let mut buffer = MessageBuffer::new(framing, max);
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(assemble(&mut buffer, &single).0, expected);
}

#[test]
fn stream_lines_are_complete_for_every_split() {
    let text_bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n3\r\ntw\r\r\n4\r\no\r\n\n\r\n2\r\n{}\r\n";
    for cut in 0..=text_bytes.len() {
        let mut reader = MessageReader::without_body_limit();
        let mut buffer = MessageBuffer::new(MessageFraming::Line, 100);
        let (mut bytes, mut lines) = (Vec::new(), Vec::new());
        for part in [&text_bytes[..cut], &text_bytes[cut..]] {
            bytes.extend_from_slice(part);
            assert_eq!(reader.read_response(&mut bytes), Ok(Progress::Incomplete));
            let (messages, _) = assemble(&mut buffer, &[&bytes[reader.body()]]);
            lines.extend(messages);
            reader.discard_body(&mut bytes);
        }
        assert_eq!(lines, ["one", "tw\ro", ""], "cut at {cut}");
        assert_eq!(buffer.partial_bytes(), 2, "cut at {cut}");
    }
}

#[test]
fn a_document_ends_with_the_line_that_closes_its_last_bracket() {
    let indented = "{\n  \"members\": [\n\n    {\"id\": \"a}]\\\"{\"},\n    {}\n  ]\n}";
    let stream = format!("\n{indented}\r\n\n{{\"revision\":1}}\nnoise\n{{}}{{}}\n{{");
    assert_same_for_every_split(
        MessageFraming::JsonDocument,
        100,
        &stream,
        &["", indented, "", "{\"revision\":1}", "noise", "{}{}"],
    );
}

/// Guards against a list that is cut off and taken for a part of all lists that follow.
#[test]
fn a_document_that_cannot_continue_ends_where_that_shows() {
    for stream in [
        "{\"revision\":43\n{",
        "{\"revision\":43,\n{",
        "{\"members\":[{}\n{",
        "{\"rev\n",
        "{\"members\":[}",
        "]",
    ] {
        let mut buffer = MessageBuffer::new(MessageFraming::JsonDocument, 100);
        assert_eq!(
            assemble(&mut buffer, &[stream.as_bytes()]),
            (vec![stream.trim_end().to_string()], 0)
        );
    }
    let mut buffer = MessageBuffer::new(MessageFraming::JsonDocument, 1_000);
    assert_eq!(
        assemble(&mut buffer, &["[".repeat(200).as_bytes()]).0.len(),
        1
    );
}

#[test]
fn a_message_that_is_too_long_is_skipped_up_to_its_line_break() {
    for framing in [MessageFraming::Line, MessageFraming::JsonDocument] {
        assert_same_for_every_split(
            framing,
            6,
            "[[1]]\n{\"a\":[1,2,3]}\n\n[[2]]\n",
            &["[[1]]", "too long", "", "[[2]]"],
        );
    }
}

#[test]
fn a_response_of_the_maximum_length_is_accepted_and_no_longer_one() {
    let mut buffer = MessageBuffer::new(MessageFraming::Line, 4);
    assert!(buffer.append(b"12") && buffer.append(b"34"));
    assert_eq!(buffer.take(), b"1234");
    assert!(buffer.append(b"1234") && !buffer.append(b"5"));
    assert_eq!(buffer.partial_bytes(), 0);
}
