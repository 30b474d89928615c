//! The cloud: its catalogue, renting and releasing, and the list of machines, which lags.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rowanmill_state::http::{CallError, Client};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "marketPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct Catalog {
    stones: Vec<MachineType>,
}

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
    pub stage: String,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Deserialize)]
struct MachinePage {
    millstones: Vec<ListedMachine>,
    #[serde(default)]
    more: bool,
}

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
    #[serde(rename = "howMany")]
    pub count: u32,
}

#[derive(Serialize, Deserialize)]
struct MachineNames {
    millstones: Vec<String>,
}

#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Nothing was rented, and nothing will be under this request.
    #[error("no capacity")]
    NoCapacity,
    #[error("malformed")]
    Malformed,
    /// Not executed: over the limit, or the cloud is in trouble. To be sent again.
    #[error("refused")]
    Refused,
    /// It may have been executed, or may be yet. To be sent again under the same name.
    #[error("no answer")]
    Unknown,
}

impl From<CallError> for CloudError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unconnected => CloudError::Refused,
            CallError::Unanswered => CloudError::Unknown,
        }
    }
}

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
pub const MAX_RELEASE_BATCH: usize = 100;

pub struct CloudClient {
    http: Client,
}

impl CloudClient {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: Client::new(addr, 3),
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

    pub async fn catalog(&self) -> Result<Vec<MachineType>, CloudError> {
        match self.call(Method::GET, "/catalog", Bytes::new()).await? {
            (StatusCode::OK, body) => serde_json::from_slice::<Catalog>(&body)
                .map(|c| c.stones)
                .map_err(|_| CloudError::Malformed),
            _ => Err(CloudError::Refused),
        }
    }

    pub async fn rent(&self, rental: &RentalRequest<'_>) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(rental).expect("plain data");
        match self.call(Method::POST, "/rentals", body.into()).await? {
            (StatusCode::OK, body) => serde_json::from_slice::<MachineNames>(&body)
                .map(|n| n.millstones)
                .map_err(|_| CloudError::Unknown),
            (StatusCode::SERVICE_UNAVAILABLE, body)
                if String::from_utf8_lossy(&body).contains("no capacity") =>
            {
                Err(CloudError::NoCapacity)
            }
            (StatusCode::BAD_REQUEST, _) => Err(CloudError::Malformed),
            _ => Err(CloudError::Refused),
        }
    }

    /// By the time this returns `Ok`, the machines and all on them are gone.
    pub async fn release(&self, names: Vec<String>) -> Result<(), CloudError> {
        let body = serde_json::to_vec(&MachineNames { millstones: names }).expect("plain data");
        match self
            .call(Method::POST, "/rentals/release", body.into())
            .await?
        {
            (StatusCode::OK, _) => Ok(()),
            _ => Err(CloudError::Refused),
        }
    }

    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let from = all
                .last()
                .map(|m| format!("from={}&", m.name))
                .unwrap_or_default();
            let path = format!("/rentals?{from}limit=500");
            match self.call(Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => {
                    let page: MachinePage =
                        serde_json::from_slice(&body).map_err(|_| CloudError::Malformed)?;
                    let ended = !page.more || page.millstones.is_empty();
                    all.extend(page.millstones);
                    if ended {
                        return Ok(all);
                    }
                }
                _ => return Err(CloudError::Refused),
            }
        }
    }
}
