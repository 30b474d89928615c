//! Client of the cloud's API: reads the catalogue of machine types, rents and releases machines, and lists the
//! rented machines. The list may be out of date.
//!
//! The client never retries a request and keeps no state besides its connections. `renting` decides what to
//! rent and release.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rowanmill_state::http::{CallError, Client};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of a request, including its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of idle connections to keep open.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// Maximum number of machines in a release request, set by the protocol.
pub const MAX_RELEASE_BATCH: usize = 100;
/// Maximum number of machines in a page of the list, set by the protocol.
const LIST_PAGE_SIZE: usize = 500;

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of the image cache.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Spot price per hour; 0 if the type has no spot machines.
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    /// Typical boot time in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones that offer this type.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct Catalog {
    #[serde(rename = "stones")]
    machine_types: Vec<MachineType>,
}

/// An entry of the cloud's list of machines, which may be out of date.
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
    /// Seconds between the rental request and the time that the list describes.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

impl ListedMachine {
    /// Whether the machine stopped by itself. Nothing runs on it any more, and it stays in the list until it is
    /// released.
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

/// A request to rent machines. The cloud executes a request of each name once, and gives the same answer to
/// repeated ones.
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
    /// Number of machines requested; the cloud may rent fewer.
    #[serde(rename = "howMany")]
    pub count: u32,
}

#[derive(Serialize, Deserialize)]
struct MachineNames {
    #[serde(rename = "millstones")]
    names: Vec<String>,
}

/// Why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Nothing was rented, and nothing will be rented under this request.
    #[error("no capacity for the requested machines")]
    NoCapacity,
    /// The cloud rejected the request as malformed, or the response to a read could not be parsed.
    #[error("malformed request or response")]
    Malformed,
    /// The request was not executed, for example because it exceeded the rate limit, the cloud has an outage, or
    /// no connection could be made. It can be sent again.
    #[error("request not executed")]
    NotExecuted,
    /// The request may have been executed, or may still be. It must be sent again under the same name.
    #[error("no valid response, the outcome is unknown")]
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

/// Client of the cloud's API.
pub struct CloudClient {
    http: Client,
}

impl CloudClient {
    /// Creates a client of the cloud at an address, without connecting to it.
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

    /// Sends a GET request and returns the body of a successful response.
    async fn read(&self, path: &str) -> Result<Bytes, CloudError> {
        match self.call(Method::GET, path, Bytes::new()).await? {
            (StatusCode::OK, body) => Ok(body),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// Returns all machine types with their current prices.
    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self.read("/catalog").await?;
        let catalog: Catalog = serde_json::from_slice(&body).map_err(|_| CloudError::Malformed)?;
        Ok(catalog.machine_types)
    }

    /// Rents machines and returns their names.
    pub async fn rent(&self, request: &RentalRequest<'_>) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(request).expect("request is serializable");
        match self.call(Method::POST, "/rentals", body.into()).await? {
            (StatusCode::OK, body) => {
                let rented: Result<MachineNames, _> = serde_json::from_slice(&body);
                // Machines were rented, but their names cannot be read. A repeated request returns them again.
                Ok(rented.map_err(|_| CloudError::OutcomeUnknown)?.names)
            }
            (StatusCode::SERVICE_UNAVAILABLE, body) if reports_no_capacity(&body) => {
                Err(CloudError::NoCapacity)
            }
            (StatusCode::BAD_REQUEST, _) => Err(CloudError::Malformed),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// Releases at most [`MAX_RELEASE_BATCH`] machines. When this returns `Ok`, the machines and everything that
    /// ran on them are gone.
    pub async fn release(&self, names: Vec<String>) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { names }).expect("request is serializable");
        let path = "/rentals/release";
        match self.call(Method::POST, path, body.into()).await? {
            (StatusCode::OK, _) => Ok(()),
            _ => Err(CloudError::NotExecuted),
        }
    }

    /// Reads the cloud's list of machines page by page.
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

    /// Reads the page that follows a machine, or the first page.
    async fn list_page(&self, after: Option<&ListedMachine>) -> Result<MachinePage, CloudError> {
        let from = after.map_or_else(String::new, |machine| format!("from={}&", machine.name));
        let path = format!("/rentals?{from}limit={LIST_PAGE_SIZE}");
        let body = self.read(&path).await?;
        serde_json::from_slice(&body).map_err(|_| CloudError::Malformed)
    }
}

/// Whether a 503 response reports missing capacity rather than an outage of the cloud.
fn reports_no_capacity(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("no capacity")
}
