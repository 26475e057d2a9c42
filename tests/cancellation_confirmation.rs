//! Confirmations of cancellations between controllers, on which safety depends: which requests are answered, and
//! which messages are ignored.

use prost::Message;
use snowshelf::coordination::controller::Controller;
use snowshelf::effects::{ControllerEvent, Effect};
use snowshelf::operator::OperatorSettings;
use snowshelf::settings::Settings;
use snowshelf_model::ids::MonotonicMillis;
use snowshelf_model::protocol::peer::{Confirmation, ConfirmationRequest, PeerMessage, PeerStatus};

fn controller() -> Controller {
    let settings = Settings::parse(
        "member = \"a\"\nserve_on = \"10.0.0.1:1\"\npeer_listen = \"10.0.0.1:2\"\n\
         [[peers]]\nmember = \"b\"\naddress = \"10.0.0.2:2\"\n\
         [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[deployment]\nnodes = 2\n\
         [deployment.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 30.0\n\
         [deployment.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 9.0\ntxn_ops = 9\n\
         [deployment.cloud]\nrps = 2.0\n[deployment.limits]\nmem_mb = 99.0\nsockets = 99\n",
    );
    Controller::new(
        settings.unwrap(),
        OperatorSettings::default(),
        MonotonicMillis(1),
    )
}

fn request(member: &str, window_ms: u64) -> PeerMessage {
    let request = ConfirmationRequest {
        member: member.into(),
        incarnation: 77,
        sequence: 5,
        window_ms,
    };
    PeerMessage {
        request: Some(request),
        confirmation: None,
    }
}

/// Handles a message. Returns the confirmations that the controller sends, each with the member that it is sent to.
fn confirmations(
    controller: &mut Controller,
    message: PeerMessage,
    now: u64,
) -> Vec<(String, Confirmation)> {
    let outputs = controller.handle(
        ControllerEvent::PeerMessage(message),
        MonotonicMillis(now),
        1_000_000 + now,
    );
    let confirmations = outputs.into_iter().filter_map(|output| match output {
        Effect::PeerMessage(member, message) => {
            Some((member.as_str().to_string(), message.confirmation?))
        }
        _ => None,
    });
    confirmations.collect()
}

/// Guards against confirming a time before this incarnation began, and against a confirmation that could be
/// mistaken for a response to another incarnation's request.
#[test]
fn confirmation_is_complete_only_within_uptime_of_this_incarnation() {
    let mut controller = controller();
    let confirmations_sent = confirmations(&mut controller, request("b", 5_000), 6_000);
    let [(to, confirmation)] = &confirmations_sent[..] else {
        panic!("{confirmations_sent:?}");
    };
    assert_eq!((to.as_str(), confirmation.member.as_str()), ("b", "a"));
    assert_eq!(
        (confirmation.asker_incarnation, confirmation.sequence),
        (77, 5)
    );
    assert!(confirmation.complete && confirmation.cancelled.is_empty());
    let confirmations_sent = confirmations(&mut controller, request("b", 5_999), 6_000);
    assert!(confirmations_sent[0].1.complete);
    let confirmations_sent = confirmations(&mut controller, request("b", 6_000), 6_000);
    assert!(!confirmations_sent[0].1.complete);
    // A window that is out of range, an unknown member, and the controller itself.
    assert!(
        !confirmations(&mut controller, request("b", u64::MAX), 6_000)[0]
            .1
            .complete
    );
    assert_eq!(
        confirmations(&mut controller, request("x", 5_000), 6_000),
        []
    );
    assert_eq!(
        confirmations(&mut controller, request("a", 5_000), 6_000),
        []
    );
}

/// Guards against acting on a confirmation that was not requested. Checks only that no confirmation is sent
/// in return; other effects are not checked here.
#[test]
fn unrequested_confirmation_causes_no_messages() {
    let mut controller = controller();
    for (member, sequence) in [("b", 0), ("b", 1), ("b", u64::MAX), ("x", 1)] {
        let confirmation = Confirmation {
            member: member.into(),
            incarnation: 3,
            asker_incarnation: 1_000_050,
            sequence,
            complete: true,
            cancelled: vec!["wk-000001".into(), String::new()],
        };
        let message = PeerMessage {
            request: None,
            confirmation: Some(confirmation),
        };
        assert_eq!(confirmations(&mut controller, message, 50), []);
    }
}

/// Guards against confusing the two kinds of peer messages. Controllers of the version in production decode a
/// confirmation as a status without a member, and a status must not decode as a confirmation.
#[test]
fn confirmation_and_status_messages_are_distinguishable() {
    let message = request("b", 9).encode_to_vec();
    assert_eq!(
        PeerStatus::decode(&message[..]).unwrap(),
        PeerStatus::default()
    );
    let status = PeerStatus {
        member: "b".into(),
        state_silent_ms: 9,
        up_ms: 8,
        missing: vec!["n-1".into()],
        ..PeerStatus::default()
    };
    let status = status.encode_to_vec();
    assert_eq!(
        PeerMessage::decode(&status[..]).unwrap(),
        PeerMessage::default()
    );
    assert!(PeerMessage::decode(&message[..message.len() - 1]).is_err());
}
