//! The JSON protocol of the simulator adapter, tested through its binary.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENLIST_LINE: &str = concat!(
    r#"{"verb":"enlist","instance_id":"instance/1","random_seed":5,"boot_info":{"classes":[{"name":"a","#,
    r#""effect":"deduplicated","give_up":8000000,"on_time":2000000,"repeat_window":9000000,"value":1,"new":[]}],"#,
    r#""rules":{"answer_slack":60000,"drain_grace":2000000,"fall_multiple":6},"tick":4000,"later":{"x":1},"#,
    r#""specifics":{"cores":2,"memory_kb":10000,"run_factor":8,"entry_kb":5,"below":"one_for_all","#,
    r#""calls_out":3,"calls_over":5000000,"class_calls":[true]}}}"#
);

fn run_adapter(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cleatpulley-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    let mut stdin = child.stdin.take().expect("standard input is a pipe");
    // The write fails if the adapter has already exited on an invalid line, which is not an error of the test.
    let _ = stdin.write_all((lines.join("\n") + "\n").as_bytes());
    drop(stdin);
    child.wait_with_output().expect("wait for the adapter")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is UTF-8")
}

#[test]
fn replies_to_an_empty_round_and_succeeds_at_the_end_of_input() {
    let output = run_adapter(&[
        r#"{"verb":"tick","clock":8412250,"round":1}"#,
        r#"{"verb":"go"}"#,
    ]);
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "{\"verb\":\"ready\",\"round\":1}\n");
}

#[test]
fn request_starts_a_run_and_a_call() {
    let output = run_adapter(&[
        r#"{"verb":"tick","clock":1000000,"round":1}"#,
        ENLIST_LINE,
        r#"{"verb":"accept","instance_id":"instance/1","rid":"00000000000000ff","not_after":9000000,"category":0,"mem_kb":10}"#,
        r#"{"verb":"go"}"#,
        r#"{"verb":"tick","clock":1004000,"round":2}"#,
        r#"{"verb":"needs","instance_id":"instance/1","rid":"00000000000000ff"}"#,
        r#"{"verb":"go"}"#,
    ]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let expected = [
        r#"{"verb":"health","instance_id":"instance/1","active":true,"from_state":true}"#,
        r#"{"verb":"timer","instance_id":"instance/1","moment":1015000,"mark":0}"#,
        r#"{"verb":"store_key","instance_id":"instance/1","rid":"00000000000000ff","lifetime":9015000}"#,
        r#"{"verb":"serve","instance_id":"instance/1","rid":"00000000000000ff"}"#,
        r#"{"verb":"ready","round":1}"#,
        r#"{"verb":"reach_out","instance_id":"instance/1","rid":"00000000000000ff","within":1996000}"#,
        r#"{"verb":"ready","round":2}"#,
    ];
    assert_eq!(text(&output.stdout).lines().collect::<Vec<_>>(), expected);
}

#[test]
fn instance_id_can_be_reused_in_the_round_that_retires_it() {
    let output = run_adapter(&[
        r#"{"verb":"tick","clock":1000000,"round":1}"#,
        ENLIST_LINE,
        r#"{"verb":"go"}"#,
        r#"{"verb":"tick","clock":1004000,"round":2}"#,
        r#"{"verb":"retire","instance_id":"instance/1"}"#,
        ENLIST_LINE,
        r#"{"verb":"go"}"#,
        r#"{"verb":"tick","clock":1008000,"round":3}"#,
        r#"{"verb":"retire","instance_id":"instance/1"}"#,
        r#"{"verb":"go"}"#,
    ]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let reply = text(&output.stdout);
    assert_eq!(reply.matches(r#""verb":"health""#).count(), 2);
    assert!(reply.ends_with("{\"verb\":\"ready\",\"round\":3}\n"));
}

#[test]
fn actions_of_an_instance_do_not_depend_on_other_instances() {
    let actions = |names: &[&str]| {
        let mut lines = vec![r#"{"verb":"tick","clock":1000000,"round":1}"#.to_owned()];
        for name in names {
            lines.push(ENLIST_LINE.replace("instance/1", name));
            for id in 1..=9 {
                lines.push(format!(
                    r#"{{"verb":"accept","instance_id":"{name}","rid":"{id:016x}","category":0}}"#
                ));
            }
        }
        lines.push(r#"{"verb":"go"}"#.to_owned());
        let output = run_adapter(&lines.iter().map(String::as_str).collect::<Vec<_>>());
        text(&output.stdout)
            .lines()
            .filter(|line| line.contains("instance/4"))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let alone = actions(&["instance/4"]);
    assert!(alone.len() > 9);
    assert_eq!(actions(&["instance/2", "instance/4"]), alone);
}

#[test]
fn reports_and_skips_an_event_of_unknown_kind() {
    let output = run_adapter(&[
        r#"{"verb":"tick","clock":1,"round":4}"#,
        r#"{"verb":"novelty","instance_id":"instance/1"}"#,
        r#"{"verb":"go"}"#,
    ]);
    assert!(output.status.success());
    assert!(text(&output.stderr).contains("round 4, verb novelty: unknown kind of event"));
}

#[test]
fn invalid_input_exits_with_status_1_and_names_the_error() {
    let accept =
        r#"{"verb":"accept","instance_id":"instance/1","rid":"00000000000000ff","category":3}"#;
    let cases: [(&[&str], &str); 7] = [
        (&["not json"], "round 7, verb -: not JSON"),
        (&[r#"{"clock":1}"#], "round 7, verb -: missing field `verb`"),
        (
            &[r#"{"verb":"needs","instance_id":"instance/1"}"#],
            "round 7, verb needs: missing field `rid`",
        ),
        (
            &[r#"{"verb":"leaving","instance_id":"instance/9","not_after":5}"#],
            "unknown instance instance/9",
        ),
        (
            &[ENLIST_LINE, accept],
            "round 7, verb accept: category 3 is out of range",
        ),
        (
            &[r#"{"verb":"tick","clock":1,"round":8}"#],
            "round 7, verb tick: the last round is still open",
        ),
        (&[], "round 7, verb -: the input ended inside a round"),
    ];
    for (lines, expected) in cases {
        let mut input = vec![r#"{"verb":"tick","clock":1,"round":7}"#];
        input.extend(lines);
        let output = run_adapter(&input);
        assert_eq!(output.status.code(), Some(1), "{expected}");
        let stderr = text(&output.stderr);
        assert!(
            stderr.contains(expected) && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}
