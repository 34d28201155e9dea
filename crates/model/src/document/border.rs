//! Border types of the document, generated from its JSON schema; do not edit.
//!
//! See `tools/border`. Nothing here checks meaning; conversions do.
#![allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    dead_code
)]
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///A batch workload; each submission runs every task to completion once.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A batch workload; each submission runs every task to completion once.",
///  "type": "object",
///  "required": [
///    "name",
///    "run_time",
///    "task",
///    "tasks",
///    "team"
///  ],
///  "properties": {
///    "name": {
///      "$ref": "#/definitions/Name"
///    },
///    "priority": {
///      "$ref": "#/definitions/PriorityText"
///    },
///    "regions": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Name"
///      },
///      "maxItems": 64
///    },
///    "retries": {
///      "description": "Maximum number of retries after the first attempt; defaults to 3.",
///      "type": "integer",
///      "maximum": 100.0,
///      "minimum": 0.0
///    },
///    "run_time": {
///      "$ref": "#/definitions/DurationText"
///    },
///    "task": {
///      "$ref": "#/definitions/TaskText"
///    },
///    "tasks": {
///      "description": "Number of tasks in one submission.",
///      "type": "integer",
///      "maximum": 10000.0,
///      "minimum": 1.0
///    },
///    "team": {
///      "$ref": "#/definitions/Name"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct BatchText {
    pub name: Name,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<PriorityText>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub regions: ::std::vec::Vec<Name>,
    ///Maximum number of retries after the first attempt; defaults to 3.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retries: ::std::option::Option<i64>,
    pub run_time: DurationText,
    pub task: TaskText,
    ///Number of tasks in one submission.
    pub tasks: ::std::num::NonZeroU64,
    pub team: Name,
}
///A class of requests that are handled alike.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A class of requests that are handled alike.",
///  "type": "object",
///  "required": [
///    "deadline",
///    "idempotent",
///    "name"
///  ],
///  "properties": {
///    "deadline": {
///      "$ref": "#/definitions/DurationText"
///    },
///    "hedge": {
///      "description": "Whether a slow request may be hedged, that is, also sent to a second runner; only allowed for idempotent classes.",
///      "type": "boolean"
///    },
///    "idempotent": {
///      "description": "Whether running a request twice is harmless.",
///      "type": "boolean"
///    },
///    "name": {
///      "$ref": "#/definitions/Name"
///    },
///    "priority": {
///      "$ref": "#/definitions/PriorityText"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ClassText {
    pub deadline: DurationText,
    ///Whether a slow request may be hedged, that is, also sent to a second runner; only allowed for idempotent classes.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub hedge: ::std::option::Option<bool>,
    ///Whether running a request twice is harmless.
    pub idempotent: bool,
    pub name: Name,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<PriorityText>,
}
///Processor cores: a whole number, or thousandths of a core with the suffix m, such as 2 or 500m.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Processor cores: a whole number, or thousandths of a core with the suffix m, such as 2 or 500m.",
///  "type": [
///    "integer",
///    "string"
///  ],
///  "maximum": 100000000.0,
///  "minimum": 0.0
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum CpuText {
    String(::std::string::String),
    Integer(i64),
}
impl ::std::fmt::Display for CpuText {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match self {
            Self::String(x) => x.fmt(f),
            Self::Integer(x) => x.fmt(f),
        }
    }
}
impl ::std::convert::From<i64> for CpuText {
    fn from(value: i64) -> Self {
        Self::Integer(value)
    }
}
///Expected one-way network delays.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Expected one-way network delays.",
///  "type": "object",
///  "properties": {
///    "caller": {
///      "$ref": "#/definitions/DurationText"
///    },
///    "data_centre": {
///      "$ref": "#/definitions/DurationText"
///    },
///    "region": {
///      "$ref": "#/definitions/DurationText"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct DelaysText {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub caller: ::std::option::Option<DurationText>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub data_centre: ::std::option::Option<DurationText>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub region: ::std::option::Option<DurationText>,
}
impl ::std::default::Default for DelaysText {
    fn default() -> Self {
        Self {
            caller: Default::default(),
            data_centre: Default::default(),
            region: Default::default(),
        }
    }
}
///The whole configuration of a cell, as declared by its operators.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "DocumentText",
///  "description": "The whole configuration of a cell, as declared by its operators.",
///  "type": "object",
///  "required": [
///    "cell",
///    "fleet",
///    "regions",
///    "teams"
///  ],
///  "properties": {
///    "batch": {
///      "description": "Batch workloads.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/BatchText"
///      },
///      "maxItems": 5000
///    },
///    "cell": {
///      "description": "Name of the cell.",
///      "$ref": "#/definitions/Name"
///    },
///    "fleet": {
///      "$ref": "#/definitions/FleetText"
///    },
///    "gangs": {
///      "description": "Workloads whose tasks start together.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/GangText"
///      },
///      "maxItems": 5000
///    },
///    "policy": {
///      "$ref": "#/definitions/PolicyText"
///    },
///    "regions": {
///      "description": "Regions and their data centres.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/RegionText"
///      },
///      "maxItems": 64,
///      "minItems": 1
///    },
///    "services": {
///      "description": "Long-lived services.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServiceText"
///      },
///      "maxItems": 5000
///    },
///    "teams": {
///      "description": "Teams with quotas.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TeamText"
///      },
///      "maxItems": 1000,
///      "minItems": 1
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct DocumentText {
    ///Batch workloads.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub batch: ::std::vec::Vec<BatchText>,
    ///Name of the cell.
    pub cell: Name,
    pub fleet: FleetText,
    ///Workloads whose tasks start together.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub gangs: ::std::vec::Vec<GangText>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub policy: ::std::option::Option<PolicyText>,
    ///Regions and their data centres.
    pub regions: ::std::vec::Vec<RegionText>,
    ///Long-lived services.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<ServiceText>,
    ///Teams with quotas.
    pub teams: ::std::vec::Vec<TeamText>,
}
///A duration with its unit, such as 250ms, 5s, 10m or 2h.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A duration with its unit, such as 250ms, 5s, 10m or 2h.",
///  "type": "string"
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
#[serde(transparent)]
pub struct DurationText(pub ::std::string::String);
impl ::std::ops::Deref for DurationText {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DurationText> for ::std::string::String {
    fn from(value: DurationText) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for DurationText {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for DurationText {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for DurationText {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Expected hosts and network delays of the cell.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Expected hosts and network delays of the cell.",
///  "type": "object",
///  "required": [
///    "entry_hosts",
///    "workers"
///  ],
///  "properties": {
///    "delays": {
///      "$ref": "#/definitions/DelaysText"
///    },
///    "entry_hosts": {
///      "description": "Number of entry hosts, which are the system's own hosts.",
///      "type": "integer",
///      "maximum": 1000.0,
///      "minimum": 1.0
///    },
///    "workers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/WorkersText"
///      },
///      "maxItems": 100,
///      "minItems": 1
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FleetText {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub delays: ::std::option::Option<DelaysText>,
    ///Number of entry hosts, which are the system's own hosts.
    pub entry_hosts: ::std::num::NonZeroU64,
    pub workers: ::std::vec::Vec<WorkersText>,
}
///A gang workload, whose tasks must all start together.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A gang workload, whose tasks must all start together.",
///  "type": "object",
///  "required": [
///    "name",
///    "run_time",
///    "task",
///    "tasks",
///    "team"
///  ],
///  "properties": {
///    "name": {
///      "$ref": "#/definitions/Name"
///    },
///    "priority": {
///      "$ref": "#/definitions/PriorityText"
///    },
///    "rack_near": {
///      "description": "Whether the tasks should be placed in as few racks as possible.",
///      "type": "boolean"
///    },
///    "regions": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Name"
///      },
///      "maxItems": 64
///    },
///    "retries": {
///      "description": "Maximum number of retries after the first attempt; defaults to 3.",
///      "type": "integer",
///      "maximum": 100.0,
///      "minimum": 0.0
///    },
///    "run_time": {
///      "$ref": "#/definitions/DurationText"
///    },
///    "task": {
///      "$ref": "#/definitions/TaskText"
///    },
///    "tasks": {
///      "description": "Number of tasks, which all start together.",
///      "type": "integer",
///      "maximum": 4096.0,
///      "minimum": 2.0
///    },
///    "team": {
///      "$ref": "#/definitions/Name"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct GangText {
    pub name: Name,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<PriorityText>,
    ///Whether the tasks should be placed in as few racks as possible.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub rack_near: ::std::option::Option<bool>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub regions: ::std::vec::Vec<Name>,
    ///Maximum number of retries after the first attempt; defaults to 3.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retries: ::std::option::Option<i64>,
    pub run_time: DurationText,
    pub task: TaskText,
    ///Number of tasks, which all start together.
    pub tasks: i64,
    pub team: Name,
}
///Memory with its unit, such as 512MiB or 8GiB.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Memory with its unit, such as 512MiB or 8GiB.",
///  "type": "string"
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
#[serde(transparent)]
pub struct MemoryText(pub ::std::string::String);
impl ::std::ops::Deref for MemoryText {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<MemoryText> for ::std::string::String {
    fn from(value: MemoryText) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for MemoryText {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for MemoryText {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for MemoryText {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///A name: letters, digits, hyphens and underscores; no leading hyphen.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A name: letters, digits, hyphens and underscores; no leading hyphen.",
///  "type": "string"
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize, ::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
#[serde(transparent)]
pub struct Name(pub ::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Name {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::str::FromStr for Name {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
impl ::std::fmt::Display for Name {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
///Placement policy: a preset, and weights that override those of the preset.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Placement policy: a preset, and weights that override those of the preset.",
///  "type": "object",
///  "required": [
///    "preset"
///  ],
///  "properties": {
///    "preset": {
///      "type": "string",
///      "enum": [
///        "waiting-first",
///        "packing-first"
///      ]
///    },
///    "weights": {
///      "$ref": "#/definitions/WeightsText"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct PolicyText {
    pub preset: PolicyTextPreset,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub weights: ::std::option::Option<WeightsText>,
}
///`PolicyTextPreset`
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "type": "string",
///  "enum": [
///    "waiting-first",
///    "packing-first"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PolicyTextPreset {
    #[serde(rename = "waiting-first")]
    WaitingFirst,
    #[serde(rename = "packing-first")]
    PackingFirst,
}
impl ::std::fmt::Display for PolicyTextPreset {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::WaitingFirst => f.write_str("waiting-first"),
            Self::PackingFirst => f.write_str("packing-first"),
        }
    }
}
impl ::std::str::FromStr for PolicyTextPreset {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "waiting-first" => Ok(Self::WaitingFirst),
            "packing-first" => Ok(Self::PackingFirst),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PolicyTextPreset {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PolicyTextPreset {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PolicyTextPreset {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Priority among pending jobs or queued requests.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Priority among pending jobs or queued requests.",
///  "type": "string",
///  "enum": [
///    "low",
///    "normal",
///    "high",
///    "urgent"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PriorityText {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "urgent")]
    Urgent,
}
impl ::std::fmt::Display for PriorityText {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Low => f.write_str("low"),
            Self::Normal => f.write_str("normal"),
            Self::High => f.write_str("high"),
            Self::Urgent => f.write_str("urgent"),
        }
    }
}
impl ::std::str::FromStr for PriorityText {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            "urgent" => Ok(Self::Urgent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PriorityText {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PriorityText {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PriorityText {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A region and its data centres.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A region and its data centres.",
///  "type": "object",
///  "required": [
///    "data_centres",
///    "name"
///  ],
///  "properties": {
///    "data_centres": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Name"
///      },
///      "maxItems": 64,
///      "minItems": 1
///    },
///    "name": {
///      "$ref": "#/definitions/Name"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct RegionText {
    pub data_centres: ::std::vec::Vec<Name>,
    pub name: Name,
}
///A long-lived service whose runners answer callers' requests.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A long-lived service whose runners answer callers' requests.",
///  "type": "object",
///  "required": [
///    "classes",
///    "connections",
///    "name",
///    "runners",
///    "slots",
///    "task",
///    "team"
///  ],
///  "properties": {
///    "classes": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ClassText"
///      },
///      "maxItems": 100,
///      "minItems": 1
///    },
///    "connections": {
///      "description": "Number of connections that one runner accepts.",
///      "type": "integer",
///      "maximum": 100000.0,
///      "minimum": 1.0
///    },
///    "name": {
///      "$ref": "#/definitions/Name"
///    },
///    "regions": {
///      "description": "Regions in which the runners may run; defaults to all regions.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Name"
///      },
///      "maxItems": 64
///    },
///    "retry_budget": {
///      "description": "Retry budget, as a fraction of the requests that ran; defaults to 0.1.",
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "runners": {
///      "description": "Desired number of runners in the cell.",
///      "type": "integer",
///      "maximum": 100000.0,
///      "minimum": 0.0
///    },
///    "slots": {
///      "description": "Number of requests that one runner processes concurrently.",
///      "type": "integer",
///      "maximum": 10000.0,
///      "minimum": 1.0
///    },
///    "spread": {
///      "$ref": "#/definitions/SpreadText"
///    },
///    "task": {
///      "$ref": "#/definitions/TaskText"
///    },
///    "team": {
///      "$ref": "#/definitions/Name"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceText {
    pub classes: ::std::vec::Vec<ClassText>,
    ///Number of connections that one runner accepts.
    pub connections: ::std::num::NonZeroU64,
    pub name: Name,
    ///Regions in which the runners may run; defaults to all regions.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub regions: ::std::vec::Vec<Name>,
    ///Retry budget, as a fraction of the requests that ran; defaults to 0.1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_budget: ::std::option::Option<f64>,
    ///Desired number of runners in the cell.
    pub runners: i64,
    ///Number of requests that one runner processes concurrently.
    pub slots: ::std::num::NonZeroU64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub spread: ::std::option::Option<SpreadText>,
    pub task: TaskText,
    pub team: Name,
}
///Amounts of processors, memory and accelerators.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Amounts of processors, memory and accelerators.",
///  "type": "object",
///  "required": [
///    "cpu",
///    "memory"
///  ],
///  "properties": {
///    "accelerators": {
///      "description": "Number of whole accelerators.",
///      "type": "integer",
///      "maximum": 1000000.0,
///      "minimum": 0.0
///    },
///    "cpu": {
///      "$ref": "#/definitions/CpuText"
///    },
///    "memory": {
///      "$ref": "#/definitions/MemoryText"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct SizeText {
    ///Number of whole accelerators.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub accelerators: ::std::option::Option<i64>,
    pub cpu: CpuText,
    pub memory: MemoryText,
}
///Failure domain over which the runners are spread.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Failure domain over which the runners are spread.",
///  "type": "string",
///  "enum": [
///    "none",
///    "rack",
///    "data-centre"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum SpreadText {
    #[serde(rename = "none")]
    None,
    #[serde(rename = "rack")]
    Rack,
    #[serde(rename = "data-centre")]
    DataCentre,
}
impl ::std::fmt::Display for SpreadText {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::None => f.write_str("none"),
            Self::Rack => f.write_str("rack"),
            Self::DataCentre => f.write_str("data-centre"),
        }
    }
}
impl ::std::str::FromStr for SpreadText {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "none" => Ok(Self::None),
            "rack" => Ok(Self::Rack),
            "data-centre" => Ok(Self::DataCentre),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SpreadText {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SpreadText {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SpreadText {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Resources of one task, and whether it can be checkpointed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Resources of one task, and whether it can be checkpointed.",
///  "type": "object",
///  "required": [
///    "cpu",
///    "memory"
///  ],
///  "properties": {
///    "accelerators": {
///      "description": "Number of whole accelerators.",
///      "type": "integer",
///      "maximum": 1000000.0,
///      "minimum": 0.0
///    },
///    "checkpoint": {
///      "description": "Whether the task can be checkpointed and resumed.",
///      "type": "boolean"
///    },
///    "cpu": {
///      "$ref": "#/definitions/CpuText"
///    },
///    "memory": {
///      "$ref": "#/definitions/MemoryText"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TaskText {
    ///Number of whole accelerators.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub accelerators: ::std::option::Option<i64>,
    ///Whether the task can be checkpointed and resumed.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub checkpoint: ::std::option::Option<bool>,
    pub cpu: CpuText,
    pub memory: MemoryText,
}
///A team to which resource usage is charged.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A team to which resource usage is charged.",
///  "type": "object",
///  "required": [
///    "name",
///    "quota"
///  ],
///  "properties": {
///    "borrow": {
///      "description": "Whether the team may borrow unused quota of other teams; defaults to true.",
///      "type": "boolean"
///    },
///    "name": {
///      "$ref": "#/definitions/Name"
///    },
///    "quota": {
///      "$ref": "#/definitions/SizeText"
///    },
///    "weight": {
///      "description": "Share of contended capacity relative to other teams; defaults to 1.",
///      "type": "number",
///      "maximum": 1000.0,
///      "exclusiveMinimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TeamText {
    ///Whether the team may borrow unused quota of other teams; defaults to true.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub borrow: ::std::option::Option<bool>,
    pub name: Name,
    pub quota: SizeText,
    ///Share of contended capacity relative to other teams; defaults to 1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub weight: ::std::option::Option<f64>,
}
///Weights of the placement score, each from 0 to 1.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Weights of the placement score, each from 0 to 1.",
///  "type": "object",
///  "properties": {
///    "fragmentation": {
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "packing": {
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "region": {
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "spread": {
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "waiting": {
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct WeightsText {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub fragmentation: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub packing: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub region: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub spread: ::std::option::Option<f64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub waiting: ::std::option::Option<f64>,
}
impl ::std::default::Default for WeightsText {
    fn default() -> Self {
        Self {
            fragmentation: Default::default(),
            packing: Default::default(),
            region: Default::default(),
            spread: Default::default(),
            waiting: Default::default(),
        }
    }
}
///A group of identical workers, distributed over the data centres round-robin.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A group of identical workers, distributed over the data centres round-robin.",
///  "type": "object",
///  "required": [
///    "count",
///    "cpu",
///    "memory"
///  ],
///  "properties": {
///    "accelerators": {
///      "type": "integer",
///      "maximum": 1024.0,
///      "minimum": 0.0
///    },
///    "count": {
///      "type": "integer",
///      "maximum": 100000.0,
///      "minimum": 1.0
///    },
///    "cpu": {
///      "$ref": "#/definitions/CpuText"
///    },
///    "memory": {
///      "$ref": "#/definitions/MemoryText"
///    },
///    "per_rack": {
///      "description": "Number of workers in one rack; defaults to 8.",
///      "type": "integer",
///      "maximum": 1000.0,
///      "minimum": 1.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct WorkersText {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub accelerators: ::std::option::Option<i64>,
    pub count: ::std::num::NonZeroU64,
    pub cpu: CpuText,
    pub memory: MemoryText,
    ///Number of workers in one rack; defaults to 8.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub per_rack: ::std::option::Option<::std::num::NonZeroU64>,
}
