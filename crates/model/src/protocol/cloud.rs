//! The cloud: machine types, renting, returning, listing.

use crate::ids::MachineId;
use crate::records::Resources;
use serde::{Deserialize, Serialize};
use serde_json::json;

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    #[serde(rename = "Label")]
    pub label: String,
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    #[serde(rename = "MemGb")]
    pub mem: f64,
    /// Room for images.
    #[serde(rename = "LocalGb", default = "unlimited")]
    pub local_gb: f64,
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Hourly")]
    pub hourly: f64,
    #[serde(rename = "SpotPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "ReadyS", default)]
    pub ready_s: f64,
    #[serde(rename = "Parcelas", default)]
    pub zones: Vec<String>,
}

/// A type that does not say how many images it keeps is taken to keep all (JSON has no infinity).
fn unlimited() -> f64 {
    1e12
}

impl MachineType {
    pub fn room(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem: self.mem,
        }
    }
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.spot_price.unwrap_or(self.hourly)
        } else {
            self.hourly
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
pub struct TypesAnswer {
    #[serde(rename = "Modelos")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Deserialize)]
pub struct RentAnswer {
    #[serde(rename = "Prensas")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Listed {
    #[serde(rename = "Ref")]
    pub machine: MachineId,
    #[serde(rename = "Modelo")]
    pub model: String,
    #[serde(rename = "Parcela")]
    pub zone: String,
    #[serde(rename = "Avulsas", default)]
    pub spot: bool,
    #[serde(rename = "Estado")]
    pub state: ListedState,
    #[serde(rename = "AgeS", default)]
    pub age_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct ListAnswer {
    #[serde(rename = "Prensas")]
    pub machines: Vec<Listed>,
    #[serde(rename = "More", default)]
    pub more: bool,
}

pub fn rent_body(name: &str, model: &str, zone: &str, spot: bool, number: u32) -> Vec<u8> {
    json!({"Pedido": name, "Modelo": model, "Parcela": zone, "Avulsas": spot, "Number": number})
        .to_string()
        .into_bytes()
}

pub fn release_body(machines: &[MachineId]) -> Vec<u8> {
    json!({ "Prensas": machines }).to_string().into_bytes()
}
