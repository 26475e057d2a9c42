//! The short form of a part's share of a job, written once every controller can read it.
//!
//! `WAITING;MACHINE:TASKS|MACHINE:TASKS;FINISHED`: lists of ranges with a comma between them. A range
//! is the distance of its first task from the end of the range before it, `-` and its length if that
//! is not 1, `.` and its attempt if that is not the usual one: 1 on a machine, and the one before it
//! (at first 1) among those that wait. Numbers have base 36. Of the finished tasks only the first is
//! kept, as a sign that the job works.

use crate::ids::MachineId;
use crate::task_ranges::{TaskRange, TaskRanges};
use std::collections::BTreeMap;

const BASE: u32 = 36;

fn put_number(out: &mut String, mut n: u32) {
    let mut digits = [0u8; 7];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = char::from_digit(n % BASE, BASE).map_or(b'0', |c| c as u8);
        n /= BASE;
        if n == 0 {
            break;
        }
    }
    out.push_str(std::str::from_utf8(&digits[at..]).unwrap_or("0"));
}

fn digits(mut n: u32) -> usize {
    let mut count = 1;
    while n >= BASE {
        n /= BASE;
        count += 1;
    }
    count
}

/// Whether a range without attempt has that of the one before it, or 1.
#[derive(Clone, Copy, PartialEq)]
enum Usual {
    One,
    Before,
}

fn put_spans(out: &mut String, spans: &[TaskRange], usual: Usual) {
    let (mut end, mut attempt) = (0, 1);
    for (i, span) in spans.iter().enumerate() {
        if i > 0 {
            out.push(',');
        }
        put_number(out, span.0 - end);
        if span.1 - span.0 != 1 {
            out.push('-');
            put_number(out, span.1 - span.0);
        }
        if span.2 != attempt {
            out.push('.');
            put_number(out, span.2);
        }
        end = span.1;
        if usual == Usual::Before {
            attempt = span.2;
        }
    }
}

fn number(text: &str) -> Option<u32> {
    u32::from_str_radix(text, BASE).ok()
}

fn read_spans(text: &str, usual: Usual) -> Option<TaskRanges> {
    let mut list = Vec::new();
    let (mut end, mut attempt) = (0u32, 1);
    for item in text.split(',').filter(|item| !item.is_empty()) {
        let (range, tried) = match item.split_once('.') {
            Some((range, tried)) => (range, Some(number(tried)?)),
            None => (item, None),
        };
        let (from, long) = match range.split_once('-') {
            Some((from, long)) => (number(from)?, number(long)?),
            None => (number(range)?, 1),
        };
        let here = tried.unwrap_or(attempt);
        if usual == Usual::Before {
            attempt = here;
        }
        let from = end.checked_add(from)?;
        end = from.checked_add(long)?;
        list.push(TaskRange(from, end, here));
    }
    TaskRanges::try_from(list).ok()
}

/// Whether a machine's name can stand in the short form.
fn plain(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/'))
}

/// The short form; `None` if a machine's name does not allow it.
pub fn pack(
    waiting: &TaskRanges,
    started: &BTreeMap<MachineId, TaskRanges>,
    finished: &TaskRanges,
) -> Option<String> {
    let mut out = String::new();
    put_spans(&mut out, waiting.spans(), Usual::Before);
    out.push(';');
    for (i, (machine, spans)) in started.iter().enumerate() {
        if !plain(machine.as_str()) {
            return None;
        }
        if i > 0 {
            out.push('|');
        }
        out.push_str(machine.as_str());
        out.push(':');
        put_spans(&mut out, spans.spans(), Usual::One);
    }
    out.push(';');
    if let Some((task, _)) = finished.first() {
        put_number(&mut out, task.0);
    }
    Some(out)
}

/// Reads the short form, waiting, started and finished tasks; `None` if it is not one.
pub fn unpack(text: &str) -> Option<(TaskRanges, BTreeMap<MachineId, TaskRanges>, TaskRanges)> {
    let mut fields = text.split(';');
    let (waiting, machines, finished) = (fields.next()?, fields.next()?, fields.next()?);
    if fields.next().is_some() {
        return None;
    }
    let mut started = BTreeMap::new();
    for entry in machines.split('|').filter(|entry| !entry.is_empty()) {
        let (name, spans) = entry.split_once(':')?;
        let spans = read_spans(spans, Usual::One)?;
        if spans.is_empty() || !plain(name) {
            return None;
        }
        started.insert(MachineId::new(name), spans);
    }
    let finished = match finished {
        "" => TaskRanges::default(),
        first => {
            let first = number(first)?;
            TaskRanges::range(first, first.checked_add(1)?, 0)
        }
    };
    Some((read_spans(waiting, Usual::Before)?, started, finished))
}

/// The most bytes that the share's value may come to take, whatever ends and requeues follow, as
/// long as nothing more is started: every started task counts as a range of its own, which it takes
/// where it is or, with all waiting ones raised to one attempt, among those that wait.
pub fn most_bytes(waiting: &TaskRanges, started: &BTreeMap<MachineId, TaskRanges>) -> usize {
    // Quotes, separators, one attempt for all that wait, and the finished task.
    let mut bytes = 2 + 2 + 8 + 7;
    let mut waiting = waiting.clone();
    waiting.raise();
    let mut end = 0;
    for span in waiting.spans() {
        bytes += 1 + digits(span.0 - end);
        if span.1 - span.0 > 1 {
            bytes += 1 + digits(span.1 - span.0);
        }
        end = span.1;
    }
    for (machine, spans) in started {
        bytes += machine.as_str().len() + 2;
        for span in spans.spans() {
            bytes += (span.1 - span.0) as usize * task_bytes(span.1, span.2);
        }
    }
    bytes
}

/// What one started task takes at the most beside its machine's name.
pub fn task_bytes(task: u32, attempt: u32) -> usize {
    let tried = if attempt == 1 { 0 } else { 1 + digits(attempt) };
    1 + digits(task) + tried
}
