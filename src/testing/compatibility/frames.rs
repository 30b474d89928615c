//! The frames that a controller sends over the mesh, byte for byte.

use super::trace::hex;
use crate::membership::schema_versions::FeatureLevel;
use crate::mesh;
use crate::node::Node;
use crate::policy::Policy;
use crate::settings::Settings;
use rowanmill_config::ConfigFile;
use serde_json::json;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn node() -> Node {
    let settings = json!({"member": "millstone-0", "site": "a", "api_addr": "127.0.0.1:1",
        "mesh_addr": "127.0.0.1:1", "known": [],
        "endpoints": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:1"},
        "params": {"size": 1, "zones": ["a"], "teams": [],
            "workers": {"report_s": 0.3, "lease_s": 8.0, "gang_wait_s": 5.0, "gang_peer_s": 2.0,
                "cancel_s": 20.0},
            "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": 8.0, "txn_ops": 24, "next": null},
            "cloud": {"rps": 50.0, "list_lag_s": 1.0},
            "limits": {"core_share": 1.0, "mem_mb": 10000.0, "sockets": 500},
            "skew_ms": 25.0}});
    let settings = Settings::parse(&settings.to_string(), "test").unwrap();
    let mut node = Node::new(FeatureLevel::NONE, settings, Policy::default());
    node.identity.incarnation = 1_170_161_245_356_350;
    node
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// The three queries that other controllers send: for a controller's status, for its attestation of the jobs that it
/// knows to be cancelled, and, from another cell, for its attestation that it has lost contact with the ledger. The
/// controller that answers has read no records and belongs to no cell, so it attests neither.
#[tokio::test]
async fn mesh_queries_are_answered_with_the_same_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(mesh::serve(Arc::new(node()), listener));
    let mut trace = String::new();
    let frame = mesh::status::StatusFrame {
        member: "millstone-1".into(),
        state_age_ms: Some(140),
    };
    let frame = bitcode::encode(&frame);
    let status_query = format!("{:04x}{}", frame.len(), hex(&frame));
    for (query_kind, query) in [
        ("status", status_query.as_str()),
        ("attestation", "ffff"),
        ("testimony", "fffe000000080573746f6e650609"),
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&bytes(query)).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        trace.push_str(&format!("{query_kind}: {query} -> {}\n", hex(&answer)));
    }
    server.abort();
    insta::assert_snapshot!("mesh_answers", trace);
}

#[test]
fn status_frames_keep_their_bytes() {
    let mut trace = String::new();
    for (member, state_age_ms) in [
        ("", None),
        ("millstone-1", None),
        ("millstone-1", Some(0)),
        ("millstone-1", Some(140)),
        ("millstone-1", Some(u64::MAX)),
    ] {
        let frame = bitcode::encode(&mesh::status::StatusFrame {
            member: member.to_owned(),
            state_age_ms,
        });
        trace.push_str(&format!("{member:?} {state_age_ms:?}: {}\n", hex(&frame)));
        let read: mesh::status::StatusFrame = bitcode::decode(&frame).unwrap();
        assert_eq!(read.member, member);
        assert_eq!(read.state_age_ms, state_age_ms);
    }
    insta::assert_snapshot!("status_frames", trace);
}
