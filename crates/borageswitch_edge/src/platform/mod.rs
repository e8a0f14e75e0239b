//! Calls the platform: its store, its list of hosts, and the hosts' agents.
