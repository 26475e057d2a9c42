//! What users were told of each job, by whom and in which order: no answer may be older than one that had reached a
//! user before the question was asked. Where users ask one thing at a time, the order of the answers alone counts.

use super::*;
use std::fmt;

/// What a user asks about a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Question {
    Submit,
    Poll,
    Cancel,
}

/// What an answer says of a job, the newer the greater; two ends are never both true.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Told {
    Unknown,
    Open,
    Done,
    Aborted,
}

impl Told {
    /// What the answer says, if it says anything: 503 and the like do not.
    pub(crate) fn read(status: u16, word: &str) -> Option<Told> {
        match (status, word) {
            (200 | 201, "done") => Some(Told::Done),
            (200 | 201, "aborted") => Some(Told::Aborted),
            (200 | 201, _) => Some(Told::Open),
            (404 | 400 | 422, _) => Some(Told::Unknown),
            _ => None,
        }
    }

    fn is_end(self) -> bool {
        self >= Told::Done
    }
}

/// One answer. Questions are numbered in the order in which they are asked; `before` is the number of the last that
/// had been asked when this answer reached its user.
struct Answer {
    node: usize,
    question: Question,
    asked: u64,
    before: u64,
    at: u64,
    status: u16,
    told: Told,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (question, told) = (self.question, self.told);
        let (node, at, status) = (self.node, self.at, self.status);
        write!(
            f,
            "{question:?}#{} n{node} {at} {status} {told:?}",
            self.asked
        )
    }
}

/// All that users were told of one job.
#[derive(Default)]
pub(crate) struct History {
    submitted: bool,
    answers: Vec<Answer>,
    /// For a world whose controllers answer what is old: the first answer to a poll.
    first: Option<(u16, Vec<u8>)>,
}

impl History {
    /// The answer of the same controller than which this one is older, whenever the questions were asked.
    fn contradicts(&self, new: &Answer) -> Option<String> {
        let mut own = self.answers.iter().filter(|a| a.node == new.node);
        let newer = own.find(|a| a.told > new.told)?;
        Some(format!("{newer}, then {new}"))
    }

    /// Takes an answer in; the rule that it breaks, if any, and whether it is the first to say this much.
    fn take(&mut self, new: Answer, overlap: bool) -> (Option<&'static str>, bool) {
        let older = |a: &&Answer| {
            let contradicts = a.told.is_end() && new.told.is_end() && a.told != new.told;
            let known = a.before < new.asked || !overlap;
            contradicts || (known && a.told > new.told)
        };
        let broken = self.answers.iter().find(older).map(|a| match new.told {
            Told::Unknown if !a.told.is_end() || new.status != 200 => "forgotten",
            _ => "went_back",
        });
        let first = self.answers.iter().all(|a| a.told < new.told);
        self.answers.push(new);
        (broken, first)
    }

    fn last(&self) -> String {
        let from = self.answers.len().saturating_sub(12);
        let lines: Vec<String> = self.answers[from..].iter().map(Answer::to_string).collect();
        lines.join(", ")
    }
}

impl Simulation {
    /// A user's question about a job, as a request.
    pub(crate) fn question(&mut self, node: usize, u: usize, question: Question, spec: &Value) {
        let job = &self.users[u].job;
        let poll = format!("/api/jobs/{job}");
        let (method, path, body, asked) = match question {
            Question::Submit => (
                "POST",
                "/api/jobs".into(),
                spec.to_string().into_bytes(),
                Asked::Submit(u),
            ),
            Question::Poll => ("GET", poll, Vec::new(), Asked::Poll(u)),
            Question::Cancel => (
                "POST",
                format!("{poll}/cancel"),
                Vec::new(),
                Asked::Cancel(u),
            ),
        };
        self.users[u].history.submitted |= question == Question::Submit;
        self.ask(node, method, &path, body, asked);
    }

    /// Holds an answer against all that were given about the job; whether it says more than any before it.
    pub(crate) fn judge(
        &mut self,
        (node, asked): (usize, u64),
        u: usize,
        question: Question,
        status: u16,
        word: &str,
    ) -> bool {
        let Some(told) = Told::read(status, word) else {
            return false;
        };
        let answer = Answer {
            node,
            question,
            asked,
            before: self.next_conn,
            at: self.now,
            status,
            told,
        };
        let user = &mut self.users[u];
        if let Some(both) = user.history.contradicts(&answer) {
            self.contradictions.push(format!("{}: {both}", user.job));
        }
        let (broken, first) = user.history.take(answer, self.injected.overlap);
        let (job, last) = (&user.job, user.history.last());
        if let Some(rule) = broken {
            self.broken
                .push(format!("{rule}: {job} is answered {status} {word}; {last}"));
        }
        if told > Told::Unknown && !user.by_run && !user.history.submitted {
            self.broken
                .push(format!("invented: {job} before it was submitted"));
        }
        if question == Question::Cancel && told == Told::Open {
            self.broken
                .push(format!("unsettled: {job} called off is {word}"));
        }
        first && told > Told::Unknown
    }

    /// What a world's first controller answers that tells what was true once.
    pub(crate) fn once_true(
        &mut self,
        node: usize,
        asked: &Asked,
        status: u16,
        body: Vec<u8>,
    ) -> (u16, Vec<u8>) {
        let Asked::Poll(u) = asked else {
            return (status, body);
        };
        let first = &mut self.users[*u].history.first;
        if matches!(status, 200 | 404) {
            first.get_or_insert_with(|| (status, body.clone()));
        }
        match first {
            Some(first) if node == 0 && self.safeguards.old_answers => first.clone(),
            _ => (status, body),
        }
    }
}
