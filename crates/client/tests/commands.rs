//! Runs the commands against a minimal HTTP server on the loopback interface.

use clap::Parser;
use serde_json::{Value, json};
use snowshelf_client::{CommandOutput, CommandStatus, Commands};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, channel};

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Commands,
}

fn run(arguments: &str) -> CommandOutput {
    let arguments = std::iter::once("snowshelf").chain(arguments.split_whitespace());
    match Cli::try_parse_from(arguments) {
        Ok(cli) => cli.command.run(),
        Err(error) => panic!("{error}"),
    }
}

/// Starts a server that answers one request with each of the responses in turn, then stops. A response is a
/// status, further header lines that end with `\r\n`, and a body. Returns the server's address, and the
/// received requests: method and path, and the body, which is null if it is not JSON.
fn serve(responses: Vec<(u16, &'static str, Value)>) -> (String, Receiver<(String, Value)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for (status, headers, body) in responses {
            let (stream, _) = listener.accept().unwrap();
            let mut reader = BufReader::new(stream);
            let (mut request_line, mut content_length) = (String::new(), 0);
            reader.read_line(&mut request_line).unwrap();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).unwrap();
                if let Some(n) = line.to_lowercase().strip_prefix("content-length:") {
                    content_length = n.trim().parse().unwrap();
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            let mut request_body = vec![0; content_length];
            reader.read_exact(&mut request_body).unwrap();
            let request_body = serde_json::from_slice(&request_body).unwrap_or(Value::Null);
            let method_and_path = request_line.rsplit_once(' ').unwrap().0.to_string();
            // Fails if the test has dropped the receiver.
            let _ = sender.send((method_and_path, request_body));
            let body = body.to_string();
            write!(
                reader.get_mut(),
                "HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            )
            .unwrap();
        }
    });
    (address, requests)
}

const ADD_RESERVATION: &str = "reservations add crush --team cantina --cpus 12.5 --zone north --type lagar,parreira \
    --from 2027-09-01T06:00[Europe/Lisbon] --for 2h30m --movable";

#[test]
fn reservation_add_sends_all_arguments() {
    let (server, requests) = serve(vec![(
        201,
        "",
        json!({"name": "crush", "cpus": 12.5, "places":
        [{"zone": "north", "type": "lagar", "cpus": 12.5}]}),
    )]);
    let output = run(&format!("{ADD_RESERVATION} --server {server}"));
    assert_eq!(output.status, CommandStatus::Done, "{output:?}");
    assert!(
        output.stdout.contains("crush") && output.stdout.contains("lagar"),
        "{}",
        output.stdout
    );
    let (request, body) = requests.recv().unwrap();
    assert_eq!(request, "POST /api/reservations");
    assert_eq!(
        (&body["from"], &body["until"]),
        (
            &json!("2027-09-01T05:00:00Z"),
            &json!("2027-09-01T07:30:00Z")
        )
    );
    assert_eq!(
        (&body["cpus"], &body["types"]),
        (&json!(12.5), &json!(["lagar", "parreira"]))
    );
    assert_eq!(
        (&body["movable"], &body["spot"]),
        (&json!(true), &json!(false))
    );
}

/// Guards against a client that fails although a `Retry-After` tells it when to retry, or that does not try the
/// other controllers if the first one is unreachable.
#[test]
fn request_is_retried_and_sent_to_other_controllers() {
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (server, requests) = serve(vec![
        (
            503,
            "Retry-After: 1\r\n",
            json!({"error": "not able to decide yet"}),
        ),
        (200, "", json!({"name": "w", "state": "ahead"})),
    ]);
    let output = run(&format!(
        "windows show w --json --server {unreachable} --server {server}"
    ));
    assert_eq!(output.status, CommandStatus::Done);
    assert_eq!(
        serde_json::from_str::<Value>(&output.stdout).unwrap()["name"],
        "w"
    );
    assert_eq!(requests.iter().count(), 2);
    let output = run(&format!("windows show w --wait 1 --server {unreachable}"));
    assert_eq!((output.status.code(), output.stdout.as_str()), (3, ""));
    let (server, _) = serve(vec![(
        503,
        "Retry-After: 9\r\n",
        json!({"error": "too many requests"}),
    )]);
    let output = run(&format!("windows show w --wait 1 --server {server}"));
    assert!(
        output.status == CommandStatus::Unreachable && output.stderr.contains("too many requests"),
        "{output:?}"
    );
}

#[test]
fn error_response_sets_exit_code_and_stderr() {
    let conflict = json!({"error": "there is no room for it then", "fits_from": "2027-09-02T00:00:00Z",
        "clashes": [{"kind": "window", "name": "power", "from": "a", "until": "b"}], "more_clashes": 3});
    for (status, body, code, texts) in [
        (
            409,
            conflict,
            1,
            vec![
                "window power from a until b",
                "and 3 more",
                "would fit from 2027-09-02",
            ],
        ),
        (
            422,
            json!({"error": "unknown team"}),
            1,
            vec!["unknown team"],
        ),
        (
            400,
            json!({"error": "cpus: must be", "field": "cpus"}),
            2,
            vec!["cpus"],
        ),
        (
            404,
            json!({"error": "no such path"}),
            4,
            vec!["no such path"],
        ),
    ] {
        let (server, _) = serve(vec![(status, "", body)]);
        let output = run(&format!("{ADD_RESERVATION} --server {server}"));
        assert_eq!(output.status.code(), code);
        for text in texts {
            assert!(output.stderr.contains(text), "{}", output.stderr);
        }
    }
    let (server, requests) = serve(vec![(200, "", json!({"name": "w", "state": "cancelled"}))]);
    assert_eq!(
        run(&format!("windows cancel w --server {server}")).status,
        CommandStatus::Done
    );
    assert_eq!(requests.recv().unwrap().0, "POST /api/windows/w/cancel");
    let output = run("windows add w --zone a --rule /nowhere.json --server 127.0.0.1:1");
    assert!(output.status == CommandStatus::Invalid && output.stderr.contains("/nowhere.json"));
}

#[test]
fn list_reads_all_pages() {
    let item =
        |n: usize| json!({"name": format!("r{n}"), "team": "acerto", "cpus": 3.0, "state": "open"});
    let (server, requests) = serve(vec![
        (200, "", json!({"items": [item(1), item(2)], "more": true})),
        (200, "", json!({"items": [item(3)], "more": false})),
    ]);
    let output = run(&format!("reservations list --server {server}"));
    assert_eq!(output.status, CommandStatus::Done);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 4, "{}", output.stdout);
    assert!(lines[0].contains("TEAM") && lines[3].contains("r3") && lines[3].contains(" 3 "));
    let requests: Vec<String> = requests.iter().map(|(request, _)| request).collect();
    assert_eq!(requests[1], "GET /api/reservations?limit=100&after=r2");
}

#[test]
fn invalid_arguments_are_rejected_without_a_request() {
    for arguments in [
        "reservations add x --team t --cpus many --server a:1",
        "reservations add x --team t --cpus 1 --from yesterday --server a:1",
        "reservations add x --team t --cpus 1 --for -2h --server a:1",
        "reservations list",
        "windows add w --zone a --rule f --from 2027-01-01T00:00:00Z --server a:1",
    ] {
        let arguments = std::iter::once("snowshelf").chain(arguments.split_whitespace());
        assert!(Cli::try_parse_from(arguments).is_err());
    }
}

/// Checks and expands an Airflow DAG file, converts it to the native format, and checks that in turn.
#[test]
fn dag_file_is_checked_expanded_and_converted() {
    let dir = std::env::temp_dir().join(format!("snowshelf-graph-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let write_file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let python = write_file(
        "d.py",
        "from airflow import DAG\nfrom airflow.operators.bash import BashOperator as B\n\
        with DAG('harvest', schedule=None, params={'n': 2}) as d:\n    \
        B(task_id='a', bash_command='x') >> B(task_id='b', bash_command='{{ params.n }}')\n",
    );
    let mapping = write_file(
        "m.yaml",
        "defaults: {class: c, team: t, cpus: '{{ params.n }}', mem_gb: 1, image: i, pull_gb: 1}\n",
    );
    let output = run(&format!("graph check {python} --mapping {mapping}"));
    assert_eq!(output.status, CommandStatus::Done, "{output:?}");
    assert_eq!(output.stdout, "harvest\n`- a\n   `- b\n");
    let output = run(&format!("graph check {python}"));
    assert_eq!(output.status, CommandStatus::Invalid);
    assert!(
        output
            .stderr
            .contains("d.py:4: a: its job has no class, team"),
        "{}",
        output.stderr
    );
    let output = run(&format!(
        "graph expand {python} --mapping {mapping} --param n=4 --run r1"
    ));
    let lines: Vec<Value> = output
        .stdout
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    assert_eq!(lines.len(), 2, "{output:?}");
    assert_eq!(
        (&lines[1]["step"], &lines[1]["args"]["bash_command"]),
        (&json!("b"), &json!("4"))
    );
    assert_eq!(
        (
            &lines[1]["submission"]["Cpus"],
            &lines[1]["submission"]["Aguarda"][0]
        ),
        (&json!(4.0), &lines[0]["job"])
    );
    let output = run(&format!(
        "graph expand {python} --mapping {mapping} --param m=4"
    ));
    assert!(
        output.status == CommandStatus::Invalid && output.stderr.contains("params.m"),
        "{output:?}"
    );
    let native = run(&format!("graph convert {python}"));
    let yaml = write_file("g.yaml", &native.stdout);
    let output = run(&format!("graph check {yaml} --mapping {mapping} --json"));
    assert_eq!(
        serde_json::from_str::<Value>(&output.stdout).unwrap()["steps"][1]["after"],
        json!(["a"])
    );
    let output = run(&format!("graph check {yaml} --mapping {mapping} --dot"));
    assert!(output.stdout.contains("\"a\" -> \"b\""));
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Guards against a panic if the body of a response is not an object, as from a server that is not a controller.
#[test]
fn response_that_is_not_an_object_does_not_panic() {
    for command in ["graph show a b --json", "windows list"] {
        let (server, _requests) = serve(vec![(200, "", json!(["other"]))]);
        let output = run(&format!("{command} --server {server}"));
        assert!(!output.stdout.is_empty(), "{command}: {output:?}");
    }
}

/// A drain with `--plan` is sent paused, and read until its plan is computed. A change to a budget keeps the values
/// that are not given.
#[test]
fn drain_plan_is_awaited_and_budget_is_changed_partially() {
    let planned =
        json!({"name": "d", "state": "paused", "left": 12, "steps_left": 3, "at_most_s": 90.0});
    let (server, requests) = serve(vec![
        (201, "", json!({"name": "d", "state": "paused"})),
        (200, "", json!({"name": "d", "state": "paused"})),
        (200, "", planned),
    ]);
    let output = run(&format!(
        "drains add d --zone north --then replace --share 0.2 --plan --server {server}"
    ));
    assert_eq!(output.status, CommandStatus::Done, "{output:?}");
    assert!(output.stdout.contains("steps_left"), "{}", output.stdout);
    let (request, body) = requests.recv().unwrap();
    assert_eq!(request, "POST /api/drains");
    assert_eq!(
        (&body["paused"], &body["then"], &body["share"]),
        (&json!(true), &json!("replace"), &json!(0.2))
    );
    assert!(body.get("machines").is_none() && body.get("by").is_none());
    assert_eq!(requests.iter().count(), 2);
    let budget = json!({"budget": {"cpus": 100.0, "tasks": 50}, "default": true});
    let (server, requests) = serve(vec![(200, "", budget), (200, "", json!({"team": "red"}))]);
    let output = run(&format!("budgets set red --cpus 0 --server {server}"));
    assert_eq!(output.status, CommandStatus::Done, "{output:?}");
    let (request, body) = requests.iter().nth(1).unwrap();
    assert_eq!(request, "PUT /api/budgets/red");
    assert_eq!(body, json!({"budget": {"cpus": 0.0, "tasks": 50}}));
}
