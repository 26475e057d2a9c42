//! The cloud protocol: machine types, scale-out, scale-in and the machine list.
//!
//! Names on the wire and the terms used in this code base:
//!
//! | on the wire | term |
//! | --- | --- |
//! | `Modelos`, `Modelo` | machine types, machine type |
//! | `Prensas` | machines |
//! | `Ref` | machine |
//! | `Parcelas`, `Parcela` | zones, zone |
//! | `Avulsas` | whether a request or machine is for spot instances |
//! | `Estado` | state of a machine |
//! | `Pedido` | idempotency key of a scale-out request |

use crate::ids::MachineId;
use crate::records::Resources;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// The name of the machine type.
    #[serde(rename = "Label")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    #[serde(rename = "MemGb")]
    pub mem: f64,
    /// Disk space for images, in gigabytes.
    #[serde(rename = "LocalGb", default = "unlimited_gb")]
    pub local_gb: f64,
    /// Bandwidth of image pulls, in gigabytes per second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand instance.
    #[serde(rename = "Hourly")]
    pub hourly_price: f64,
    /// Hourly price of a spot instance; `None` if the cloud offers none of this type.
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: Option<f64>,
    /// Time from the scale-out until a machine is ready, in seconds.
    #[serde(rename = "ReadyS", default)]
    pub ready_s: f64,
    /// The zones that offer the machine type.
    #[serde(rename = "Parcelas", default)]
    pub zones: Vec<String>,
}

/// Default for machine types without a disk size: enough for all images. JSON cannot represent
/// infinity.
fn unlimited_gb() -> f64 {
    1e12
}

impl MachineType {
    /// Returns the resources of an empty machine of this type.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem: self.mem,
        }
    }

    /// Returns the hourly price of a spot or on-demand instance.
    #[must_use]
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.spot_price.unwrap_or(self.hourly_price)
        } else {
            self.hourly_price
        }
    }
}

/// The response to a request for the machine types.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypesResponse {
    /// All machine types of the cloud.
    #[serde(rename = "Modelos")]
    pub types: Vec<MachineType>,
}

/// The response to a scale-out request.
#[derive(Debug, Deserialize)]
pub struct ScaleOutResponse {
    /// IDs of the new machines.
    #[serde(rename = "Prensas")]
    pub machines: Vec<MachineId>,
}

/// The state of a machine in the cloud's machine list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineState {
    /// Started, and not ready yet.
    Booting,
    /// Ready for tasks.
    Running,
    /// Failed permanently.
    Failed,
}

/// A machine in the cloud's machine list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// ID of the machine.
    #[serde(rename = "Ref")]
    pub machine: MachineId,
    /// The machine type.
    #[serde(rename = "Modelo")]
    pub model: String,
    /// The zone of the machine.
    #[serde(rename = "Parcela")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    /// The state of the machine.
    #[serde(rename = "Estado")]
    pub state: ListedMachineState,
    /// Age of the machine, in seconds.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// The response to a request for the machine list: one page of machines.
#[derive(Debug, Deserialize)]
pub struct MachineListResponse {
    /// The machines on this page.
    #[serde(rename = "Prensas")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// Builds the body of a request for `number` new machines. The request is idempotent by
/// `idempotency_key`.
#[must_use]
pub fn scale_out_body(
    idempotency_key: &str,
    model: &str,
    zone: &str,
    spot: bool,
    number: u32,
) -> Vec<u8> {
    json!({"Pedido": idempotency_key, "Modelo": model, "Parcela": zone, "Avulsas": spot, "Number": number})
        .to_string()
        .into_bytes()
}

/// Builds the body of a request to release machines.
#[must_use]
pub fn release_body(machines: &[MachineId]) -> Vec<u8> {
    json!({ "Prensas": machines }).to_string().into_bytes()
}
