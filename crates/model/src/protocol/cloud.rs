//! The cloud's protocol: machine types, scale-out, scale-in, listing.
//!
//! The names on the wire, and what they are called here:
//!
//! | on the wire | here |
//! | --- | --- |
//! | `Modelos`, `Modelo` | machine types, machine type |
//! | `Prensas` | machines |
//! | `Ref` | machine |
//! | `Parcelas`, `Parcela` | zones, zone |
//! | `Avulsas` | whether spot instances are meant |
//! | `Estado` | state of a machine |
//! | `Pedido` | name of a request, which makes it idempotent |

use crate::ids::MachineId;
use crate::records::Resources;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A type of machines that the cloud offers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "Label")]
    pub label: String,
    /// CPUs.
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    /// Memory in gigabytes.
    #[serde(rename = "MemGb")]
    pub mem: f64,
    /// Disk space for images, in gigabytes.
    #[serde(rename = "LocalGb", default = "unlimited_gb")]
    pub local_gb: f64,
    /// How fast images are pulled, in gigabytes a second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour of an on-demand instance.
    #[serde(rename = "Hourly")]
    pub hourly: f64,
    /// Price an hour of a spot instance, where there are any.
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: Option<f64>,
    /// How long a machine takes to be ready, in seconds.
    #[serde(rename = "ReadyS", default)]
    pub ready_s: f64,
    /// The zones that offer the type.
    #[serde(rename = "Parcelas", default)]
    pub zones: Vec<String>,
}

/// The disk space of a type that states none: enough for all images (JSON has no infinity).
fn unlimited_gb() -> f64 {
    1e12
}

impl MachineType {
    /// The capacity of a machine.
    #[must_use]
    pub fn room(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem: self.mem,
        }
    }

    /// Price an hour.
    #[must_use]
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.spot_price.unwrap_or(self.hourly)
        } else {
            self.hourly
        }
    }
}

/// The response with all machine types.
#[derive(Debug, Deserialize, Serialize)]
pub struct MachineTypesResponse {
    /// The machine types.
    #[serde(rename = "Modelos")]
    pub types: Vec<MachineType>,
}

/// The response to a scale-out.
#[derive(Debug, Deserialize)]
pub struct ScaleOutResponse {
    /// The new machines.
    #[serde(rename = "Prensas")]
    pub machines: Vec<MachineId>,
}

/// The state of a machine by the cloud's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineState {
    /// Not ready yet.
    Booting,
    /// Ready.
    Running,
    /// Failed for good.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// The machine.
    #[serde(rename = "Ref")]
    pub machine: MachineId,
    /// Its type.
    #[serde(rename = "Modelo")]
    pub model: String,
    /// Its zone.
    #[serde(rename = "Parcela")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "Estado")]
    pub state: ListedMachineState,
    /// How long it has existed, in seconds.
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Deserialize)]
pub struct MachineListResponse {
    /// The machines.
    #[serde(rename = "Prensas")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "More", default)]
    pub more: bool,
}

/// The body of a request for `number` new machines; `name` makes it idempotent.
#[must_use]
pub fn scale_out_body(name: &str, model: &str, zone: &str, spot: bool, number: u32) -> Vec<u8> {
    json!({"Pedido": name, "Modelo": model, "Parcela": zone, "Avulsas": spot, "Number": number})
        .to_string()
        .into_bytes()
}

/// The body of a request to release machines.
#[must_use]
pub fn release_body(machines: &[MachineId]) -> Vec<u8> {
    json!({ "Prensas": machines }).to_string().into_bytes()
}
