//! The compact encoding of a shard's allocation, written once every controller can read it.
//!
//! The layout is `WAITING;MACHINE:TASKS|MACHINE:TASKS;FINISHED`, with comma-separated ranges and
//! base-36 numbers. Each range consists of:
//! - the distance of its first task from the end of the previous range;
//! - `-` and its length, unless that is 1;
//! - `.` and its attempt, unless that is the default: 1 on a machine, and the attempt of the
//!   previous range (initially 1) among waiting tasks.
//!
//! Only the first finished task is stored: it shows that the job's tasks can succeed.

use super::allocation::ShardAllocation;
use crate::ids::MachineId;
use crate::task_ranges::{TaskRange, TaskRanges};
use std::collections::BTreeMap;

const BASE: u32 = 36;
/// Digits of `u32::MAX` in base 36.
const MAX_DIGITS: usize = 7;

/// The error for a text that is not a compactly encoded allocation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("not a compactly encoded allocation")]
pub struct InvalidEncoding;

fn write_number(out: &mut String, mut number: u32) {
    let mut digits = [0u8; MAX_DIGITS];
    let mut first_digit = digits.len();
    loop {
        first_digit -= 1;
        digits[first_digit] =
            char::from_digit(number % BASE, BASE).map_or(b'0', |digit| digit as u8);
        number /= BASE;
        if number == 0 {
            break;
        }
    }
    out.push_str(std::str::from_utf8(&digits[first_digit..]).unwrap_or("0"));
}

fn digit_count(mut number: u32) -> usize {
    let mut count = 1;
    while number >= BASE {
        number /= BASE;
        count += 1;
    }
    count
}

/// The attempt of a range that is encoded without one.
#[derive(Clone, Copy, PartialEq)]
enum DefaultAttempt {
    One,
    /// The attempt of the previous range, initially 1.
    Previous,
}

fn write_ranges(out: &mut String, ranges: &[TaskRange], default: DefaultAttempt) {
    let (mut end, mut attempt) = (0, 1);
    for (i, range) in ranges.iter().enumerate() {
        if i > 0 {
            out.push(',');
        }
        write_number(out, range.start - end);
        if range.task_count() != 1 {
            out.push('-');
            write_number(out, range.task_count());
        }
        if range.attempt != attempt {
            out.push('.');
            write_number(out, range.attempt);
        }
        end = range.end;
        if default == DefaultAttempt::Previous {
            attempt = range.attempt;
        }
    }
}

fn parse_number(text: &str) -> Result<u32, InvalidEncoding> {
    u32::from_str_radix(text, BASE).map_err(|_| InvalidEncoding)
}

fn parse_ranges(text: &str, default: DefaultAttempt) -> Result<TaskRanges, InvalidEncoding> {
    let mut list = Vec::new();
    let (mut previous_end, mut default_attempt) = (0u32, 1);
    for item in text.split(',').filter(|item| !item.is_empty()) {
        let (range, attempt) = match item.split_once('.') {
            Some((range, attempt)) => (range, parse_number(attempt)?),
            None => (item, default_attempt),
        };
        let (distance, length) = match range.split_once('-') {
            Some((distance, length)) => (parse_number(distance)?, parse_number(length)?),
            None => (parse_number(range)?, 1),
        };
        if default == DefaultAttempt::Previous {
            default_attempt = attempt;
        }
        let start = previous_end.checked_add(distance).ok_or(InvalidEncoding)?;
        let end = start.checked_add(length).ok_or(InvalidEncoding)?;
        previous_end = end;
        list.push(TaskRange {
            start,
            end,
            attempt,
        });
    }
    TaskRanges::try_from(list).map_err(|_| InvalidEncoding)
}

/// Whether a machine's name contains none of the separators of the encoding.
fn is_encodable(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/'))
}

/// Encodes an allocation; `None` if the name of a machine cannot be encoded.
#[must_use]
pub fn encode(allocation: &ShardAllocation) -> Option<String> {
    let mut out = String::new();
    write_ranges(
        &mut out,
        allocation.waiting.ranges(),
        DefaultAttempt::Previous,
    );
    out.push(';');
    for (i, (machine, tasks)) in allocation.started.iter().enumerate() {
        if !is_encodable(machine.as_str()) {
            return None;
        }
        if i > 0 {
            out.push('|');
        }
        out.push_str(machine.as_str());
        out.push(':');
        write_ranges(&mut out, tasks.ranges(), DefaultAttempt::One);
    }
    out.push(';');
    if let Some((task, _)) = allocation.finished.first() {
        write_number(&mut out, task.0);
    }
    Some(out)
}

/// Decodes an allocation that [`encode`] has encoded.
///
/// # Errors
/// If the text is not a compact encoding.
pub fn decode(text: &str) -> Result<ShardAllocation, InvalidEncoding> {
    let mut fields = text.split(';');
    let mut next_field = || fields.next().ok_or(InvalidEncoding);
    let (waiting, machines, finished) = (next_field()?, next_field()?, next_field()?);
    if fields.next().is_some() {
        return Err(InvalidEncoding);
    }
    let mut started = BTreeMap::new();
    for entry in machines.split('|').filter(|entry| !entry.is_empty()) {
        let (name, tasks) = entry.split_once(':').ok_or(InvalidEncoding)?;
        let tasks = parse_ranges(tasks, DefaultAttempt::One)?;
        if tasks.is_empty() || !is_encodable(name) {
            return Err(InvalidEncoding);
        }
        started.insert(MachineId::new(name), tasks);
    }
    let finished = match finished {
        "" => TaskRanges::default(),
        first => {
            let first = parse_number(first)?;
            TaskRanges::range(first, first.checked_add(1).ok_or(InvalidEncoding)?, 0)
        }
    };
    Ok(ShardAllocation {
        waiting: parse_ranges(waiting, DefaultAttempt::Previous)?,
        started,
        finished,
    })
}

/// Maximum bytes of the allocation's value after any sequence of task ends and requeues, as long as
/// no further task is started. Each started task counts as one range: on its machine, or among the
/// waiting tasks, which are raised to one attempt.
pub(super) fn max_bytes(waiting: &TaskRanges, started: &BTreeMap<MachineId, TaskRanges>) -> usize {
    // Quotes, separators, the attempt of the waiting tasks, and the finished task.
    let mut bytes = 2 + 2 + 8 + MAX_DIGITS;
    let mut waiting = waiting.clone();
    waiting.raise_to_highest_attempt();
    let mut end = 0;
    for range in waiting.ranges() {
        bytes += 1 + digit_count(range.start - end);
        if range.task_count() > 1 {
            bytes += 1 + digit_count(range.task_count());
        }
        end = range.end;
    }
    for (machine, tasks) in started {
        bytes += machine.as_str().len() + 2;
        for range in tasks.ranges() {
            bytes += range.task_count() as usize * max_task_bytes(range.end, range.attempt);
        }
    }
    bytes
}

/// Maximum bytes of one started task, without its machine's name.
pub(super) fn max_task_bytes(task: u32, attempt: u32) -> usize {
    let attempt_bytes = if attempt == 1 {
        0
    } else {
        1 + digit_count(attempt)
    };
    1 + digit_count(task) + attempt_bytes
}
