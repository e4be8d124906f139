//! Messages split at any byte parse like unsplit ones, and size limits are enforced.

use expect_test::expect;
use harrierdock_http::{
    MessageReader, ParseError, Progress, RequestHead, ResponseHead, BUFFER_BYTES, MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
};

type Reader = fn(&mut MessageReader, &mut Vec<u8>) -> Result<Progress, ParseError>;

fn describe(reader: &mut MessageReader, bytes: &mut Vec<u8>, progress: Progress) -> String {
    let body = String::from_utf8_lossy(&bytes[reader.body()]).into_owned();
    let keeps_alive = match RequestHead::parse(bytes) {
        Ok(Some(head)) => head.keeps_alive(),
        _ => ResponseHead::parse(bytes).is_ok_and(|h| h.is_some_and(|h| h.keeps_alive())),
    };
    reader.consume(bytes);
    format!(
        "{progress:?} {body:?} keep-alive {keeps_alive}, then {:?}",
        String::from_utf8_lossy(bytes)
    )
}

/// Reads a message that arrives in two parts.
fn read_split(read: Reader, text: &[u8], cut: usize) -> String {
    let (mut reader, mut bytes) = (MessageReader::default(), Vec::with_capacity(BUFFER_BYTES));
    let mut prefix = "";
    for part in [&text[..cut], &text[cut..]] {
        bytes.extend_from_slice(part);
        match read(&mut reader, &mut bytes) {
            Err(error) => return format!("{error:?} {}", error.status()),
            // Bytes after a complete message are not consumed, so the rest of the text is there for any split.
            Ok(Progress::Complete) if part.len() == text.len() - cut => {
                return prefix.to_owned() + &describe(&mut reader, &mut bytes, Progress::Complete);
            }
            Ok(Progress::ExpectsContinue) => prefix = "expects continue, ",
            Ok(_) => {}
        }
    }
    if reader.record_end_of_input() {
        return describe(&mut reader, &mut bytes, Progress::Complete) + " at the end";
    }
    format!("{prefix}incomplete")
}

fn read_each(read: Reader, texts: &[&str]) -> String {
    let mut trace = String::new();
    for text in texts {
        let whole = read_split(read, text.as_bytes(), 0);
        for cut in 0..=text.len() {
            let split = read_split(read, text.as_bytes(), cut);
            // If the body arrives with the head, the reader does not report `ExpectsContinue`.
            assert_eq!(
                split.replace("expects continue, ", ""),
                whole.replace("expects continue, ", ""),
                "{text:?} cut at {cut}"
            );
        }
        trace += &format!("{whole}\n");
    }
    trace
}

#[test]
fn requests_parse_identically_for_every_split() {
    let trace = read_each(
        MessageReader::read_request,
        &[
            "GET /ready HTTP/1.1\r\n\r\n",
            "\r\nGET /ready HTTP/1.0\r\n\r\nGET",
            "POST /api HTTP/1.1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbodyPOST",
            "POST /api HTTP/1.1\r\ncontent-length: 4\r\nExpect: 100-continue\r\n\r\nbo",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nT: u\r\n\r\nGET",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
            "POST /api HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "POST /api HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
            "POST /api HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            "POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            "GET /api HTTP/3.0\r\n\r\n",
            "GET /api\r\n\r\n",
            "GET /api HTTP/1.1\r\nX Y: z\r\n\r\n",
        ],
    );
    expect![[r#"
        Complete "" keep-alive true, then ""
        Complete "" keep-alive false, then "GET"
        Complete "body" keep-alive false, then "POST"
        expects continue, incomplete
        Complete "abc0123456789" keep-alive true, then "GET"
        Malformed 400
        Malformed 400
        Malformed 400
        Malformed 400
        Malformed 400
        Malformed 400
        UnknownCoding 501
        Malformed 400
        BodyTooLarge 413
        Malformed 400
        Malformed 400
        Malformed 400
    "#]]
    .assert_eq(&trace);
}

#[test]
fn responses_parse_identically_for_every_split() {
    let trace = read_each(
        MessageReader::read_response,
        &[
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP",
            "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\nto the end",
            "HTTP/1.1 204 None\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroken",
            "garbage\r\n\r\n",
        ],
    );
    expect![[r#"
        Complete "ok" keep-alive true, then "HTTP"
        Complete "" keep-alive true, then ""
        Complete "ok" keep-alive true, then ""
        Complete "to the end" keep-alive false, then "" at the end
        Complete "" keep-alive true, then ""
        incomplete
        Malformed 400
    "#]]
    .assert_eq(&trace);
}

/// Reads a response without a body limit that arrives in two parts, and removes its body as it arrives.
fn read_unlimited_split(text: &[u8], cut: usize) -> (Progress, Vec<u8>, Vec<u8>) {
    let mut reader = MessageReader::without_body_limit();
    let (mut bytes, mut body) = (Vec::new(), Vec::new());
    let mut progress = Progress::Incomplete;
    for part in [&text[..cut], &text[cut..]] {
        bytes.extend_from_slice(part);
        progress = reader.read_response(&mut bytes).unwrap();
        body.extend_from_slice(&bytes[reader.body()]);
        reader.discard_body(&mut bytes);
    }
    reader.consume(&mut bytes);
    (progress, body, bytes)
}

#[test]
fn a_body_that_is_removed_as_it_arrives_is_complete_for_every_split() {
    let long = "b".repeat(MAX_BODY_BYTES + 1);
    let size = long.len();
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{long}HTTP"),
        format!("{chunked}{size:x}\r\n{long}\r\n0\r\n\r\nHTTP"),
    ];
    for text in cases {
        // Every cut in the head and around both ends of the body, and some within it.
        let end = text.len();
        let cuts = (0..100).chain((100..end - 50).step_by(997));
        for cut in cuts.chain(end - 50..=end) {
            let (progress, body, rest) = read_unlimited_split(text.as_bytes(), cut);
            assert_eq!(progress, Progress::Complete, "cut at {cut}");
            assert!(body == long.as_bytes(), "cut at {cut}");
            assert_eq!(rest, b"HTTP", "cut at {cut}");
        }
        assert_eq!(
            MessageReader::default().read_response(&mut text.into_bytes()),
            Err(ParseError::BodyTooLarge)
        );
    }
}

#[test]
fn a_message_that_is_too_long_is_rejected_before_it_fills_the_buffer() {
    let read_until_done = |start: &str, more: &[u8]| {
        let (mut reader, mut bytes) = (MessageReader::default(), start.as_bytes().to_vec());
        loop {
            match reader.read_request(&mut bytes) {
                Ok(Progress::Incomplete) if bytes.len() + more.len() <= BUFFER_BYTES => {
                    bytes.extend_from_slice(more)
                }
                end => {
                    return format!(
                        "{end:?}, {} over the head's limit",
                        bytes.len() > MAX_HEAD_BYTES
                    )
                }
            }
        }
    };
    let chunk = format!("1000\r\n{}\r\n", "c".repeat(0x1000));
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let trace = [
        read_until_done("GET /", b"long"),
        read_until_done("GET / HTTP/1.1\r\n", b"A: b\r\n"),
        read_until_done("garbage without an end", &[0xff; 100]),
        read_until_done(chunked, chunk.as_bytes()),
        read_until_done(chunked, b"1;an=extension\r\nc\r\n"),
        read_until_done(&format!("{chunked}1;"), b"an extension that does not end"),
    ];
    expect![[r#"
        Err(HeadTooLarge), true over the head's limit
        Err(HeadTooLarge), false over the head's limit
        Err(Malformed), true over the head's limit
        Err(BodyTooLarge), true over the head's limit
        Err(BodyTooLarge), true over the head's limit
        Err(Malformed), false over the head's limit
    "#]]
    .assert_eq(&(trace.join("\n") + "\n"));
    let longest = format!(
        "POST / HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{}",
        "b".repeat(MAX_BODY_BYTES)
    );
    assert_eq!(
        MessageReader::default().read_request(&mut longest.into_bytes()),
        Ok(Progress::Complete)
    );
}
