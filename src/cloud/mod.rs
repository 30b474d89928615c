//! The cloud's protocol: its catalogue of machine types, renting and releasing machines, and the list of
//! machines, which lags. It keeps no state and repeats no request; what is rented, and why, is decided
//! elsewhere.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rowanmill_state::http::{CallError, Client};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Most idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Most machines of one request to release, by the protocol.
pub const MAX_RELEASE_BATCH: usize = 100;
/// Most machines of one answer to a listing, by the protocol.
const LIST_PAGE_SIZE: usize = 500;

/// A type of machine that the cloud offers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an hour on demand.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of an hour as a spot machine; 0 if there are none.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Seconds that a machine usually takes to boot.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// The zones that offer it.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct Catalog {
    #[serde(rename = "stones")]
    machine_types: Vec<MachineType>,
}

/// A machine as the cloud lists it, which may be out of date.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub name: String,
    #[serde(rename = "stone")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub stage: String,
    /// Seconds from the rental request to the time that the list describes.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

impl ListedMachine {
    /// Whether it stopped by itself: nothing runs on it any more, and it stays listed until it is released.
    pub fn has_failed(&self) -> bool {
        self.stage == "failed"
    }
}

#[derive(Deserialize)]
struct MachinePage {
    #[serde(rename = "millstones")]
    machines: Vec<ListedMachine>,
    #[serde(default)]
    more: bool,
}

/// A request for machines. The cloud carries out each name once, and answers repeats alike.
#[derive(Debug, Clone, Serialize)]
pub struct RentalRequest<'a> {
    #[serde(rename = "hire")]
    pub name: &'a str,
    #[serde(rename = "stone")]
    pub machine_type: &'a str,
    #[serde(rename = "yard")]
    pub zone: &'a str,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Machines wanted; fewer may be rented.
    #[serde(rename = "howMany")]
    pub count: u32,
}

#[derive(Serialize, Deserialize)]
struct MachineNames {
    #[serde(rename = "millstones")]
    names: Vec<String>,
}

/// Why a request to the cloud has no positive answer.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Nothing was rented, and nothing will be under this request.
    #[error("no capacity")]
    NoCapacity,
    /// The request, or the answer to a read, is not as the protocol has it.
    #[error("malformed")]
    Malformed,
    /// Not executed: over the rate limit, or the cloud is in trouble. To be sent again.
    #[error("refused")]
    NotExecuted,
    /// It may have been executed, or may be yet. To be sent again under the same name.
    #[error("no answer")]
    OutcomeUnknown,
}

impl From<CallError> for CloudError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unconnected(_) => CloudError::NotExecuted,
            CallError::Unanswered(_) => CloudError::OutcomeUnknown,
        }
    }
}

/// A client of the cloud.
pub struct CloudClient {
    http: Client,
}

impl CloudClient {
    /// A client of the cloud at an address; nothing is sent yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: Client::new(addr, MAX_IDLE_CONNECTIONS),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CloudError> {
        Ok(self.http.call(method, path, body, CALL_TIMEOUT).await?)
    }

    /// The body of a positive answer to a read.
    async fn read(&self, path: &str) -> Result<Bytes, CloudError> {
        match self.call(Method::GET, path, Bytes::new()).await? {
            (StatusCode::OK, body) => Ok(body),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// All machine types, with the prices of now.
    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.read("/catalog").await?;
        let catalog: Catalog = serde_json::from_slice(&body).map_err(|_| CloudError::Malformed)?;
        Ok(catalog.machine_types)
    }

    /// Rents machines, and returns their names.
    pub async fn rent(&self, request: &RentalRequest<'_>) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).expect("plain data");
        match self.call(Method::POST, "/rentals", body.into()).await? {
            (StatusCode::OK, body) => {
                let rented: Result<MachineNames, _> = serde_json::from_slice(&body);
                // Machines were rented whose names cannot be read: a repeat names them again.
                Ok(rented.map_err(|_| CloudError::OutcomeUnknown)?.names)
            }
            (StatusCode::SERVICE_UNAVAILABLE, body) if says_no_capacity(&body) => {
                Err(CloudError::NoCapacity)
            }
            (StatusCode::BAD_REQUEST, _) => Err(CloudError::Malformed),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// Releases at most [`MAX_RELEASE_BATCH`] machines. By the time this returns `Ok`, they and all that ran
    /// on them are gone.
    pub async fn release(&self, names: Vec<String>) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { names }).expect("plain data");
        let path = "/rentals/release";
        match self.call(Method::POST, path, body.into()).await? {
            (StatusCode::OK, _) => Ok(()),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// All machines that the cloud lists, page by page.
    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let page = self.list_page(machines.last()).await?;
            let is_last = !page.more || page.machines.is_empty();
            machines.extend(page.machines);
            if is_last {
                return Ok(machines);
            }
        }
    }

    /// The page after a machine, or the first one.
    async fn list_page(&self, after: Option<&ListedMachine>) -> Result<MachinePage, CloudError> {
        let from = after.map_or_else(String::new, |machine| format!("from={}&", machine.name));
        let path = format!("/rentals?{from}limit={LIST_PAGE_SIZE}");
        let body = self.read(&path).await?;
        serde_json::from_slice(&body).map_err(|_| CloudError::Malformed)
    }
}

/// Whether a 503 says that no such machines are to be had, rather than that the cloud is in trouble.
fn says_no_capacity(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("no capacity")
}
