//! HTTP/1.1 messages over httparse: what is read and written on a connection.

use crate::effects::{Method, Request, Response};
use std::net::SocketAddrV4;

/// Most bytes of a message's head.
pub const MAX_HEAD: usize = 8 * 1024;
/// Most bytes of a request's body.
pub const MAX_BODY: usize = 64 * 1024;
/// Most bytes of an answer that an outside service may send.
pub const MAX_ANSWER: usize = 16 * 1024 * 1024;
const MAX_HEADERS: usize = 48;

#[derive(Debug)]
pub enum Parsed<T> {
    Partial,
    /// The message, how many bytes it took, and whether the connection ends after it.
    Whole(T, usize, bool),
    /// Cannot be read: the status to answer with; the connection ends.
    Bad(u16),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

fn value_of<'a>(headers: &'a [httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

fn says(headers: &[httparse::Header], name: &str, word: &str) -> bool {
    value_of(headers, name)
        .and_then(|v| std::str::from_utf8(v).ok())
        .is_some_and(|v| {
            v.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(word))
        })
}

/// The body's length; `Err` for a length that is no number or that is said twice differently.
fn length(headers: &[httparse::Header]) -> Result<Option<usize>, ()> {
    let mut found = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| ())?.trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(());
            }
            let n: usize = text.parse().map_err(|_| ())?;
            if found.is_some_and(|f| f != n) {
                return Err(());
            }
            found = Some(n);
        }
    }
    Ok(found)
}

pub fn parse_request(buf: &[u8]) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(buf) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD => size,
        Ok(httparse::Status::Complete(_)) => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431),
        Err(_) => return Parsed::Bad(400),
    };
    if value_of(head.headers, "transfer-encoding").is_some() {
        return Parsed::Bad(411);
    }
    let Ok(body) = length(head.headers) else {
        return Parsed::Bad(400);
    };
    let body = body.unwrap_or(0);
    if body > MAX_BODY {
        return Parsed::Bad(413);
    }
    if buf.len() < size + body {
        return Parsed::Partial;
    }
    let close = says(head.headers, "connection", "close")
        || (head.version == Some(0) && !says(head.headers, "connection", "keep-alive"));
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: buf[size..size + body].to_vec(),
    };
    Parsed::Whole(request, size + body, close)
}

/// Reads an answer; `ended` says that the other side has closed.
pub fn parse_answer(buf: &[u8], ended: bool) -> Parsed<(u16, Vec<u8>)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(buf) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => return Parsed::Bad(502),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(502),
    };
    let status = head.code.unwrap_or(0);
    let framing = if says(head.headers, "transfer-encoding", "chunked") {
        Framing::Chunked
    } else {
        match length(head.headers) {
            Ok(Some(n)) => Framing::Length(n),
            Ok(None) if status == 204 || status == 304 => Framing::Length(0),
            Ok(None) => Framing::UntilClose,
            Err(()) => return Parsed::Bad(502),
        }
    };
    let close = says(head.headers, "connection", "close");
    let rest = &buf[size..];
    match framing {
        Framing::Length(n) if n > MAX_ANSWER => Parsed::Bad(502),
        Framing::Length(n) if rest.len() < n => Parsed::Partial,
        Framing::Length(n) => Parsed::Whole((status, rest[..n].to_vec()), size + n, close),
        Framing::UntilClose if ended => Parsed::Whole((status, rest.to_vec()), buf.len(), true),
        Framing::UntilClose => Parsed::Partial,
        Framing::Chunked => match chunks(rest) {
            Ok(Some((body, used))) => Parsed::Whole((status, body), size + used, close),
            Ok(None) => Parsed::Partial,
            Err(()) => Parsed::Bad(502),
        },
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ()> {
    let whole = rest.len();
    let mut body = Vec::new();
    loop {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((at, size))) => {
                let size = usize::try_from(size).map_err(|_| ())?;
                if size > MAX_ANSWER {
                    return Err(());
                }
                let end = at + size + 2;
                if rest.len() < end {
                    return Ok(None);
                }
                if &rest[at + size..end] != b"\r\n" {
                    return Err(());
                }
                body.extend_from_slice(&rest[at..at + size]);
                rest = &rest[end..];
                if size == 0 {
                    return Ok(Some((body, whole - rest.len())));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(()),
        }
    }
}

fn reason(status: u16) -> &'static str {
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

pub fn write_response(out: &mut Vec<u8>, response: &Response, close: bool) {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        response.body.len()
    );
    if let Some(after) = response.retry_after_s {
        head.push_str(&format!("Retry-After: {after}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&response.body);
}

pub fn write_request(method: Method, path: &str, host: SocketAddrV4, body: &[u8]) -> Vec<u8> {
    let head = match method {
        Method::Get => format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n"),
        Method::Post => format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        ),
    };
    let mut out = head.into_bytes();
    if method == Method::Post {
        out.extend_from_slice(body);
    }
    out
}
