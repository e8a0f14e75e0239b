//! The daemon's metrics and their text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Why metrics cannot be kept or shown.
#[derive(Debug, derive_more::Display)]
#[display("metrics: {_0}")]
pub struct MetricsError(String);

impl std::error::Error for MetricsError {}

/// The metrics of one daemon. Clones share them.
#[derive(Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Metrics that count from zero.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|err| MetricsError(err.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// What makes counters, gauges and histograms.
    pub fn meter(&self) -> Meter {
        self.provider.meter("borageswitch")
    }

    /// The metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// When a metric cannot be written.
    pub fn text(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.map_err(|err| MetricsError(err.to_string()))?;
        String::from_utf8(text).map_err(|err| MetricsError(err.to_string()))
    }
}
