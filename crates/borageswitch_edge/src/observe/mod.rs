//! Answers the balancer's probes and shows metrics and state over HTTP.
