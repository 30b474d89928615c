//! The outside world for tests: a state service, a cloud and workers, written from the published
//! protocol, on loopback; and controllers, each on a thread with its own runtime.

mod cloud;
mod fault_scenarios;
mod load_profile;
mod state;
mod tests;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

type Reply = Pin<Box<dyn Future<Output = (u16, Value)> + Send>>;

/// A request as the stand-ins see it.
struct Asked {
    method: Method,
    path: String,
    query: HashMap<String, String>,
    body: Value,
}

async fn serve(listener: TcpListener, handler: Arc<dyn Fn(Asked) -> Reply + Send + Sync>) {
    while let Ok((stream, _)) = listener.accept().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(handler.clone(), request));
            let io = TokioIo::new(stream);
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

async fn answer(
    handler: Arc<dyn Fn(Asked) -> Reply + Send + Sync>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let pairs = head.uri.query().unwrap_or_default().split('&');
    let query = pairs.filter_map(|p| p.split_once('='));
    let body = body.collect().await.map(|b| b.to_bytes());
    let asked = Asked {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: query.map(|(k, v)| (k.into(), v.into())).collect(),
        body: serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null),
    };
    let (status, body) = handler(asked).await;
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    Ok(response)
}

/// An address that stays free over a controller's restarts: a loopback host of its own, which no
/// outgoing connection is given, as could happen with a port of 127.0.0.1 that was only probed.
fn free_addr() -> SocketAddr {
    static USED: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = USED.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 1 + high % 250, low, own], 7070))
}

/// The addresses of a controller, kept over its restarts.
#[derive(Clone, Copy)]
struct Seat {
    api: SocketAddr,
    mesh: SocketAddr,
}

/// A running controller; dropping it ends it at once, in the middle of whatever it does.
struct Controller {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// What a controller is started as.
#[derive(Clone, Copy)]
struct Version {
    /// What it can do: 0 stands for the version before.
    can: u32,
    /// Limits of the state service, and those that it is told of.
    value_kb: f64,
    next: Option<(f64, usize, f64)>,
    times: Times,
    /// All controllers of a test share one process and its memory.
    memory_mb: f64,
}

/// How long a worker's lease holds, and how long a cancelled job's tasks may stay.
#[derive(Clone, Copy)]
struct Times {
    lease_s: f64,
    cancel_s: f64,
}

impl Times {
    fn lease(self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    fn cancel(self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

const USUAL: Times = Times {
    lease_s: 8.0,
    cancel_s: 20.0,
};

const PRESENT: Version = Version {
    can: crate::membership::schema_versions::CAN,
    value_kb: 8.0,
    next: None,
    times: USUAL,
    memory_mb: 10_000.0,
};

impl Controller {
    fn start(number: usize, seats: &[Seat], state: SocketAddr, cloud: SocketAddr) -> Self {
        Self::start_as(PRESENT, number, seats, state, cloud)
    }

    fn start_as(
        version: Version,
        number: usize,
        seats: &[Seat],
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> Self {
        let next = version.next.map(|(value_kb, txn_ops, write_rps)| {
            json!({"value_kb": value_kb, "txn_ops": txn_ops, "write_rps": write_rps})
        });
        let name = |n: usize| format!("millstone-{n}");
        let others = seats.iter().enumerate().filter(|(n, _)| *n != number);
        let known: Vec<Value> = others
            .map(|(n, s)| json!({"member": name(n), "site": "a", "addr": s.mesh}))
            .collect();
        let settings = json!({"member": name(number), "site": "a", "api_addr": seats[number].api,
            "mesh_addr": seats[number].mesh, "known": known,
            "endpoints": {"cloud": cloud, "state": state},
            "params": {"size": seats.len(), "zones": ["a"],
                "teams": [{"name": "t", "cpus_max": 6.0}],
                "workers": {"report_s": 0.3, "lease_s": version.times.lease_s, "gang_wait_s": 5.0,
                    "gang_peer_s": 2.0, "cancel_s": version.times.cancel_s},
                "state": {"rps": 1000.0, "write_rps": 500.0, "value_kb": version.value_kb,
                    "txn_ops": 24, "next": next},
                "cloud": {"rps": 50.0, "list_lag_s": 1.0},
                "limits": {"core_share": 1.0, "mem_mb": version.memory_mb, "sockets": 500},
                "skew_ms": 25.0}});
        let settings = crate::settings::Settings::parse(&settings.to_string(), "test").unwrap();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! {
                    ended = crate::run_as(version.can, settings, crate::policy::Policy::default()) => ended.unwrap(),
                    _ = stopped => {}
                }
            });
        });
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One request of a user; the status and the body.
async fn ask(addr: SocketAddr, method: Method, path: &str, body: Value) -> (u16, Value) {
    let client = crate::http::Client::new(addr, 0);
    let body = match body {
        Value::Null => Bytes::new(),
        Value::String(raw) => raw.into(),
        body => body.to_string().into(),
    };
    let limit = Duration::from_secs(5);
    match client.call(method, path, body, limit).await {
        Ok((status, body)) => {
            let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
            (status.as_u16(), body)
        }
        Err(_) => (0, Value::Null),
    }
}
