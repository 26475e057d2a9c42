//! Parses and serializes HTTP/1.1 messages, based on `httparse`.

use crate::effects::{Method, Request, Response};
use std::net::SocketAddrV4;

/// Most bytes of the head of a message (start line and header fields).
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most bytes of the body of a request.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Most bytes of the body of a response from an external service or a worker.
pub const MAX_RESPONSE_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Most header fields of a message.
const MAX_HEADERS: usize = 48;
/// The delimiter of lines and of chunks.
const CRLF: &[u8] = b"\r\n";

/// The result of parsing the bytes received on a connection.
#[must_use]
#[derive(Debug)]
pub enum Parsed<T> {
    /// The message is not complete yet.
    Partial,
    /// A complete message.
    Complete {
        /// The request or response, with its whole body.
        message: T,
        /// The number of bytes that the message occupied.
        consumed: usize,
        /// Whether the connection must be closed after the message.
        close: bool,
    },
    /// The message is malformed or too large; holds the status to respond with. The connection must be closed.
    Invalid(u16),
}

/// A response of an external service or a worker.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// The body, with its transfer coding removed.
    pub body: Vec<u8>,
}

/// The message violates the syntax of HTTP or is larger than allowed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("malformed HTTP message")]
struct MalformedMessage;

/// How the end of a response's body is determined.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    /// The body ends when the server closes the connection.
    UntilClose,
}

fn header_value<'a>(headers: &'a [httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Whether a header field with a comma-separated list contains an item.
fn header_lists(headers: &[httparse::Header<'_>], name: &str, item: &str) -> bool {
    header_value(headers, name)
        .and_then(|value| std::str::from_utf8(value).ok())
        .is_some_and(|value| {
            value
                .split(',')
                .any(|listed| listed.trim().eq_ignore_ascii_case(item))
        })
}

/// The `Content-Length`, if present; an error if it is not a number, or is repeated with different values.
fn content_length(headers: &[httparse::Header<'_>]) -> Result<Option<usize>, MalformedMessage> {
    let mut found = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value)
                .map_err(|_| MalformedMessage)?
                .trim();
            if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(MalformedMessage);
            }
            let length: usize = text.parse().map_err(|_| MalformedMessage)?;
            if found.is_some_and(|earlier| earlier != length) {
                return Err(MalformedMessage);
            }
            found = Some(length);
        }
    }
    Ok(found)
}

/// Parses a request at the start of the bytes received.
pub fn parse_request(received: &[u8]) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_size = match head.parse(received) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Complete(_)) => return Parsed::Invalid(431),
        Ok(httparse::Status::Partial) if received.len() > MAX_HEAD_BYTES => {
            return Parsed::Invalid(431);
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Invalid(431),
        Err(_) => return Parsed::Invalid(400),
    };
    if header_value(head.headers, "transfer-encoding").is_some() {
        return Parsed::Invalid(411);
    }
    let Ok(body_size) = content_length(head.headers) else {
        return Parsed::Invalid(400);
    };
    let body_size = body_size.unwrap_or(0);
    if body_size > MAX_REQUEST_BODY_BYTES {
        return Parsed::Invalid(413);
    }
    let consumed = head_size + body_size;
    if received.len() < consumed {
        return Parsed::Partial;
    }
    let close = header_lists(head.headers, "connection", "close")
        || (head.version == Some(0) && !header_lists(head.headers, "connection", "keep-alive"));
    let message = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: received[head_size..consumed].to_vec(),
    };
    Parsed::Complete {
        message,
        consumed,
        close,
    }
}

/// Parses a response at the start of the bytes received. `closed` says whether the other side has closed the
/// connection.
pub fn parse_response(received: &[u8], closed: bool) -> Parsed<ReceivedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_size = match head.parse(received) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if received.len() > MAX_HEAD_BYTES => {
            return Parsed::Invalid(502);
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(502),
    };
    let status = head.code.unwrap_or(0);
    let framing = if header_lists(head.headers, "transfer-encoding", "chunked") {
        Framing::Chunked
    } else {
        match content_length(head.headers) {
            Ok(Some(length)) => Framing::Length(length),
            Ok(None) if status == 204 || status == 304 => Framing::Length(0),
            Ok(None) => Framing::UntilClose,
            Err(MalformedMessage) => return Parsed::Invalid(502),
        }
    };
    let close = header_lists(head.headers, "connection", "close");
    let rest = &received[head_size..];
    let complete = |body: Vec<u8>, body_size: usize, close: bool| Parsed::Complete {
        message: ReceivedResponse { status, body },
        consumed: head_size + body_size,
        close,
    };
    match framing {
        Framing::Length(length) if length > MAX_RESPONSE_BODY_BYTES => Parsed::Invalid(502),
        Framing::Length(length) if rest.len() < length => Parsed::Partial,
        Framing::Length(length) => complete(rest[..length].to_vec(), length, close),
        Framing::UntilClose if closed => complete(rest.to_vec(), rest.len(), true),
        Framing::UntilClose => Parsed::Partial,
        Framing::Chunked => match decode_chunks(rest) {
            Ok(Some(chunked)) => complete(chunked.body, chunked.consumed, close),
            Ok(None) => Parsed::Partial,
            Err(MalformedMessage) => Parsed::Invalid(502),
        },
    }
}

/// A body decoded from the chunked transfer coding.
struct ChunkedBody {
    body: Vec<u8>,
    /// The number of bytes of the encoded body.
    consumed: usize,
}

/// Decodes a chunked body; `None` if it is not complete yet.
fn decode_chunks(mut rest: &[u8]) -> Result<Option<ChunkedBody>, MalformedMessage> {
    let received = rest.len();
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((start, size))) => {
                let size = usize::try_from(size).map_err(|_| MalformedMessage)?;
                if size > MAX_RESPONSE_BODY_BYTES {
                    return Err(MalformedMessage);
                }
                let end = start + size + CRLF.len();
                if rest.len() < end {
                    return Ok(None);
                }
                if &rest[start + size..end] != CRLF {
                    return Err(MalformedMessage);
                }
                body.extend_from_slice(&rest[start..start + size]);
                rest = &rest[end..];
                if size == 0 {
                    let consumed = received - rest.len();
                    return Ok(Some(ChunkedBody { body, consumed }));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(MalformedMessage),
        }
    }
}

/// The reason phrase of a status code that this process responds with.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Appends a serialized response to `output`. With `close`, its head announces that the connection is closed
/// after it.
pub fn write_response(output: &mut Vec<u8>, response: &Response, close: bool) {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    output.extend_from_slice(head.as_bytes());
    output.extend_from_slice(&response.body);
}

/// Serializes a request. Only a POST request has the body.
#[must_use]
pub fn write_request(method: Method, path: &str, host: SocketAddrV4, body: &[u8]) -> Vec<u8> {
    let head = match method {
        Method::Get => format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"),
        Method::Post => format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        ),
    };
    let mut output = head.into_bytes();
    if method == Method::Post {
        output.extend_from_slice(body);
    }
    output
}
