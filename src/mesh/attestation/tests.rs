use super::*;
use crate::testing::compatibility::trace::hex;

fn attestation(incarnation: u64, is_disconnected: bool, cancelled: &[&str]) -> Attestation {
    Attestation {
        incarnation,
        is_disconnected,
        cancelled: cancelled.iter().map(|id| (*id).to_owned()).collect(),
    }
}

/// Rule `ran_cancelled`: leases are renewed past `disconnected_lease_limit` only if every peer, in the incarnation last known,
/// has attested. One that is silent, restarted, loading its records or in contact with the state service does not count,
/// whatever it answers.
#[test]
fn only_all_peers_together_attest_what_was_confirmed() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut peers = PeerStatus::default();
    let mut trace = String::new();
    let mut say = |what: &str, peers: &PeerStatus| {
        let vouched = peers.attested(["n-1", "n-2"]);
        let vouched = vouched.map(|at| (at - start).as_secs());
        let known: Vec<_> = peers.cancelled.iter().cloned().collect();
        trace.push_str(&format!("{what}: up to {vouched:?}, cancelled {known:?}\n"));
    };
    peers.record_attestation("n-1", Some(7), attestation(7, true, &["job-1"]), at(3));
    say("one of two", &peers);
    peers.record_attestation("n-2", Some(8), attestation(9, true, &["job-2"]), at(4));
    say("the other restarted", &peers);
    peers.record_attestation("n-2", None, attestation(8, true, &[]), at(4));
    say("the other is in no record", &peers);
    peers.record_attestation("n-2", Some(8), attestation(8, false, &[]), at(4));
    say("it has the state service", &peers);
    peers.record_attestation("n-2", Some(8), attestation(8, true, &[]), at(5));
    say("it vouches", &peers);
    peers.record_attestation("n-1", Some(7), attestation(7, true, &["job-1"]), at(9));
    say("the first again, the other is silent", &peers);
    peers.discard_superseded(start);
    say("contact, but from before what was told", &peers);
    peers.discard_superseded(Instant::now() + Duration::from_secs(1));
    say("contact", &peers);
    insta::assert_snapshot!(trace, @r#"
    one of two: up to None, cancelled ["job-1"]
    the other restarted: up to None, cancelled ["job-1", "job-2"]
    the other is in no record: up to None, cancelled ["job-1", "job-2"]
    it has the state service: up to None, cancelled ["job-1", "job-2"]
    it vouches: up to Some(3), cancelled ["job-1", "job-2"]
    the first again, the other is silent: up to Some(5), cancelled ["job-1", "job-2"]
    contact, but from before what was told: up to None, cancelled ["job-1", "job-2"]
    contact: up to None, cancelled []
    "#);
}

#[test]
fn attestation_frames_keep_their_bytes() {
    let mut trace = String::new();
    let attestations: [(u64, bool, &[&str]); 4] = [
        (0, false, &[]),
        (1_170_161_245_356_350, true, &[]),
        (1_170_161_245_356_350, true, &["job-000412"]),
        (7, false, &["job-000412", "job-7"]),
    ];
    for (incarnation, is_disconnected, cancelled) in attestations {
        let frame = bitcode::encode(&attestation(incarnation, is_disconnected, cancelled));
        trace.push_str(&format!(
            "{incarnation} {is_disconnected} {cancelled:?}: {}\n",
            hex(&frame)
        ));
        let read: Attestation = bitcode::decode(&frame).unwrap();
        assert_eq!(read.incarnation, incarnation);
        assert_eq!(read.is_disconnected, is_disconnected);
        assert_eq!(read.cancelled, cancelled);
    }
    insta::assert_snapshot!("attestation_frames", trace);
}

/// The kind of a query, and an answer in the bytes that another controller sends.
#[tokio::test]
async fn a_query_for_an_attestation_keeps_its_bytes() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let answering = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 2];
        stream.read_exact(&mut request).await.unwrap();
        let frame = bitcode::encode(&attestation(7, true, &["job-000412"]));
        let mut answer = (frame.len() as u32).to_be_bytes().to_vec();
        answer.extend(frame);
        stream.write_all(&answer).await.unwrap();
        hex(&request)
    });
    let attestation = query(peer).await.unwrap();
    assert_eq!(attestation.incarnation, 7);
    assert!(attestation.is_disconnected);
    assert_eq!(attestation.cancelled, ["job-000412"]);
    assert_eq!(answering.await.unwrap(), "ffff");
}
